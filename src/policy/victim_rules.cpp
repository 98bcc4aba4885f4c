#include "policy/victim_rules.hpp"

namespace toucanlever
{
namespace
{

// A job that started or resumed less than this ago is stopped for urgent work
// only; otherwise it would spend its time on checkpoints.
constexpr std::int64_t min_run_us = 500'000;

} // namespace

bool urgent_rule::may_stop(running_job const&, resources const&) const
{
    return true;
}

share_rule::share_rule(share_queue const& queue,
    std::string const& gaining_customer, resources const& gained,
    std::int64_t now_us)
    : queue(queue)
    , gaining_customer(gaining_customer)
    , share_after(queue.share_of(queue.customer(gaining_customer), gained))
    , now_us(now_us)
{
}

bool share_rule::may_stop(running_job const& job, resources const& lost) const
{
    bool young = this->now_us - job.started_us < min_run_us;
    if (young || job.customer == this->gaining_customer)
    {
        return false;
    }
    auto const& state = this->queue.customer(job.customer);
    return this->queue.share_of(state, state.usage - lost) >= this->share_after;
}

} // namespace toucanlever
