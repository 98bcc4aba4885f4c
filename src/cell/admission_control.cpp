#include "toucanlever/cell/admission_control.hpp"

#include "toucanlever/cell/job_objective.hpp"
#include "toucanlever/core/ids.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

constexpr milliseconds entitlement_span{1000};
constexpr std::int64_t ms_per_second = 1000;
/// Callers of a job that is rejected for longer have given up, and an estimate
/// says little about what is further ahead.
constexpr std::int64_t min_retry_ms = 1000;
constexpr std::int64_t max_retry_ms = 8000;

/// The part of the time until a retry by which it is delayed at most, in
/// percent. Callers of urgent queues return first.
std::int64_t spread_percent(std::int64_t priority)
{
    constexpr std::int64_t quarter = 25;
    constexpr std::int64_t half = 50;
    constexpr std::int64_t all = 100;
    return priority <= 0 ? quarter : priority == 1 ? half : all;
}

/// The wait falls to the objective after its excess, when nothing is added.
std::int64_t retry_after_s(work_record const& record, std::int64_t excess_ms)
{
    constexpr std::int64_t percent = 100;
    constexpr std::uint64_t positions = 1024;
    std::int64_t base_ms = std::clamp(excess_ms, min_retry_ms, max_retry_ms);
    auto position =
        static_cast<std::int64_t>(stable_hash(record.id) % positions);
    std::int64_t spread_ms = base_ms * spread_percent(record.queue.priority) /
                             percent * position /
                             static_cast<std::int64_t>(positions);
    return (base_ms + spread_ms + ms_per_second / 2) / ms_per_second;
}

} // namespace

void admission_control::set_estimates(
    std::vector<queue_estimate> const& estimates, time_point at)
{
    this->waits.clear();
    for (queue_estimate const& each : estimates)
    {
        this->waits[each.queue] = each.wait_ms;
    }
    this->estimated_at = at;
}

bool admission_control::is_beyond_entitlement(
    customer_terms const& customer, time_point now)
{
    if (customer.name.empty())
    {
        return false;
    }
    std::deque<time_point>& times = this->submissions[customer.name];
    while (!times.empty() && times.front() <= now - entitlement_span)
    {
        times.pop_front();
    }
    bool is_beyond = static_cast<std::int64_t>(times.size()) >= customer.weight;
    times.push_back(now);
    return is_beyond;
}

void admission_control::forget_idle_customers(time_point now)
{
    if (now - this->customers_checked_at < entitlement_span)
    {
        return;
    }
    this->customers_checked_at = now;
    std::erase_if(this->submissions, [now](auto const& entry)
        { return entry.second.back() <= now - entitlement_span; });
}

rejection admission_control::rejection_of(
    work_record const& record, bool is_beyond, std::int64_t wait_ms) const
{
    job_objective const times = objective_of(record);
    if (wait_ms + times.critical_path_ms > times.useful_ms())
    {
        return rejection::backlog;
    }
    return is_beyond && wait_ms > times.objective_ms
               ? rejection::beyond_entitlement
               : rejection::none;
}

admission_decision admission_control::decide(
    work_record const& record, bool may_have_run, time_point now)
{
    this->forget_idle_customers(now);
    bool is_beyond = this->is_beyond_entitlement(record.customer, now);
    auto wait = this->waits.find(record.queue.name);
    if (may_have_run || is_of_use_at_any_time(record) ||
        wait == this->waits.end() ||
        now - this->estimated_at > max_estimate_age)
    {
        return {};
    }
    rejection why = this->rejection_of(record, is_beyond, wait->second);
    if (why == rejection::none)
    {
        return {};
    }
    ++this->rejections;
    if (this->rejections % rejections_per_probe == 0)
    {
        return {rejection::none, true, 0};
    }
    std::int64_t excess_ms = wait->second - objective_of(record).objective_ms;
    return {why, false, retry_after_s(record, excess_ms)};
}

} // namespace toucanlever
