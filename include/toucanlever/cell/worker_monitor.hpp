/// Keeps the histories of the workers: measures the speed of completed runs.
///
/// Addresses workers of uneven speed. A successor learns
/// anew and treats all workers alike until it has evidence.
#pragma once

#include "toucanlever/cell/task_orders.hpp"

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

    /// Notes the arrival of a report that has been applied.
    void on_report(pool_worker& worker, watch_result const& report);

    /// Forgets what was learned about an incarnation that has ended.
    void forget(pool_worker& worker);

    /// Compares the speeds of the workers, at most once a second.
    void sweep();

private:
    /// Adds the run to the worker's measured ones if its time is known and
    /// comparable with its estimate.
    void measure(pool_worker& worker, completed_run const& completion);
    void compare_speeds(time_point now);

    dispatch_state& state;
    task_orders& orders;
    time_point next_comparison{};
};

} // namespace toucanlever
