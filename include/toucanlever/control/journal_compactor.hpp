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
class journal_entry_source
{
public:
    virtual ~journal_entry_source() = default;

    /// All durable facts of the job, as entries; none when it is forgotten.
    virtual std::vector<journal_entry> entries_of_job(
        std::string const& job_id) const = 0;

    /// How many jobs have a summary.
    virtual std::size_t job_count() const = 0;
};

/// See the head of this file.
class journal_compactor
{
public:
    journal_compactor(
        event_loop& loop, journal& log, journal_entry_source const& source);
    ~journal_compactor();

private:
    /// What one row of the journal mentions.
    struct indexed_row
    {
        std::uint64_t number = 0;
        std::size_t entry_count = 0;
        std::vector<std::string> jobs;
        /// Entries that are not about a job.
        std::vector<journal_entry> other_entries;
    };

    void index_batch(
        std::uint64_t number, std::vector<journal_entry> const& entries);
    void tick();
    bool needs_compaction() const;
    void compact_row(indexed_row const& row);
    void append_again(std::string const& subject, std::uint64_t row,
        std::vector<journal_entry> const& entries);

    event_loop& loop;
    journal& log;
    journal_entry_source const& source;
    // Oldest first.
    std::deque<indexed_row> index;
    // Invariant: the sum of the entries of the indexed rows.
    std::size_t entry_count = 0;
    // Rows up to this number say nothing of the subject that was not appended
    // again since.
    std::map<std::string, std::uint64_t> rewritten_through;
    // Distinct subjects besides jobs.
    std::set<std::string> other_subjects;
    std::uint64_t newest_row = 0;
    bool erasing = false;
    event_loop::timer_id timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
