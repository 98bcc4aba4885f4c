#include "toucanlever/cell/worker_lease.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

/// Length of a granted lease. Longer than a change of the active scheduler
/// takes (2 s without heartbeats and 1 s for the takeover), and otherwise as
/// short as possible, because the tasks of an unresponsive worker wait for its
/// expiry. While the store is unavailable, leases reach up to
/// `lease_after_heartbeat` beyond the last confirmed heartbeat and are not
/// renewed further.
constexpr milliseconds lease_length{5000};
/// The platform's limit: workers shorten any longer lease to this.
constexpr milliseconds max_lease{10000};
/// The platform allows the clocks of workers to be 2% slow.
constexpr std::int64_t slow_clock_permille = 980;
constexpr std::int64_t permille = 1000;
/// Covers rounding and the time that a reply was in flight.
constexpr milliseconds lease_margin{100};

/// How long a poll waits for a run to complete.
constexpr milliseconds completion_wait{1500};
/// A poll that fails sooner than this after its requested wait has lost its
/// connection: a worker that does not answer is given 600 ms.
constexpr milliseconds lost_connection_limit{300};
/// Delay between two polls, in which completions accumulate.
constexpr milliseconds poll_gap{25};
/// Delay between two polls while completions are not durable in the store yet.
constexpr milliseconds unsettled_poll_gap{100};
constexpr milliseconds retry_delay{150};

} // namespace

worker_lease::worker_lease(event_loop& loop, worker_orders& orders,
    worker_target target, order_fences& fences,
    std::function<time_point()> lease_limit, worker_lease_listener& listener)
    : loop(loop)
    , orders(orders)
    , worker(std::move(target))
    , fences(fences)
    , token(fences.raise())
    , first_token(this->token)
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
    auto elapsed = std::chrono::duration_cast<milliseconds>(
        this->loop.now() - this->clock_read_at);
    return this->clock_ms + elapsed.count();
}

std::uint64_t worker_lease::fencing_token_for_start()
{
    if (this->effective_poll_token == this->token)
    {
        this->token = this->fences.raise();
    }
    return this->token;
}

milliseconds worker_lease::age_of_clock(time_point sent_at) const
{
    return lease_margin +
           std::chrono::ceil<milliseconds>(
               this->loop.now() - std::min(this->report_requested_at, sent_at));
}

bool worker_lease::is_clock_of_known_incarnation(
    std::int64_t answered_clock_ms, time_point sent_at) const
{
    if (this->clock_ms < 0 || answered_clock_ms < 0)
    {
        return false;
    }
    std::int64_t const age = this->age_of_clock(sent_at).count();
    bool const is_consistent =
        std::abs(answered_clock_ms - this->clock_ms) <= age;
    // A later incarnation has counted no longer than this.
    return is_consistent && answered_clock_ms > age;
}

void worker_lease::note_clock(
    std::int64_t answered_clock_ms, time_point sent_at)
{
    if (answered_clock_ms >= 0 &&
        answered_clock_ms <
            this->clock_ms - this->age_of_clock(sent_at).count())
    {
        this->reported = false;
    }
}

void worker_lease::note_unproven_grant(time_point latest, std::uint64_t token)
{
    time_point const now = this->loop.now();
    std::erase_if(this->unproven_grants,
        [now](auto const& each) { return each.second + longest_lease < now; });
    time_point& until = this->unproven_grants[token];
    until = std::max(until, latest);
}

time_point worker_lease::unproven_until(std::uint64_t token) const
{
    time_point until{};
    for (auto each = this->unproven_grants.lower_bound(token);
         each != this->unproven_grants.end(); ++each)
    {
        until = std::max(until, each->second);
    }
    return until;
}

time_point worker_lease::next_incarnation_runs_until(
    time_point started_at, std::uint64_t token) const
{
    // The order with this token bars the earlier ones.
    return std::max(started_at, this->unproven_until(token)) + longest_lease;
}

std::int64_t worker_lease::grant_lease()
{
    if (this->clock_ms < 0)
    {
        return 0;
    }
    if (this->failures > 0)
    {
        // An order to an unresponsive worker may still arrive. Extending the
        // lease with each attempt would postpone its expiry without end.
        return this->granted_until;
    }
    auto max_length = std::chrono::duration_cast<milliseconds>(
        this->lease_limit() - this->loop.now());
    auto length = std::min(lease_length, max_length);
    this->granted_until =
        std::max(this->granted_until, this->clock_now() + length.count());
    return this->granted_until;
}

time_point worker_lease::lease_expiry() const
{
    if (this->clock_ms < 0)
    {
        // Only an earlier scheduler can have granted a lease, before this
        // object was created.
        return this->created_at +
               lease_after_heartbeat * permille / slow_clock_permille +
               lease_margin;
    }
    std::int64_t remaining =
        std::max<std::int64_t>(this->lease_end() - this->clock_ms, 0);
    time_point expiry =
        this->clock_read_at +
        milliseconds(remaining * permille / slow_clock_permille) + lease_margin;
    if (this->assumption_token > 0)
    {
        // Orders to an earlier incarnation are not barred yet.
        expiry = std::max(expiry, this->unproven_until(0) + longest_lease);
    }
    return expiry;
}

