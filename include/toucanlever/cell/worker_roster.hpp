/// The workers of the cell, and which of them may run tasks.
///
/// Follows the platform's list of workers, and records each worker in the store
/// before anything is started on it, so that a successor knows which workers to
/// reconcile with. Closes the records of workers that get no more work (see
/// `worker_record`).
#pragma once

#include "toucanlever/cell/dispatch_state.hpp"
#include "toucanlever/cell/record_follower.hpp"
#include "toucanlever/cell/worker_lease.hpp"
#include "toucanlever/cell/worker_record.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace toucanlever
{

/// The workers of one term of the active scheduler.
class worker_roster
{
public:
    /// `on_read` is called once the platform's list and the recorded workers
    /// have been read.
    worker_roster(dispatch_state& state, std::function<void()> on_read);
    ~worker_roster();

    /// Starts reading; `on_read` may be called from within.
    void start_reading();
    /// False when the platform's list was last read too long ago to place work
    /// by its capacities.
    bool is_list_current() const;
    bool is_read() const { return this->list_read && this->recorded_rows; }

    /// Starts polling all workers; called once everything in the store has been
    /// read.
    void follow_workers(worker_lease_listener& reports);

    /// The worker must be known, and `follow_workers` must have been called.
    worker_lease& lease(std::string const& worker) const
    {
        return *this->leases.at(worker);
    }

    /// Null when the worker is unknown or has been removed.
    worker_lease* find_lease(std::string const& worker) const;

    /// True once each worker that an earlier scheduler may have used has
    /// answered, or all its runs have certainly ended. Workers with closed
    /// records do not count: see `may_have_runs`.
    bool is_reconciled() const { return this->unreconciled.empty(); }
    std::size_t unreconciled_count() const { return this->unreconciled.size(); }

    /// True while a worker that an earlier scheduler may have used has not
    /// answered.
    bool is_unheard(std::string const& worker) const
    {
        return this->unreconciled.contains(worker) ||
               this->unheard_jobs.contains(worker);
    }

    /// True while a worker that has not answered may have runs of the job by
    /// its closed record.
    bool may_have_runs(std::string const& job) const;
    std::size_t closed_count() const { return this->unheard_jobs.size(); }
    void note_reconciled(std::string const& worker);

    /// Retries writes that the store did not commit. Closes the records of
    /// workers that get no more work, and opens those of workers that are back.
    /// Removes reconciled workers that are unlisted, unresponsive and without
    /// allocations.
    void sweep();

private:
    /// By worker: the number of tasks in its closed record.
    using closing_sizes = std::map<std::string, std::size_t>;

    /// Applies rows of the platform's list. With `complete`, the rows are the
    /// whole list, and a worker without a row is unlisted; otherwise they are
    /// changes.
    void on_worker_rows(std::vector<record> const& rows, bool complete);
    /// Logs a row that describes no usable worker, once until that changes.
    void note_unusable_entry(record const& row);
    void take_recorded_rows(std::vector<record> rows);
    void notify_if_read();
    void update_worker(worker_entry const& entry);
    void start_lease(worker_entry const& entry);
    void unlist_worker(std::string const& id);
    /// Writes the pending changes of worker records to the store, one
    /// transaction at a time.
    void record_workers();
    void on_workers_recorded(record_change const& change,
        closing_sizes const& closings, change_result const& result);
    /// Learns the versions of the records from a conflict, unless a newer
    /// leader caused it.
    void on_record_conflict(
        record_change const& change, std::vector<record> const& current);
    bool is_removable(pool_worker const& worker) const;
    /// True when the worker gets no more work for now and all that may run on
    /// it is known.
    bool is_closable(pool_worker const& worker) const;
    /// Schedules the closing or opening of the worker's record if needed.
    void update_record(pool_worker& worker);
    /// The tasks that a closed record of the worker has to list.
    std::set<std::string> tasks_on(pool_worker const& worker) const;
    /// Adds the pending closed records to a transaction, as far as they fit.
    closing_sizes add_closed_records(record_change& change);

    dispatch_state& state;
    std::function<void()> on_read;
    // Outlives the leases: a worker that is listed again has seen its tokens.
    order_fences fences;
    // Null until `follow_workers` is called.
    worker_lease_listener* reports = nullptr;
    // By worker id; null until `follow_workers` is called.
    std::map<std::string, std::unique_ptr<worker_lease>> leases;
    std::unique_ptr<record_follower> list_follower;
    std::unique_ptr<record_scan> recorded_scan;
    // The workers that earlier schedulers recorded.
    std::optional<std::vector<record>> recorded_rows;
    bool list_read = false;
    bool read_notified = false;
    // Workers of earlier schedulers that have not answered, by id.
    std::set<std::string> unreconciled;
    // Keys of the rows of the list that describe no usable worker.
    std::set<std::string> unusable_entries;
    // Listed workers that are not recorded in the store yet.
    std::set<std::string> to_record;
    // Workers whose closed records are to be written. They get no work until an
    // open record has been written again, whatever becomes of the write.
    std::set<std::string> to_close;
    // By worker with a closed record, or in `to_close`: the tasks listed there.
    std::map<std::string, std::set<std::string>> closed_tasks;
    // By worker of earlier schedulers that has not answered and has a closed
    // record: the jobs that may have runs there.
    std::map<std::string, std::set<std::string>> unheard_jobs;
    // Removed workers whose records are to be deleted from the store.
    std::set<std::string> to_remove_record;
    // By worker id: the version of its record, as far as known; no entry while
    // none is known to exist.
    std::map<std::string, std::int64_t> record_versions;
    bool recording = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
