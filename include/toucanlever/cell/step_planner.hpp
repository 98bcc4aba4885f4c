/// Runs planning passes over the ready steps, in order, and allocates worker
/// capacity to the tasks that fit.
///
/// In a full cell, the step that has waited longest within its priority is
/// served first, and workers that a large gang waits for are held back from
/// later steps.
///
/// The cost of a pass is bounded while hundreds of steps wait: a step is
/// planned only when it is due (`step_planning`), and a pass that has used up
/// its time leaves the rest of its round to the next pass. A round plans each
/// due step once. Steps of the highest priority that can be in time do not
/// wait for the end of a round.
///
/// Workers held back for a step stay so, for the steps behind it, in the passes
/// between two of its plannings.
#pragma once

#include "toucanlever/cell/cap_log.hpp"
#include "toucanlever/cell/placement_log.hpp"
#include "toucanlever/cell/reserved_task_starter.hpp"
#include "toucanlever/cell/step_order.hpp"
#include "toucanlever/cell/step_placement.hpp"
#include "toucanlever/cell/takeover_boundary.hpp"
#include "toucanlever/cell/unseen_use.hpp"

#include <map>
#include <memory>
#include <string>
#include <unordered_set>
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

    /// To be called when a job was added: an earlier scheduler may have started
    /// it on workers that have not answered.
    void note_job_added(registry_job const& job);

