#include "toucanlever/cell/step_planning.hpp"

namespace toucanlever
{
namespace
{

bool may_be_delayed(start_prospect prospect)
{
    return prospect == start_prospect::late ||
           prospect == start_prospect::beyond_entitlement ||
           prospect == start_prospect::useless;
}

} // namespace

bool step_planning::is_due(
    start_prospect prospect, bool advice_pending, time_point now) const
{
    if (this->has_event)
    {
        return true;
    }
    if (advice_pending)
    {
        return false;
    }
    return now >= this->not_before || prospect != this->group;
}

void step_planning::begin(start_prospect prospect, time_point now)
{
    this->group = prospect;
    this->planned_at = now;
    this->not_before = {};
    this->found_capacity = false;
    this->held_workers.clear();
    this->isolation_demand = 0;
}

void step_planning::end(wait_reason outcome, bool has_approved)
{
    this->reason = outcome;
    // Returns of its own reservations in the planning are no news.
    this->has_event = false;
    bool is_delayed = !this->found_capacity && may_be_delayed(this->group);
    switch (outcome)
    {
    case wait_reason::advice_pending:
        // The answer makes it due in the same round.
        this->round = 0;
        is_delayed = false;
        break;
    case wait_reason::none:
    case wait_reason::not_planned:
    case wait_reason::predecessor_unknown:
    case wait_reason::gang_ending:
        is_delayed = false;
        break;
    case wait_reason::no_advice_slot:
    case wait_reason::advice_failed:
        // Without an approved worker it costs no search, and calls as soon as
        // it can.
        is_delayed = is_delayed && has_approved;
        break;
    default:
        break;
    }
    if (is_delayed)
    {
        this->not_before = this->planned_at + retry_delay;
    }
}

} // namespace toucanlever
