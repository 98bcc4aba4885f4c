/// Compacts the journal of an incarnation, so that its size stays proportional
/// to the live entries.
///
/// The oldest rows are deleted after their live entries have been appended
/// again with the current state. There is therefore no separate snapshot, and
/// no transaction is larger than the others.
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

/// Supplies the entries of a job that the journal must retain.
class journal_entry_source
{
public:
    virtual ~journal_entry_source() = default;

    /// Returns entries for the durable state of the job; empty if the job is
    /// no longer retained.
    virtual std::vector<journal_entry> entries_of_job(
        std::string const& job_id) const = 0;

    /// Number of jobs that are retained.
    virtual std::size_t job_count() const = 0;
};

/// Deletes old journal rows; see the description at the top of the file.
class journal_compactor
{
public:
    journal_compactor(
        event_loop& loop, journal& log, journal_entry_source const& source);
    ~journal_compactor();

private:
    /// Subjects that one journal row mentions: jobs, worker incarnations and
    /// scheduler incarnations that were taken over.
    struct indexed_row
    {
        std::uint64_t number = 0;
        std::size_t entry_count = 0;
        std::vector<std::string> jobs;
        /// Entries that do not concern a job.
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
    // Invariant: the number of entries in the indexed rows.
    std::size_t entry_count = 0;
    // Subject to row number: the subject's entries in this row and all older
    // rows are superseded by entries that were appended again later.
    std::map<std::string, std::uint64_t> rewritten_through;
    // Distinct subjects other than jobs, each with one live entry.
    std::set<std::string> other_subjects;
    std::uint64_t newest_row = 0;
    bool erasing = false;
    event_loop::timer_id timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