private:
    /// The ready steps of a pass.
    struct ready_steps
    {
        /// Due, or with workers held back or kept; sorted by rank.
        std::vector<step_rank const*> candidates;
        /// Not due.
        std::vector<registry_step const*> skipped;
    };

    /// A usable worker, as of the start of the pass.
    struct usable_worker
    {
        pool_worker* worker = nullptr;
        /// Its entry in `advice_claims`.
        resources claimed;
    };

    void run_pass();
    /// Lists the usable workers; returns the maximum free amount of each
    /// dimension on any one of them.
    resources find_usable_workers();
    /// Reads the claims again if calls were made since.
    void update_claims();
    ready_steps select_steps(time_point now, std::int64_t wall_ms);
    /// The customers with due steps that use more than their fair share of the
    /// usable workers; none while no customer is configured.
    std::unordered_set<std::string> customers_over_share(
        ready_steps const& steps) const;
    /// True when the step was not planned in its current round, or an event
    /// has concerned it since.
    bool is_left_in_round(
        registry_step const& step, start_prospect prospect) const;
    /// Plans the steps until the time of the pass is used up. Returns the
    /// number of due steps that it left.
    std::size_t plan_in_order(std::vector<step_rank const*> const& ordered,
        resources const& largest_free, time_point now, std::int64_t wall_ms);
    void plan_one(registry_step& step, start_prospect prospect,
        resources const& largest_free);
    /// True when a search can find workers for the step.
    bool can_progress(registry_step const& step, resources const& largest_free);
    bool is_listed_label(std::string const& label);
    /// Holds back and keeps again, for a step that is not planned in this pass,
    /// what its last planning has.
    void renew_holds(registry_step const& step, time_point now);
    /// Schedules a pass for the next time at which a skipped step is due.
    void schedule_next_due(time_point now);
    bool may_start(registry_job const& job) const;
    /// Returns why tasks of the step still wait; `none` when none does.
    wait_reason plan_step(step_rank const& rank);
    /// How many of the `startable` tasks may be placed within the cap of the
    /// job's customer. Notes when that are not all of them.
    std::uint32_t tasks_within_cap_of(registry_job const& job,
        registry_step const& step, std::uint32_t startable);
    placement_request make_request(
        registry_job const& job, registry_step const& step) const;
    /// True when advice about more workers can be requested now.
    bool can_request_advice(
        registry_job const& job, registry_step const& step) const;
    /// Why a step that needs tickets waits although it was planned.
    wait_reason advice_wait(
        registry_job const& job, registry_step const& step) const;
    /// The approved workers when the step needs tickets, otherwise all usable
    /// ones. Valid until the next call.
    candidate_workers const& candidates_for(
        registry_step const& step, bool needs_tickets);
    /// True when the step has tickets for all chosen workers, or the missing
    /// ones can be requested now.
    bool can_get_tickets(registry_job const& job, registry_step const& step,
        std::vector<std::string> const& chosen);
    /// Holds back workers for a gang that does not fit, so that later steps of
    /// this pass do not use them. Of workers that need a ticket, only approved
    /// ones are: the gang could not use most of the others.
    void hold_back_for_gang(registry_step& step,
        placement_request const& request, bool needs_tickets);
    /// True when the workers together could hold the gang without the work on
    /// them that ends, and with advice about those not queried yet.
    bool can_ever_fit(
        registry_step const& step, placement_request const& request) const;
    /// Holds back chosen workers for which no ticket can be requested now.
    void hold_back_chosen(
        registry_step& step, std::vector<std::string> const& chosen);
    /// Holds the workers back, unless such workers have been mostly idle for
    /// too long: what the step waits for takes longer than other work should
    /// wait beside them.
    void hold_back(
        registry_step& step, std::vector<pool_worker*> const& workers);
    void mark_held_back(pool_worker& worker);
    /// How far suspect tasks of the step are isolated if they are placed now.
    /// Where too few workers can become free of long-running tasks, those do
    /// not count. After `isolation_patience`, nothing that runs already counts,
    /// unless the step's tasks have crashed workers repeatedly.
    isolation isolation_for(
        registry_step& step, placement_request const& request) const;
    /// Keeps workers for suspect tasks that found none.
    void keep_for_isolation(
        registry_step& step, placement_request const& request);
    /// How many workers like this one the request needs at the same time.
    std::size_t workers_for(
        pool_worker const& worker, placement_request const& request) const;
    /// True when the worker may run the step, given what it runs already.
    bool accepts(pool_worker const& worker, registry_step const& step) const
    {
        return !this->is_held_back(worker) &&
               worker.accepts(step.id.job, step.planning.wanted_isolation);
    }
    /// Ends the keeping of workers that no waiting task needs.
    void release_kept_workers();
    /// True while workers may be held back for another step in this pass.
    bool may_hold_back() const;
    /// Notes whether the workers of the step are mostly idle.
    static void note_idle_hold(registry_step& step,
        std::vector<pool_worker*> const& workers, time_point now);
    bool is_held_back(pool_worker const& worker) const
    {
        return worker.held_back_in_pass == this->pass;
    }
    void allocate(registry_job const& job, registry_step& step,
        std::vector<std::string> chosen, resources const& need);
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
    unseen_use unseen;
    cap_log caps;
    bool enabled = false;
    bool pass_scheduled = false;
    // The timer for the next due step, and its time; 0 while there is none.
    event_loop::timer_id due_timer = 0;
    time_point due_timer_at{};
    // The earliest time at which a skipped step is due.
    time_point next_due_at{};
    // Number of the planning pass.
    std::uint64_t pass = 0;
    // The current rounds of urgent steps that can be in time, and of the
    // others, and the last number given to a round.
    std::uint64_t urgent_round = 1;
    std::uint64_t round = 2;
    std::uint64_t last_round = 2;
    // The following are of this pass.
    std::vector<usable_worker> usable;
    candidate_workers usable_candidates;
    candidate_workers approved_candidates;
    bool claims_changed = false;
    // By label: whether a listed worker has it.
    std::map<std::string, bool> listed_labels;
    // Number of searches for workers.
    std::int64_t searches = 0;
    // Workers held back in this pass.
    std::size_t held_back_workers = 0;
    // Workers that suspect tasks lack in this pass.
    std::size_t isolation_demand = 0;
    // False after destruction; callbacks that may run later check it.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
