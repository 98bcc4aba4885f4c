#include "toucanlever/cell/entitlement_meter.hpp"

#include <algorithm>
#include <cstdlib>

namespace toucanlever
{
namespace
{

/// Entitlements are in jobs per second.
constexpr std::int64_t span_ms = 1000;
/// Jobs can be added later than others that were accepted after them: a lost
/// announcement is recovered from the store within about 1.3 s.
constexpr std::int64_t max_delay_ms = 2000;
constexpr std::int64_t retention_ms = span_ms + max_delay_ms;
constexpr std::int64_t removal_period_ms = 10000;

} // namespace

bool entitlement_meter::add(
    std::string const& customer, std::int64_t weight, std::int64_t accepted_ms)
{
    std::deque<std::int64_t>& times = this->accepted[customer];
    auto place = std::upper_bound(times.begin(), times.end(), accepted_ms);
    auto first = std::upper_bound(times.begin(), place, accepted_ms - span_ms);
    bool is_beyond = place - first >= weight;
    if (!is_beyond)
    {
        times.insert(place, accepted_ms);
    }
    // In both directions, so that a clock that was ahead has no lasting effect.
    while (!times.empty() && times.front() <= accepted_ms - retention_ms)
    {
        times.pop_front();
    }
    while (!times.empty() && times.back() >= accepted_ms + retention_ms)
    {
        times.pop_back();
    }
    if (std::abs(accepted_ms - this->removed_at_ms) >= removal_period_ms)
    {
        this->remove_idle_customers(accepted_ms);
    }
    return is_beyond;
}

void entitlement_meter::remove_idle_customers(std::int64_t accepted_ms)
{
    this->removed_at_ms = accepted_ms;
    std::erase_if(this->accepted,
        [accepted_ms](auto const& each)
        {
            return each.second.empty() ||
                   std::abs(each.second.back() - accepted_ms) >= retention_ms;
        });
}

} // namespace toucanlever
