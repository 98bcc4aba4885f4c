/// The active scheduler of a cell: starts ready steps on workers, monitors
/// their runs, and records the outcomes.
///
/// Builds its state from the store and from the reports of the workers. Until
/// every worker that an earlier scheduler may have used has answered, or its
/// lease has expired, it starts only jobs that no earlier scheduler can have
/// started.
#pragma once

#include "toucanlever/cell/entitlement_meter.hpp"
#include "toucanlever/cell/job_snapshot.hpp"
#include "toucanlever/cell/record_follower.hpp"
#include "toucanlever/cell/row_cleaner.hpp"
#include "toucanlever/cell/step_planner.hpp"
#include "toucanlever/cell/waiting_queries.hpp"
#include "toucanlever/cell/worker_reports.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace toucanlever
{

/// One term of the active scheduler.
class dispatcher
{
public:
    /// `on_replaced` is called, from within this object and possibly more than
    /// once, when a write or a worker shows that another scheduler is active.
    dispatcher(dispatcher_dependencies collaborators, leader_proof proof,
        std::function<void(std::string const& reason)> on_replaced);
    ~dispatcher();

    /// Adds a job that an instance has stored, at this version of the store. A
    /// job that is known, or that was forgotten after its end, is ignored.
    void accept(work_record record, std::int64_t version);
    void cancel(std::string const& job);

    /// For an unknown job returns `no_such_job` when everything that was stored
    /// until recently has been read, and `unavailable` otherwise.
    lookup_result look_up(std::string const& job);
    /// The same, but while the job is open, or its end is not durable, `done`
    /// is called when that changes, and after `wait` at the latest. The calls
    /// that still wait are dropped with this object.
    void look_up(std::string const& job, milliseconds wait,
        std::function<void(lookup_result const&)> done);
    /// Answers all queries that wait; to be called before the term ends.
    void answer_waiting_queries() { this->queries.answer_all(); }
    /// Number of the queue's jobs of which no task has started; no value when
    /// the store was last read so long ago that jobs may be missing.
    std::optional<std::uint64_t> waiting_jobs(std::string const& queue) const;

    /// Without estimates until everything in the store has been read, and when
    /// the backlog is not forecast.
    backlog_forecast const& forecast() const { return this->state.forecast; }

    /// True once everything in the store has been read.
    bool is_loaded() const { return this->loaded; }

private:
    /// The first rows are those of the whole table, the later ones changes.
    void on_job_rows(std::vector<record> const& rows);
    /// `cancellations`: the rows of the snapshot that are not jobs.
    void on_snapshot_read(std::vector<record> const& cancellations);
    void read_rows(std::vector<record> const& rows);
    void read_cancellations(std::vector<record> const& rows);
    /// Reads the job of a row; no value when it is to be ignored.
    std::optional<work_record> read_job_row(record const& row);
    /// True when the job is beyond what its customer is entitled to submit.
    bool is_beyond_entitlement(work_record const& job);
    void add_job(work_record record, std::int64_t version);
    void load_if_complete();
    void replay_journal();
    void sweep();
    void update_forecast();

    dispatch_state state;
    waiting_queries queries;
    row_cleaner cleaner;
    completion_journal journal;
    worker_roster roster;
    task_orders orders;
    reserved_task_starter task_starter;
    placement_log log;
    step_planner planner;
    worker_reports reports;
    entitlement_meter entitlements;
    std::unique_ptr<record_follower> job_follower;
    // The rows of the term's beginning, and those that arrived while these
    // were read.
    std::unique_ptr<job_snapshot> snapshot;
    std::vector<std::vector<record>> rows_after_snapshot;
    std::unique_ptr<record_scan> journal_scan;
    std::optional<std::vector<record>> journal_rows;
    bool jobs_read = false;
    bool loaded = false;
    // Jobs whose rows another version of this program has written.
    std::set<std::string> unreadable_jobs;
    // Jobs whose cancellation arrived before the job itself.
    std::set<std::string> pending_cancellations;
    event_loop::timer_id sweep_timer = 0;
};

} // namespace toucanlever
