/// Runs planning passes over the ready steps, in order, and allocates worker
/// capacity to the tasks that fit.
///
/// In a full cell, the step that has waited longest within its priority is
/// served first, and workers that a large gang waits for are held back from
/// later steps.
#pragma once

#include "toucanlever/cell/placement_log.hpp"
#include "toucanlever/cell/reserved_task_starter.hpp"
#include "toucanlever/cell/step_order.hpp"
#include "toucanlever/cell/step_placement.hpp"
#include "toucanlever/cell/takeover_boundary.hpp"

#include <memory>
#include <string>
#include <vector>

namespace toucanlever
{

/// Plans for one leader term of the active scheduler.
class step_planner
{
public:
    step_planner(dispatch_state& state, worker_roster const& roster,
        task_orders& orders, reserved_task_starter& starter,
        placement_log& log);
    ~step_planner();

    /// Allows planning; called once all rows of the store have been read.
    void enable();

    /// Schedules a planning pass after a short delay, so that one pass covers
    /// several events.
    void schedule_pass();

private:
    void run_pass();
    bool may_start(registry_job const& job) const;
    /// The maximum free amount of each dimension on any one usable worker.
    resources max_free() const;
    /// Returns why tasks of the step still wait; `none` when none does.
    wait_reason plan_step(step_rank const& rank);
    placement_request make_request(
        registry_job const& job, registry_step const& step) const;
    /// True when advice about more workers can be requested now.
    bool can_request_advice(
        registry_job const& job, registry_step const& step) const;
    /// Why a step that needs tickets waits although it was planned.
    wait_reason advice_wait(
        registry_job const& job, registry_step const& step) const;
    /// The approved workers when the step needs tickets, otherwise all workers
    /// of the pool.
    candidate_workers candidates_for(
        registry_step const& step, bool needs_tickets) const;
    /// True when the step has tickets for all chosen workers, or the missing
    /// ones can be requested now.
    bool can_get_tickets(registry_job const& job, registry_step const& step,
        std::vector<std::string> const& chosen);
    /// Holds back workers for a gang that does not fit, so that later steps of
    /// this pass do not use them. Of workers that need a ticket, only approved
    /// ones are: the gang could not use most of the others.
    void hold_back_for_gang(registry_step const& step,
        placement_request const& request, bool needs_tickets);
    /// Holds back chosen workers for which no ticket can be requested now.
    void hold_back_chosen(std::vector<std::string> const& chosen);
    void hold_back(pool_worker& worker);
    /// Keeps workers for suspect tasks that found none without other tasks.
    void keep_for_isolation(
        registry_step const& step, placement_request const& request);
    /// How many workers like this one the request needs at the same time.
    std::size_t workers_for(
        pool_worker const& worker, placement_request const& request) const;
    /// True when the worker may run the step, given what it runs already.
    bool accepts(pool_worker const& worker, registry_step const& step) const
    {
        return !this->is_held_back(worker) &&
               worker.accepts(step.id.job, step.is_suspect());
    }
    /// Ends the keeping of workers that no waiting task needs.
    void release_kept_workers();
    /// True while workers may be held back for another step in this pass.
    bool may_hold_back() const;
    bool is_held_back(pool_worker const& worker) const
    {
        return worker.held_back_in_pass == this->pass;
    }
    void allocate(registry_step& step, std::vector<std::string> chosen,
        resources const& need);
    /// The lowest run number of this leader term. For a whole gang, the lowest
    /// one that is also above the last runs of all its tasks.
    std::uint64_t next_run_number(
        registry_step const& step, bool whole_gang) const;
    /// Tasks of the request for which no approved worker has free capacity.
    std::uint32_t count_missing(
        registry_step const& step, placement_request const& request) const;
    /// Requests advice about workers not yet queried for this step.
    void request_more_advice(registry_job& job, registry_step& step,
        placement_request const& request);

    dispatch_state& state;
    worker_roster const& roster;
    task_orders& orders;
    reserved_task_starter& starter;
    placement_log& log;
    takeover_boundary boundary;
    bool enabled = false;
    bool pass_scheduled = false;
    // Number of the planning pass.
    std::uint64_t pass = 0;
    // Workers held back in this pass.
    std::size_t held_back_workers = 0;
    // Workers that suspect tasks lack in this pass.
    std::size_t isolation_demand = 0;
    // False after destruction; callbacks that may run later check it.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
