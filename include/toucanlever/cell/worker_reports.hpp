/// Applies the reports of workers to the scheduler's state: running tasks,
/// completed runs, and lost workers.
#pragma once

#include "toucanlever/cell/task_orders.hpp"

#include <string>

namespace toucanlever
{

/// Handles the reports of all workers of a roster.
class worker_reports final : public worker_lease_listener
{
public:
    worker_reports(dispatch_state& state, worker_roster& roster,
        task_orders& orders, completion_journal& journal);

    void on_report(worker_lease& lease, watch_result const& report,
        time_point asked_at) override;
    void on_unresponsive(
        worker_lease& lease, std::string const& problem) override;
    void on_lost(worker_lease& lease, std::string const& reason) override;
    void on_fenced(worker_lease& lease) override;

private:
    /// Releases the allocations of the worker's previous incarnation, except
    /// those whose start may still reach the new one: these runs are stopped.
    void handle_restart(worker_lease& lease);
    void handle_completion(
        worker_lease& lease, completed_run const& completion);
    void keep_checkpoint(completed_run const& completion);
    /// Updates the step and the job of a known task. `counts` is true when the
    /// run succeeded or failed, and was not merely stopped.
    void apply_completion(
        worker_lease& lease, completed_run const& completion, bool counts);
    void on_job_ended(std::string const& id);
    void record_completion(
        worker_lease& lease, completed_run const& completion, bool job_ended);
    /// Matches the worker's allocations with the runs that it reports. A
    /// confirmed run that a complete report does not list is treated as lost.
    void reconcile(
        pool_worker& worker, watch_result const& report, time_point asked_at);
    /// Allocates capacity for a reported run that has no allocation. Stops the
    /// run unless its job is open, its task is waiting and no later run of the
    /// task is known.
    void adopt_run(pool_worker& worker, running_task const& running);
    /// Releases the allocations on a lost worker. With `starts_may_arrive`,
    /// those whose start may still be carried out there are kept.
    void release_lost_allocations(std::string const& id,
        std::string const& reason, bool starts_may_arrive);

    dispatch_state& state;
    worker_roster& roster;
    task_orders& orders;
    completion_journal& journal;
};

} // namespace toucanlever
