/// Looks at all ready steps, in order, and reserves room for what fits.
///
/// Answers the load of a full cell: what waits longest within its priority is
/// served first, and room that a large gang waits for is kept from what comes
/// after it.
#pragma once

#include "toucanlever/cell/reserved_task_starter.hpp"
#include "toucanlever/cell/step_order.hpp"
#include "toucanlever/cell/step_placement.hpp"

#include <memory>
#include <string>
#include <vector>

namespace toucanlever
{

/// Chooses for one term of the active scheduler.
class step_planner
{
public:
    step_planner(dispatch_state& state, worker_roster const& roster,
        task_orders& orders, reserved_task_starter& starts);
    ~step_planner();

    /// All that the store holds has been read: choosing may begin.
    void enable();

    /// Looks at the steps once the events of the moment have been taken in.
    void schedule_pass();

private:
    void run_pass();
    bool may_start(registry_job const& job) const;
    /// The most of each dimension that any usable worker has free.
    resources max_free() const;
    void plan_step(step_rank const& rank);
    placement_request make_request(
        registry_job const& job, registry_step const& step) const;
    /// Whether the policy could be asked about more workers now.
    bool can_request_advice(
        registry_job const& job, registry_step const& step) const;
    /// The workers that may run the step, as far as is known.
    candidate_workers candidates_for(
        registry_step const& step, bool advised) const;
    bool can_get_tickets(registry_job const& job, registry_step const& step,
        std::vector<std::string> const& chosen);
    /// Keeps workers that a gang waits for from what comes after it.
    void hold_back_for_gang(
        registry_step const& step, placement_request const& request);
    /// The same for workers that were chosen and have no ticket yet.
    void hold_back_chosen(std::vector<std::string> const& chosen);
    void hold_back(pool_worker& worker);
    /// Whether room may be kept for another step in this round.
    bool may_hold_back() const;
    bool is_held_back(pool_worker const& worker) const
    {
        return worker.held_back_in_pass == this->pass;
    }
    void allocate(registry_step& step, std::vector<std::string> const& chosen,
        resources const& need);
    std::uint64_t next_run_number(
        registry_step const& step, bool whole_gang) const;
    /// Asks about workers that the policy was not asked about for this step.
    void request_more_advice(registry_job& job, registry_step& step,
        placement_request const& request);

    dispatch_state& state;
    worker_roster const& roster;
    task_orders& orders;
    reserved_task_starter& starter;
    time_point started_at;
    bool enabled = false;
    bool pass_scheduled = false;
    // Counts the looks at all ready steps.
    std::uint64_t pass = 0;
    // Workers of which room is kept in this round.
    std::size_t held_back_workers = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
