/// Takes in what workers say of themselves: what runs there, what has ended,
/// and that they were lost.
#pragma once

#include "toucanlever/cell/task_orders.hpp"

#include <string>

namespace toucanlever
{

/// Hears all workers of a roster.
class worker_reports final : public worker_lease_listener
{
public:
    worker_reports(dispatch_state& state, worker_roster& roster,
        task_orders& orders, completion_journal& journal);

    void on_report(worker_lease& watch, watch_result const& report,
        time_point asked_at) override;
    void on_unresponsive(
        worker_lease& watch, std::string const& problem) override;
    void on_lost(worker_lease& watch, std::string const& reason) override;
    void on_fenced(worker_lease& watch) override;

private:
    void handle_restart(worker_lease& watch);
    void handle_completion(worker_lease& watch, completed_run const& end);
    void keep_checkpoint(completed_run const& end);
    /// What the end of a known task means for its step and its job.
    void apply_completion(
        worker_lease& watch, completed_run const& end, bool counts);
    void on_job_ended(std::string const& id);
    void record_completion(
        worker_lease& watch, completed_run const& end, bool job_ended);
    void reconcile(
        pool_worker& worker, watch_result const& report, time_point asked_at);
    void adopt_run(pool_worker& worker, running_task const& running);
    /// Gives back what ran there; not what a start may still begin there.
    void release_lost_allocations(std::string const& id,
        std::string const& reason, bool starts_may_arrive);

    dispatch_state& state;
    worker_roster& roster;
    task_orders& orders;
    completion_journal& journal;
};

} // namespace toucanlever
