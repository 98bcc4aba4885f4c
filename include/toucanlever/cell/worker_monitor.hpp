/// Keeps the histories of the workers: measures the speed of completed runs and
/// follows the progress of others.
///
/// Addresses workers of uneven speed and workers that hang. A successor learns
/// anew and treats all workers alike until it has evidence. Where workers
/// report no progress, none is ever considered stalled.
#pragma once

#include "toucanlever/cell/task_orders.hpp"

#include <map>
#include <string>
#include <string_view>

namespace toucanlever
{

/// Monitors the workers of one leader term.
class worker_monitor
{
public:
    worker_monitor(dispatch_state& state, task_orders& orders);

    /// Evaluates a completion before the allocation of its run is released, and
    /// before `on_report` for the same report.
    void on_completion(pool_worker& worker, completed_run const& completion);

    /// Evaluates the running tasks of a report that has been applied.
    void on_report(pool_worker& worker, watch_result const& report);

    /// Forgets what was learned about an incarnation that has ended.
    void forget(pool_worker& worker);

    /// Compares the speeds of the workers, at most once a second, and moves
    /// runs of stalled workers.
    void sweep();

private:
    /// Adds the run to the worker's measured ones if its time is known and
    /// comparable with its estimate.
    void measure(pool_worker& worker, completed_run const& completion);
    void compare_speeds(time_point now);
    reported_run describe(
        pool_worker const& worker, running_task const& running);
    /// True when the worker holds all tasks of the gang, and has listed them.
    bool holds_whole_gang(
        pool_worker const& worker, registry_step const& step) const;
    void note_progress(pool_worker& worker, std::string_view cause);
    /// Stops the runs of stalled workers for which others have capacity.
    void move_stalled_runs(time_point now);
    void move_runs_of(pool_worker& worker, time_point now);
    bool can_move(pool_worker const& worker, task_id const& task);
    /// A worker that has capacity for the task, besides the runs that were
    /// moved in this sweep; null when there is none.
    pool_worker const* find_target(
        pool_worker const& worker, task_id const& task, time_point now);

    dispatch_state& state;
    task_orders& orders;
    time_point next_comparison{};
    // The last time at which any run was seen to make progress.
    time_point progress_at{};
    // By worker: the needs of the runs moved in this sweep, which are expected
    // to be placed there.
    std::map<std::string, resources> claimed;
};

} // namespace toucanlever
