/// Removes the rows of forgotten jobs from the store.
///
/// The order matters: a job's own rows are removed first, its cancellation and
/// its completion journal rows only after that removal is confirmed. In the
/// opposite order, a scheduler that starts in between would take the job for a
/// new one.
#pragma once

#include "toucanlever/cell/record_store.hpp"
#include "toucanlever/core/event_loop.hpp"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace toucanlever
{

/// Tracks rows by job and removes them, one transaction at a time.
class row_cleaner
{
public:
    row_cleaner(event_loop& loop, record_store& store);
    ~row_cleaner();

    /// Adds a job's own row, or the row that records its cancellation.
    void note_job_row(std::string const& job, record_key const& row);
    void note_cancel_row(std::string const& job, record_key const& row);

    /// Adds a journal row that has entries of these jobs.
    void note_journal_row(
        std::string const& key, std::set<std::string> const& referenced_jobs);

    /// Schedules the rows of an ended job for removal.
    void forget(std::string const& job);

    /// Number of forgotten jobs whose rows are still to be removed.
    std::size_t backlog() const { return this->forgotten_jobs.size(); }

private:
    /// Keys of a job's rows in the store.
    struct job_rows
    {
        std::vector<record_key> own;
        std::vector<record_key> cancels;
        std::vector<std::string> journal_keys;
    };

    void schedule_cleaning();
    void remove_next_batch();
    void select_job_row();
    void select_unreferenced_rows();
    void handle_result(change_result const& result);
    void unreference_rows(job_rows const& rows);

    event_loop& loop;
    record_store& store;
    std::map<std::string, job_rows> rows_by_job;
    // By journal row: number of jobs not yet removed that have entries in it.
    std::map<std::string, std::size_t> journal_references;
    std::deque<std::string> forgotten_jobs;
    // Cancellation and journal rows that no job needs any more.
    std::deque<record_key> unreferenced;
    // Rows that the transaction in flight removes.
    std::vector<record_key> removal_batch;
    // The transaction in flight removes the last element of `own` of the first
    // forgotten job.
    bool removing_job_row = false;
    bool scheduled = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
