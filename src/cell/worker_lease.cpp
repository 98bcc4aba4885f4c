#include "toucanlever/cell/worker_lease.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

/// How far ahead leases reach: longer than a change of the active scheduler
/// takes (2 s unheard, one to take over), and as short as that allows,
/// because a silent worker's tasks wait for it. While the store is away they
/// reach up to `lease_after_beat` instead of being renewed.
constexpr milliseconds lease{5000};
/// Workers' clocks may be 2% slow (the platform's figure).
constexpr std::int64_t slow_clock_permille = 980;
constexpr std::int64_t permille = 1000;
/// Rounding and the time that an answer was on its way.
constexpr milliseconds lease_margin{100};

/// One call waits this long for an end.
constexpr milliseconds wait_for_end{1500};
/// Between two calls, so that ends gather.
constexpr milliseconds gap{25};
/// While ends await their record in the store.
constexpr milliseconds unsettled_gap{100};
constexpr milliseconds retry_gap{150};

} // namespace

worker_lease::worker_lease(event_loop& loop, worker_orders& orders,
    worker_target target, std::uint64_t fence,
    std::function<time_point()> lease_limit, worker_lease_listener& listener)
    : loop(loop)
    , orders(orders)
    , worker(std::move(target))
    , fencing_token(fence)
    , lease_limit(std::move(lease_limit))
    , listener(listener)
    , created_at(loop.now())
{
    this->schedule_poll(milliseconds(0));
}

worker_lease::~worker_lease()
{
    *this->alive = false;
    this->loop.cancel(this->poll_timer);
}

void worker_lease::schedule_poll(milliseconds delay)
{
    this->loop.cancel(this->poll_timer);
    this->poll_timer = this->loop.after(delay,
        [this]
        {
            this->poll_timer = 0;
            this->poll();
        });
}

std::int64_t worker_lease::clock_now() const
{
    auto since = std::chrono::duration_cast<milliseconds>(
        this->loop.now() - this->clock_read_at);
    return this->clock_ms + since.count();
}

std::int64_t worker_lease::grant_lease()
{
    if (this->clock_ms < 0)
    {
        return 0;
    }
    if (this->failures > 0)
    {
        // Whatever is sent may arrive: a lease that moved on with each
        // attempt would never be over.
        return this->granted_until;
    }
    auto allowed = std::chrono::duration_cast<milliseconds>(
        this->lease_limit() - this->loop.now());
    auto length = std::min(lease, allowed);
    this->granted_until =
        std::max(this->granted_until, this->clock_now() + length.count());
    return this->granted_until;
}

time_point worker_lease::lease_expiry() const
{
    if (this->clock_ms < 0)
    {
        // Only an earlier scheduler can have granted one, before this began.
        return this->created_at +
               lease_after_heartbeat * permille / slow_clock_permille +
               lease_margin;
    }
    std::int64_t left =
        std::max<std::int64_t>(this->granted_until - this->clock_ms, 0);
    return this->clock_read_at +
           milliseconds(left * permille / slow_clock_permille) + lease_margin;
}

void worker_lease::poll()
{
    if (this->in_flight)
    {
        return;
    }
    this->in_flight = true;
    watch_order order;
    order.fencing_token = this->fencing_token;
    order.lease_until_ms = this->grant_lease();
    order.acknowledged = this->acknowledged;
    bool wait =
        this->clock_ms >= 0 && this->failures == 0 && this->unsettled.empty();
    order.wait_ms = wait ? wait_for_end.count() : 0;
    time_point asked_at = this->loop.now();
    this->orders.watch(this->worker, order,
        [this, asked_at, alive = this->alive](watch_result const& result)
        {
            if (*alive)
            {
                this->in_flight = false;
                this->handle_report(result, asked_at);
            }
        });
}

void worker_lease::handle_report(
    watch_result const& result, time_point asked_at)
{
    if (result.outcome == order_outcome::refused_fenced)
    {
        this->schedule_poll(retry_gap);
        this->listener.on_fenced(*this);
        return;
    }
    if (result.outcome == order_outcome::other_incarnation)
    {
        this->schedule_poll(retry_gap);
        this->listener.on_lost(*this, "another life of the worker answers");
        return;
    }
    if (result.outcome != order_outcome::done || result.clock_ms < 0)
    {
        this->handle_failure(result);
        return;
    }
    this->failures = 0;
    this->lost = false;
    this->clock_ms = result.clock_ms;
    this->clock_read_at = this->loop.now();
    std::shared_ptr<bool> still = this->alive;
    this->listener.on_report(*this, result, asked_at);
    if (*still)
    {
        this->schedule_poll(this->unsettled.empty() ? gap : unsettled_gap);
    }
}

void worker_lease::handle_failure(watch_result const& result)
{
    ++this->failures;
    this->schedule_poll(retry_gap);
    std::string problem =
        result.problem.empty() ? "no clock in the answer" : result.problem;
    if (this->loop.now() < this->lease_expiry())
    {
        this->listener.on_unresponsive(*this, problem);
        return;
    }
    if (!this->lost)
    {
        this->lost = true;
        this->listener.on_lost(*this, "its lease is over: " + problem);
    }
}

void worker_lease::note_completion(std::int64_t number)
{
    this->last_number_seen = std::max(this->last_number_seen, number);
    this->unsettled.emplace(number, false);
}

void worker_lease::settle_completion(std::int64_t number)
{
    auto found = this->unsettled.find(number);
    if (found == this->unsettled.end())
    {
        return;
    }
    found->second = true;
    while (!this->unsettled.empty() && this->unsettled.begin()->second)
    {
        this->acknowledged = this->unsettled.begin()->first;
        this->unsettled.erase(this->unsettled.begin());
    }
    if (this->unsettled.empty())
    {
        this->poll_soon();
    }
}

void worker_lease::reset_incarnation()
{
    this->last_number_seen = 0;
    this->acknowledged = 0;
    this->unsettled.clear();
    this->granted_until = 0;
}

void worker_lease::poll_soon()
{
    if (!this->in_flight)
    {
        this->schedule_poll(gap);
    }
}

} // namespace toucanlever
