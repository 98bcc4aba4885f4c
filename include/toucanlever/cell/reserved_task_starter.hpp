/// Starts tasks with reserved allocations. Queues that require placement advice
/// need a ticket of the external policy for each worker first; tasks of other
/// queues start at once.
#pragma once

#include "toucanlever/cell/task_orders.hpp"

#include <memory>
#include <string>
#include <vector>

namespace toucanlever
{

/// Expected time of a call to the external policy for this many workers.
microseconds advice_call_duration(registry_job const& job, std::size_t workers);

/// Starts reserved tasks, or releases their allocations.
class reserved_task_starter
{
public:
    reserved_task_starter(dispatch_state& state, task_orders& orders);
    ~reserved_task_starter();

    /// Starts those reserved tasks of a step that need no ticket or have one; a
    /// gang starts whole or not at all. While no call for the step is in
    /// flight, also requests new tickets for approved workers whose tickets
    /// expire, or releases the step's reserved allocations when no call can
    /// start now. If a worker is not approved, releases the allocations on such
    /// workers, or those of the whole gang, and starts nothing. Does the same
    /// with tasks that no longer fit because their worker's capacity shrank.
    void start_reserved(registry_job& job, registry_step& step);

    /// Requests placement advice for workers; false when no slot is free.
    /// `expected_use` is claimed on each of them while the call is in flight.
    bool request_advice(registry_job& job, registry_step& step,
        std::vector<std::string> const& workers,
        resources const& expected_use = {});

    /// True when the step has a ticket that stays valid long enough for a
    /// start to reach the worker.
    bool has_ticket(registry_step const& step, std::string const& worker) const;

private:
    void apply_advice(step_id const& id,
        std::vector<std::string> const& queried, advice_result const& result);
    /// Counts the answer for the estimate of the queue's approvals.
    void learn_approvals(registry_step const& step,
        std::vector<std::string> const& queried, advice_result const& result);
    /// Releases the step's reserved allocations: all of them if `all` is true,
    /// otherwise those on workers that are not approved.
    void release_reserved(registry_step& step, bool all);

    /// False when the allocations on the task's worker exceed its capacity.
    bool still_fits(registry_step const& step, std::uint32_t index) const;

    dispatch_state& state;
    task_orders& orders;
    // False after destruction; callbacks that may run later check it.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
