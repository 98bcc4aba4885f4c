/// Starts and stops runs of tasks, and updates their allocations from the
/// results of these orders.
///
/// A start without a reply is sent again, which is safe because workers start a
/// run at most once. If the second one gets no reply either, the run is
/// stopped. Its allocation is kept until the run is known not to be running.
#pragma once

#include "toucanlever/cell/dispatch_state.hpp"
#include "toucanlever/cell/worker_roster.hpp"

#include <memory>
#include <string>

namespace toucanlever
{

/// Sends task orders to the workers of a roster.
class task_orders
{
public:
    task_orders(dispatch_state& state, worker_roster& roster);
    ~task_orders();

    /// Starts a task whose allocation is reserved, or whose start got no reply.
    void send_start(
        registry_job& job, registry_step& step, std::uint32_t index);

    /// Stops the run of a task that has an allocation on the worker; does
    /// nothing when there is none. Repeated until the worker confirms the stop.
    void send_stop(std::string const& worker, task_id const& task);

    /// Stops all runs of a job or of a step, and releases their reservations.
    void stop_job(std::string const& job);
    void stop_step(step_id const& step);

    /// Releases the reservations of tasks that have succeeded by another run.
    void release_succeeded(step_id const& step);

    /// Stops the remaining tasks of a gang after one of them was lost, ended
    /// without success or failed to start; does nothing for other steps.
    void stop_broken_gang(step_id const& step);

    /// Applies the result of a start order: confirmed, refused or in doubt.
    void on_start_result(task_id const& task, std::uint64_t run,
        std::string const& worker, order_result const& result);

    /// The allocation of exactly this run; null when it has none.
    task_allocation* find_allocation(
        std::string const& worker, task_id const& task, std::uint64_t run);

    /// Releases the allocation of a task, which then waits to be placed again
    /// unless it has succeeded or has an allocation on another worker.
    void release_task(std::string const& worker, task_id const& task);

    /// Stops, on a worker that has restarted, runs whose start its previous
    /// incarnation did not answer.
    void bar_late_starts(std::string const& worker);

    /// The second half of `release_task`, for an allocation that was released
    /// from the pool already: the task waits again.
    void return_task(std::string const& worker, task_id const& task);

private:
    /// A start order as it was sent.
    struct sent_start
    {
        task_id task;
        std::uint64_t run = 0;
        std::string worker;
        std::uint64_t token = 0;
        time_point at{};
    };

    /// Notes what the result of a start tells about its lease, and about the
    /// incarnation of the worker that carried it out.
    void note_answering_incarnation(
        sent_start const& start, order_result const& result);
    /// The result of an order that was sent with this fencing token; one that
    /// was refused because of a later order of this scheduler is `overtaken`.
    order_result attribute_refusal(std::string const& worker,
        std::uint64_t sent_token, order_result result) const;
    /// Remembers a start that may still be carried out after the release of its
    /// allocation.
    void note_late_start(std::string const& worker, task_id const& task);
    /// Notes that a worker has refused the start of a task, without effect.
    void note_refusal(
        task_id const& task, std::string const& worker, order_outcome outcome);
    void on_start_unconfirmed(task_id const& task, std::uint64_t run,
        std::string const& worker, order_result const& result);
    void on_stop_result(task_id const& task, std::uint64_t run,
        std::string const& worker, order_result const& result);

    dispatch_state& state;
    worker_roster& roster;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