bool worker_lease::was_leader_at(time_point when) const
{
    return this->lease_limit() - lease_after_heartbeat >= when;
}

void worker_lease::poll()
{
    if (this->in_flight)
    {
        return;
    }
    this->in_flight = true;
    watch_order order;
    order.fencing_token = this->token;
    // After a poll without a report the worker may have restarted: nothing is
    // acknowledged to the next incarnation, nor is its lease renewed by the
    // clock of the earlier one.
    if (this->reported)
    {
        order.lease_until_ms = this->grant_lease();
        order.acknowledged = this->acknowledged;
    }
    sent_poll sent{this->loop.now(), this->token,
        order.lease_until_ms > 0 || order.acknowledged > 0,
        this->effective_poll_token != this->token, milliseconds(0)};
    if (sent.has_effect)
    {
        this->effective_poll_token = this->token;
    }
    bool wait = this->reported && this->unsettled.empty();
    sent.wait = wait ? completion_wait : milliseconds(0);
    order.wait_ms = sent.wait.count();
    this->orders.watch(this->worker, order,
        [this, sent, alive = this->alive](watch_result const& result)
        {
            if (*alive)
            {
                this->in_flight = false;
                this->handle_report(result, sent);
            }
        });
}

void worker_lease::handle_report(
    watch_result const& result, sent_poll const& poll)
{
    bool is_answered = result.outcome != order_outcome::in_doubt;
    if (is_answered && poll.is_only_effective &&
        this->effective_poll_token == poll.token)
    {
        this->effective_poll_token = 0;
    }
    if (!is_answered && poll.has_effect)
    {
        this->note_unproven_grant(poll.at + max_order_delay, poll.token);
    }
    this->reported =
        result.outcome == order_outcome::done && result.clock_ms >= 0;
    if (result.outcome == order_outcome::refused_fenced)
    {
        if (this->is_overtaken(poll.token))
        {
            this->schedule_poll(poll_gap);
            return;
        }
        this->schedule_poll(retry_delay);
        this->listener.on_fenced(*this);
        return;
    }
    if (result.outcome == order_outcome::other_incarnation)
    {
        this->schedule_poll(retry_delay);
        if (!this->lost)
        {
            this->lost = true;
            this->listener.on_lost(*this, loss_cause::other_incarnation,
                "another incarnation of the worker answered");
        }
        return;
    }
    if (!this->reported)
    {
        this->handle_failure(result, poll);
        return;
    }
    this->failures = 0;
    this->lost = false;
    this->clock_ms = result.clock_ms;
    this->clock_read_at = this->loop.now();
    this->report_requested_at = poll.at;
    if (this->assumption_token > 0 && poll.token >= this->assumption_token)
    {
        this->assumed_until = this->clock_ms + max_lease.count();
        this->assumption_token = 0;
    }
    std::shared_ptr<bool> still_alive = this->alive;
    this->listener.on_report(*this, result, poll.at);
    if (*still_alive)
    {
        this->schedule_poll(
            this->unsettled.empty() ? poll_gap : unsettled_poll_gap);
    }
}

void worker_lease::handle_failure(
    watch_result const& result, sent_poll const& poll)
{
    ++this->failures;
    bool lost_connection =
        this->loop.now() - poll.at < poll.wait + lost_connection_limit;
    if (this->failures == 1 && lost_connection)
    {
        // Says nothing about the worker: a poll on a new connection does.
        this->schedule_poll(milliseconds(0));
        return;
    }
    this->schedule_poll(retry_delay);
    std::string problem = result.problem.empty()
                              ? "the poll failed for an unknown reason, or the "
                                "reply does not contain the worker's clock"
                              : result.problem;
    time_point expiry = this->lease_expiry();
    if (this->loop.now() < expiry || !this->was_leader_at(expiry))
    {
        this->listener.on_unresponsive(*this, problem);
        return;
    }
    if (!this->lost)
    {
        this->lost = true;
        this->expired_lease = this->lease_end();
        this->listener.on_lost(*this, loss_cause::lease_expired,
            "its lease has expired; the last poll failed: " + problem);
    }
}

completion_receipt worker_lease::note_completion(std::int64_t number)
{
    this->last_number_seen = std::max(this->last_number_seen, number);
    this->next_number_expected = number + 1;
    this->unsettled.emplace(number, false);
    return {this->numbering, number};
}

void worker_lease::settle_completion(completion_receipt const& receipt)
{
    if (receipt.numbering.lock() == this->numbering)
    {
        this->settle_completion(receipt.number);
    }
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
    this->next_number_expected = 0;
    this->acknowledged = 0;
    this->unsettled.clear();
    this->numbering = std::make_shared<bool>();
    this->granted_until = 0;
    this->assumed_until = 0;
    this->assumption_token = 0;
    this->token = this->fences.raise();
    this->first_token = this->token;
}

void worker_lease::assume_earlier_grants()
{
    this->assumed_until = this->clock_ms + max_lease.count();
    this->assumption_token = this->token;
}

void worker_lease::poll_soon()
{
    if (!this->in_flight)
    {
        this->schedule_poll(poll_gap);
    }
}

} // namespace toucanlever
