/// Looks at all ready steps, in order, and reserves room for what fits.
///
/// Answers the load of a full cell: what waits longest within its priority is
/// served first, and room that a large gang waits for is kept from what comes
/// after it.
#pragma once

#include "toucanlever/cell/reserved_starts.hpp"
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
        task_orders& orders, reserved_starts& starts);
    ~step_planner();

    /// All that the store holds has been read: choosing may begin.
    void enable();

    /// Looks at the steps once the events of the moment have been taken in.
    void plan_soon();

private:
    void plan();
    bool may_start(board_job const& job) const;
    /// The most of each dimension that any usable worker has free.
    resources most_free() const;
    void plan_step(step_rank const& rank);
    placement_request make_request(
        board_job const& job, board_step const& step) const;
    /// Whether the policy could be asked about more workers now.
    bool can_ask(board_job const& job, board_step const& step) const;
    /// The workers that may run the step, as far as is known.
    worker_choice choice_for(board_step const& step, bool advised) const;
    bool can_get_tickets(board_job const& job, board_step const& step,
        std::vector<std::string> const& chosen);
    /// Keeps workers that a gang waits for from what comes after it.
    void keep_room(board_step const& step, placement_request const& request);
    /// The same for workers that were chosen and have no ticket yet.
    void keep_chosen(std::vector<std::string> const& chosen);
    void keep(pool_worker& worker);
    /// Whether room may be kept for another step in this round.
    bool may_keep() const;
    bool is_kept(pool_worker const& worker) const
    {
        return worker.kept_in_round == this->round;
    }
    void reserve(board_step& step, std::vector<std::string> const& chosen,
        resources const& need);
    std::uint64_t next_run(board_step const& step, bool whole_gang) const;
    /// Asks about workers that the policy was not asked about for this step.
    void ask_unasked(
        board_job& job, board_step& step, placement_request const& request);

    dispatch_state& state;
    worker_roster const& roster;
    task_orders& orders;
    reserved_starts& starts;
    time_point began;
    bool enabled = false;
    bool planned = false;
    // Counts the looks at all ready steps.
    std::uint64_t round = 0;
    // Workers of which room is kept in this round.
    std::size_t kept_workers = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
