/// Removes what the store keeps of jobs that nobody asks for any more.
///
/// The order matters: a job's own rows go first, and its cancellation and the
/// journal of its ends only when that is known to have happened. The other way
/// round a scheduler that begins in between would take the job for a new one.
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

/// Rows by the jobs that they speak of; one transaction at a time.
class row_cleaner
{
public:
    row_cleaner(event_loop& loop, record_store& store);
    ~row_cleaner();

    /// A job's own row, or the one beside it that cancels the job.
    void note_job_row(std::string const& job, record_key const& row);
    void note_cancel_row(std::string const& job, record_key const& row);

    /// A row of the journal that speaks of these jobs.
    void note_journal_row(
        std::string const& key, std::set<std::string> const& jobs);

    /// The job ended and may be forgotten.
    void forget(std::string const& job);

    /// Jobs whose rows are still to be removed.
    std::size_t backlog() const { return this->forgotten_jobs.size(); }

private:
    /// What the store keeps of a job.
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
    void release_rows(job_rows const& rows);

    event_loop& loop;
    record_store& store;
    std::map<std::string, job_rows> rows_by_job;
    // Jobs that each row of the journal still speaks of.
    std::map<std::string, std::size_t> journal_references;
    std::deque<std::string> forgotten_jobs;
    // Rows that nothing needs any more.
    std::deque<record_key> unreferenced;
    // What the transaction under way removes.
    std::vector<record_key> removal_batch;
    // It is the last of the first forgotten job's own rows.
    bool removing_job_row = false;
    bool scheduled = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
