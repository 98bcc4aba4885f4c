/// When a waiting step is planned again. No side effects: time is an argument.
///
/// With hundreds of late steps, planning each of them in every pass occupies
/// the active scheduler, while most events let none of them start.
#pragma once

#include "toucanlever/cell/isolation.hpp"
#include "toucanlever/cell/wait_reason.hpp"
#include "toucanlever/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace toucanlever
{

/// What a job can still achieve if its step starts now; best first, because
/// `order_steps` serves the groups in the order of these values.
enum class start_prospect
{
    overdue_long_running,
    in_time,
    late,
    /// Submitted beyond what its customer is entitled to, and still of use.
    beyond_entitlement,
    useless
};

/// What the planner keeps about a step between its plannings.
struct step_planning
{
    /// How long a step that found no capacity, and that is not in time, is not
    /// planned again.
    static constexpr milliseconds retry_delay{100};
    /// Workers stay held back for this long after the planning that held them
    /// back, so that a step planned every `retry_delay` does not lose them.
    static constexpr milliseconds hold_duration{200};

    /// Whether the step is to be planned now. It is due at once after one of
    /// its tasks was returned, and when it belongs to another group than when
    /// it was planned last.
    bool is_due(
        start_prospect prospect, bool advice_pending, time_point now) const;

    /// Starts a planning, which decides anew what is held back for the step.
    void begin(start_prospect prospect, time_point now);

    /// Ends a planning. `has_approved`: the external policy has approved
    /// workers for the step.
    void end(wait_reason outcome, bool has_approved);

    /// Why it waits, as of the last planning.
    wait_reason reason = wait_reason::none;
    /// A task was returned since the last planning.
    bool has_event = false;
    /// The last planning found workers, but no ticket for them.
    bool found_capacity = false;
    start_prospect group = start_prospect::in_time;
    time_point planned_at{};
    time_point not_before{};
    /// The last round in which it was planned; 0 while it waits for advice.
    std::uint64_t round = 0;
    /// Held back for the step until it is planned again, waits no longer, or
    /// `hold_duration` has passed.
    std::vector<std::string> held_workers;
    /// Since when workers that were held back for it, or would have been, are
    /// mostly idle; unset while they are not.
    time_point idle_hold_since{};
    /// Workers that its suspect tasks lack.
    std::size_t isolation_demand = 0;
    /// As of the last planning.
    isolation wanted_isolation = isolation::none;
    /// Since when its suspect tasks wait for a worker; unset while none does.
    time_point suspect_since{};

    bool holds_workers(time_point now) const
    {
        return !this->held_workers.empty() &&
               now < this->planned_at + hold_duration;
    }
};

} // namespace toucanlever
