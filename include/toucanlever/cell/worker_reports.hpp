/// Applies the reports of workers to the scheduler's state: running tasks,
/// completed runs, and lost workers.
#pragma once

#include "toucanlever/cell/crash_evidence.hpp"
#include "toucanlever/cell/task_orders.hpp"
#include "toucanlever/cell/worker_monitor.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace toucanlever
{

/// Handles the reports of all workers of a roster.
class worker_reports final : public worker_lease_listener
{
public:
    /// `on_end_durable` is called with the id of a job whose end has become
    /// durable.
    worker_reports(dispatch_state& state, worker_roster& roster,
        task_orders& orders, completion_journal& journal,
        std::function<void(std::string const& job)> on_end_durable);

    void on_report(worker_lease& lease, watch_result const& report,
        time_point asked_at) override;
    void on_unresponsive(
        worker_lease& lease, std::string const& problem) override;
    void on_lost(worker_lease& lease, loss_cause cause,
        std::string const& reason) override;
    void on_fenced(worker_lease& lease) override;

    /// Applies the runs and completions that workers reported before the job,
    /// or the occurrence of it, was known.
    void on_job_known(std::string const& job);

    /// Applies what was reported of occurrences that have been created.
    void apply_held_reports();

    /// Applies what was reported of occurrences that have become due. Releases
    /// tasks of lost workers whose start can no longer be carried out. Updates
    /// what the histories of the workers imply.
    void sweep();

private:
    using placed_run = std::pair<task_id, task_allocation>;

    /// A run that may go on, or start, on a worker whose lease has expired.
    struct unsettled_start
    {
        std::string worker;
        task_id task;
        std::uint64_t run = 0;
        time_point until{};
    };

    /// A completion of a job that is not known yet.
    struct early_completion
    {
        std::string worker;
        completion_receipt receipt;
        completed_run completion;
        time_point reported_at{};
    };

    /// Releases the allocations of the worker's previous incarnation, except
    /// those whose start may still reach the new one: these runs are stopped.
    void handle_restart(
        worker_lease& lease, watch_result const& report, time_point asked_at);
    void release_unsettled_starts();
    void forget_unsettled_starts(std::string const& worker);
    void handle_completion(
        worker_lease& lease, completed_run const& completion);
    void keep_checkpoint(completed_run const& completion);
    /// Updates the step and the job of a known task, or settles the completion
    /// when there is nothing to record.
    void apply_completion(std::string const& worker,
        completion_receipt const& receipt, completed_run const& completion);
    void settle_completion(
        std::string const& worker, completion_receipt const& receipt);
    /// Counts the work of a run that succeeded for the backlog forecast.
    /// Notes what the end of a run says about its worker and its task.
    void note_outcome(std::string const& worker,
        completed_run const& completion, time_point now);
    void note_completed_work(
        completed_run const& completion, completion_effect const& effect);
    void on_job_ended(std::string const& id);
    void record_completion(std::string const& worker,
        completion_receipt const& receipt, completed_run const& completion,
        bool job_ended);
    /// Appends an entry to the journal; `done` is called once it is durable,
    /// and the job's end, if the entry ends it, is visible from then on.
    void append_to_journal(run_completion const& entry, bool job_ended,
        std::function<void()> done);
    /// Matches the worker's allocations with the runs that it reports. A
    /// confirmed run that a complete report does not list is treated as lost.
    void reconcile(
        pool_worker& worker, watch_result const& report, time_point asked_at);
    /// Allocates capacity for a reported run that has no allocation. A run
    /// whose job may not have been read yet is left alone for now.
    void adopt_run(pool_worker& worker, running_task const& running);
    /// Keeps a run that was found, or stops it unless its job is open, its task
    /// is waiting and no later run of the task is known.
    void keep_or_stop(pool_worker& worker, task_id const& task);
    /// True for a task whose job is not known, or whose occurrence has not been
    /// created yet although an earlier scheduler may have started it.
    bool may_become_known(task_id const& task) const;
    /// True when the task's job is not known and cannot have been stored before
    /// this time, or has ended.
    bool is_absent(task_id const& task, time_point reported_at) const;
    /// Stops the worker's runs, and settles its completions, whose jobs turned
    /// out not to exist.
    void drop_runs_of_absent_jobs(pool_worker& worker);
    /// Releases the allocations on a lost worker, except those that `keeps`
    /// selects.
    void release_lost_allocations(std::string const& id,
        std::string const& reason, loss_cause cause,
        std::function<bool(task_allocation const&)> const& keeps);
    /// Until when the run may start or go on after the lease of its worker has
    /// expired; a time in the past when it has certainly ended. The worker may
    /// have restarted unnoticed since its last report.
    static time_point may_run_until(
        worker_lease const& lease, task_allocation const& allocation);
    void release_lost_task(std::string const& worker, task_id const& task,
        std::string const& reason);
    /// The same for a run that may have gone on had its lease not expired.
    void give_up_task(std::string const& worker, task_id const& task,
        std::string const& reason);
    /// Logs what has become of a run if it was given up.
    /// The scheduler was wrong if the run was still running, or if it succeeded
    /// and its lease has not expired since by the worker's own clock.
    void note_given_up_run(worker_lease const& lease, task_id const& task,
        std::uint64_t run, std::string_view outcome);
    /// Records the crash of a worker for the tasks against which it speaks. The
    /// capacity is free at once, but these tasks wait again only when the crash
    /// is durable, so that every successor counts it. With `starts_may_arrive`,
    /// those whose start may still be carried out keep theirs.
    /// `started_since` are runs that the next incarnation has started.
    void record_crash(std::string const& id, bool starts_may_arrive,
        std::set<std::pair<task_id, std::uint64_t>> const& started_since);
    /// The runs on a crashed worker that may have caused the crash, and against
    /// which it is evidence.
    std::vector<placed_run> find_suspects(
        pool_worker const& worker, worker_outage const& crash);
    bool is_evidence(placed_run const& run, worker_outage const& crash) const;
    /// The current outage of a worker that is silent or has restarted.
    worker_outage outage_of(pool_worker const& worker) const;
    /// A long-running task sees many workers crash in its time, so that only a
    /// crash at its start makes it a suspect.
    bool is_long_running(task_id const& task);

    dispatch_state& state;
    worker_roster& roster;
    task_orders& orders;
    completion_journal& journal;
    std::function<void(std::string const& job)> on_end_durable;
    crash_evidence evidence;
    worker_monitor monitor;
    std::vector<unsettled_start> unsettled_starts;
    // By job.
    std::map<std::string, std::vector<early_completion>> early_completions;
};

} // namespace toucanlever
