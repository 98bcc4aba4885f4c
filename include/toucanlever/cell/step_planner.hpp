/// Runs planning passes over the ready steps, in order, and allocates worker
/// capacity to the tasks that fit.
///
/// In a full cell, the step that has waited longest within its priority is
/// served first, and workers that a large gang waits for are held back from
/// later steps.
#pragma once

#include "toucanlever/cell/reserved_starts.hpp"
#include "toucanlever/cell/step_order.hpp"
#include "toucanlever/cell/step_placement.hpp"

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
        task_orders& orders, reserved_starts& starts);
    ~step_planner();

    /// Allows planning; called once all rows of the store have been read.
    void enable();

    /// Schedules a planning pass after a short delay, so that one pass covers
    /// several events.
    void plan_soon();

private:
    void plan();
    bool may_start(board_job const& job) const;
    /// The maximum free amount of each dimension on any one usable worker.
    resources most_free() const;
    void plan_step(step_rank const& rank);
    placement_request make_request(
        board_job const& job, board_step const& step) const;
    /// True when advice about more workers can be requested now.
    bool can_ask(board_job const& job, board_step const& step) const;
    /// The approved workers when the step needs tickets, otherwise all workers
    /// of the pool.
    worker_choice choice_for(board_step const& step, bool needs_tickets) const;
    bool can_get_tickets(board_job const& job, board_step const& step,
        std::vector<std::string> const& chosen);
    /// Holds back workers for a gang that does not fit, so that later steps of
    /// this pass do not use them.
    void keep_room(board_step const& step, placement_request const& request);
    /// Holds back chosen workers for which no ticket can be requested now.
    void keep_chosen(std::vector<std::string> const& chosen);
    void keep(pool_worker& worker);
    /// True while workers may be held back for another step in this pass.
    bool may_keep() const;
    bool is_kept(pool_worker const& worker) const
    {
        return worker.kept_in_round == this->round;
    }
    void reserve(board_step& step, std::vector<std::string> const& chosen,
        resources const& need);
    std::uint64_t next_run(board_step const& step, bool whole_gang) const;
    /// Requests advice about workers not yet queried for this step.
    void ask_unasked(
        board_job& job, board_step& step, placement_request const& request);

    dispatch_state& state;
    worker_roster const& roster;
    task_orders& orders;
    reserved_starts& starts;
    time_point began;
    bool enabled = false;
    bool planned = false;
    // Number of the planning pass.
    std::uint64_t round = 0;
    // Workers held back in this pass.
    std::size_t kept_workers = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
