/// Removes the rows of forgotten jobs from the store.
///
/// A job whose rows can still be read must not be taken for a new one:
///
/// - Within a term, a forgotten job is remembered until its rows are removed
///   and the scheduler has read the table of jobs beyond that removal.
/// - A job's own rows are removed first, its cancellation and its journal rows
///   only after that removal is confirmed. A successor reads all jobs as of one
///   version of the store, so it finds no job without its cancellation.
/// - Removals of journal rows check the leader row, so a scheduler that was
///   replaced removes none. A successor reads the store only after it has
///   changed the leader row, so it finds no job without its journal rows.
#pragma once

#include "toucanlever/cell/completion_journal.hpp"
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
    /// `on_replaced` is called when a removal is rejected because the leader
    /// row has changed. Nothing is removed after that.
    row_cleaner(event_loop& loop, record_store& store, leader_proof proof,
        std::function<void()> on_replaced);
    ~row_cleaner();

    /// Adds a job's own row, or the row that records its cancellation. No
    /// effect for a row that is known. The row of a forgotten job is removed.
    void note_job_row(std::string const& job, record_key const& row);
    void note_cancel_row(std::string const& job, record_key const& row);

    /// Adds a journal row that has entries of these jobs.
    void note_journal_row(
        std::string const& key, std::set<std::string> const& referenced_jobs);

    /// Schedules the rows of an ended job for removal.
    void forget(std::string const& job);

    /// True for a forgotten job of which a row exists, or may still be returned
    /// by a read.
    bool is_forgotten(std::string const& job) const
    {
        return this->forgotten.contains(job);
    }

    /// To be called when the table of jobs has been read up to this version of
    /// the store: removals up to it no longer need to be remembered.
    void note_jobs_read(std::int64_t version);

    /// Number of forgotten jobs whose rows are still to be removed.
    std::size_t backlog() const { return this->pending_jobs.size(); }

private:
    /// Keys of a job's rows in the store.
    struct job_rows
    {
        std::vector<record_key> own;
        std::vector<record_key> cancels;
        std::vector<std::string> journal_keys;
        // The job is in `pending_jobs`.
        bool pending = false;
    };

    /// A row that a transaction removes, and the job that it belongs to; no job
    /// for a journal row.
    struct removal
    {
        std::string job;
        record_key row;
    };

    void enqueue(std::string const& job);
    void schedule_cleaning();
    void remove_next_batch();
    std::vector<removal> select_batch() const;
    void handle_result(
        std::vector<removal> const& batch, change_result const& result);
    void complete_jobs(std::int64_t version);
    void unreference_journal(job_rows const& rows);

    event_loop& loop;
    record_store& store;
    leader_proof proof;
    std::function<void()> on_replaced;
    std::map<std::string, job_rows> rows_by_job;
    // By journal row: number of jobs not yet removed that have entries in it.
    std::map<std::string, std::size_t> journal_references;
    // Invariant: contains the jobs of `pending_jobs` and of `removed_jobs`.
    std::set<std::string> forgotten;
    // Forgotten jobs whose rows are still to be removed, in order.
    std::deque<std::string> pending_jobs;
    // Jobs whose rows were removed, by the version of that transaction.
    std::multimap<std::int64_t, std::string> removed_jobs;
    // Journal rows that no job needs any more.
    std::deque<record_key> unreferenced;
    bool in_flight = false;
    bool scheduled = false;
    bool replaced = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
