#include "policy/victim_rules.hpp"

namespace toucanlever
{
namespace
{

// What began or went on later than this is stopped for urgent work only: it
// would spend its time on checkpoints.
constexpr std::int64_t least_run_us = 500'000;

} // namespace

bool urgent_rule::may_stop(running_job const&, resources const&) const
{
    return true;
}

share_rule::share_rule(share_queue const& queue, std::string const& gains,
    resources const& gained, std::int64_t now_us)
    : queue(queue)
    , gaining_customer(gains)
    , share_after(queue.share_of(queue.customer(gains), gained))
    , now_us(now_us)
{
}

bool share_rule::may_stop(running_job const& job, resources const& lost) const
{
    bool young = this->now_us - job.started_us < least_run_us;
    if (young || job.customer == this->gaining_customer)
    {
        return false;
    }
    auto const& state = this->queue.customer(job.customer);
    return this->queue.share_of(state, state.usage - lost) >= this->share_after;
}

} // namespace toucanlever
