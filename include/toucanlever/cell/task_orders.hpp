/// Starts and stops runs of tasks, and keeps the room that they hold in step
/// with what is known of them.
///
/// A start without an answer is repeated, since workers take a run once, and
/// then stopped; its room stays taken until it is known to be gone.
#pragma once

#include "toucanlever/cell/dispatch_state.hpp"
#include "toucanlever/cell/worker_roster.hpp"

#include <memory>
#include <string>

namespace toucanlever
{

/// Orders to the workers of a roster.
class task_orders
{
public:
    task_orders(dispatch_state& state, worker_roster& roster);
    ~task_orders();

    /// Starts a task that holds room as reserved.
    void send_start(
        registry_job& job, registry_step& step, std::uint32_t index);

    /// Stops what holds room for a task; repeated until that is confirmed.
    void send_stop(std::string const& worker, task_id const& task);

    /// Stops all that holds room for a job, or for a step.
    void stop_job(std::string const& job);
    void stop_step(step_id const& step);

    /// Stops the others of a gang that has lost one; nothing for other steps.
    void stop_broken_gang(step_id const& step);

    /// The worker confirmed, or refused, a start.
    void on_start_result(task_id const& task, std::uint64_t run,
        std::string const& worker, order_result const& result);

    /// The room of this very run; null when it holds none.
    task_allocation* find_allocation(
        std::string const& worker, task_id const& task, std::uint64_t run);

    /// Gives a task's room back, so that it waits again unless it is over.
    void release_task(std::string const& worker, task_id const& task);

private:
    void on_start_unconfirmed(task_id const& task, std::uint64_t run,
        std::string const& worker, order_result const& result);
    void on_stop_result(task_id const& task, std::uint64_t run,
        std::string const& worker, order_result const& result);

    dispatch_state& state;
    worker_roster& roster;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
