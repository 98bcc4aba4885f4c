/// Keeps an incarnation's journal in proportion to what it still says.
///
/// The oldest rows are emptied and deleted: what they say that still counts is
/// appended again as it is now, and only then are they deleted. So there is no
/// snapshot beside the journal, and no transaction larger than others.
#pragma once

#include "toucanlever/control/journal.hpp"
#include "toucanlever/core/event_loop.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace toucanlever
{

/// Knows what is still to be kept of a job.
class journal_source
{
public:
    virtual ~journal_source() = default;

    /// All durable facts of the job, as entries; none when it is forgotten.
    virtual std::vector<journal_entry> summary(
        std::string const& job_id) const = 0;

    /// How many jobs have a summary.
    virtual std::size_t kept() const = 0;
};

/// See the head of this file.
class journal_cleaner
{
public:
    journal_cleaner(
        event_loop& loop, journal& log, journal_source const& source);
    ~journal_cleaner();

private:
    /// What one row of the journal mentions.
    struct indexed_row
    {
        std::uint64_t number = 0;
        std::size_t entries = 0;
        std::vector<std::string> jobs;
        /// Entries that are not about a job.
        std::vector<journal_entry> others;
    };

    void add(std::uint64_t number, std::vector<journal_entry> const& entries);
    void tick();
    bool worth_cleaning() const;
    void clean(indexed_row const& row);
    void carry(std::string const& subject, std::uint64_t row,
        std::vector<journal_entry> const& entries);

    event_loop& loop;
    journal& log;
    journal_source const& source;
    // Oldest first.
    std::deque<indexed_row> index;
    // Invariant: the sum of the entries of the indexed rows.
    std::size_t entries = 0;
    // Rows up to this number say nothing of the subject that was not appended
    // again since.
    std::map<std::string, std::uint64_t> covered;
    // Distinct subjects besides jobs.
    std::set<std::string> others;
    std::uint64_t newest = 0;
    bool erasing = false;
    event_loop::timer_id timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
