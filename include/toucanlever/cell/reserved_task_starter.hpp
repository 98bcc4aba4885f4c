/// Starts tasks that hold room once the external policy's tickets for their
/// workers are there; tasks of queues without such a policy at once.
#pragma once

#include "toucanlever/cell/task_orders.hpp"

#include <memory>
#include <string>
#include <vector>

namespace toucanlever
{

/// How long the external policy takes for a call about this many workers.
microseconds advice_call_duration(registry_job const& job, std::size_t workers);

/// What was reserved and not started.
class reserved_task_starter
{
public:
    reserved_task_starter(dispatch_state& state, task_orders& orders);
    ~reserved_task_starter();

    /// Starts what can be started of a step: a gang whole or not at all. Asks
    /// for the tickets that lack, or gives the room back when that cannot be
    /// begun now.
    void start_reserved(registry_job& job, registry_step& step);

    /// Asks the policy about workers; false when no instance is free for it.
    bool request_advice(registry_job& job, registry_step& step,
        std::vector<std::string> const& workers);

    /// A ticket that is good for long enough to be used.
    bool has_ticket(registry_step const& step, std::string const& worker) const;

private:
    void apply_advice(step_id const& id, std::vector<std::string> const& asked,
        advice_result const& result);
    /// Gives back what is reserved on workers that were not approved, or all.
    void release_reserved(registry_step& step, bool all);

    dispatch_state& state;
    task_orders& orders;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
