/// Renews the lease of one worker and polls it for running and completed runs.
///
/// Computes, from the worker's own clock alone, when everything that was
/// started on an unresponsive worker must have ended.
///
/// A worker may restart under its id, and calls that were sent to the earlier
/// incarnation may be carried out by the next one. What keeps the two apart:
/// a poll acknowledges completions and renews the lease only if the poll before
/// it was answered; a start carries a higher fencing token than every such poll
/// that may still be delivered; and all orders after a restart was noticed
/// carry a higher token than those before.
///
/// The next incarnation counts its clock anew, so that the end of a lease in an
/// order to the earlier one says nothing there: it keeps the longest lease that
/// the platform allows, from when the order is carried out.
#pragma once

#include "toucanlever/cell/order_fences.hpp"
#include "toucanlever/cell/worker_orders.hpp"
#include "toucanlever/core/event_loop.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <string>

namespace toucanlever
{

class worker_lease;

/// Names a completion: numbers start anew with each incarnation of a worker.
struct completion_receipt
{
    // Of the lease and the incarnation to which the number belongs.
    std::weak_ptr<void> numbering;
    std::int64_t number = 0;
};

/// Why no run on a worker goes on, unless its next incarnation has started it.
enum class loss_cause
{
    /// Its lease has expired; the worker may only be unreachable.
    lease_expired,
    /// Another incarnation answers in its place.
    other_incarnation
};

template <>
struct enum_table<loss_cause>
{
    using row = enum_name<loss_cause>;
    static constexpr std::array rows{
        row{loss_cause::lease_expired, "lease-expired"},
        row{loss_cause::other_incarnation, "other-incarnation"}};
};

/// Receives the events of one worker; called on the loop's thread. The lease
/// may be destroyed from within a call.
class worker_lease_listener
{
public:
    virtual ~worker_lease_listener() = default;

    /// The worker answered a poll that was sent at `asked_at`.
    virtual void on_report(worker_lease& lease, watch_result const& report,
        time_point asked_at) = 0;

    /// Calls to the worker fail; its runs may continue.
    virtual void on_unresponsive(
        worker_lease& lease, std::string const& problem) = 0;

    /// All runs on the incarnation that answered last have certainly ended: its
    /// lease has expired, or the worker has restarted.
    virtual void on_lost(
        worker_lease& lease, loss_cause cause, std::string const& reason) = 0;

    /// The worker refused a call because it has seen a higher fencing token.
    virtual void on_fenced(worker_lease& lease) = 0;
};

/// The lease of one worker, and the loop that polls it.
class worker_lease
{
public:
    /// The longest time for which a worker keeps a lease, whatever end an order
    /// gives it. The platform limits it to 10 s of the worker's clock, which
    /// may be 2% slow.
    static constexpr milliseconds longest_lease{10300};

    /// No lease is granted beyond `lease_limit`, on which a later scheduler
    /// relies: `lease_after_heartbeat` after the last confirmed heartbeat.
    worker_lease(event_loop& loop, worker_orders& orders, worker_target target,
        order_fences& fences, std::function<time_point()> lease_limit,
        worker_lease_listener& listener);

    /// Max time from the sending of a leader's last confirmed heartbeat to the
    /// expiry of the leases that it grants.
    static constexpr milliseconds lease_after_heartbeat{8500};
    ~worker_lease();

    worker_target const& target() const { return this->worker; }

    /// The fencing token for an order other than a start that is sent now.
    std::uint64_t fencing_token() const { return this->token; }

    /// The fencing token for a start that is sent now. No poll that was sent
    /// before, and that acknowledges completions or renews the lease, is
    /// carried out after the start.
    std::uint64_t fencing_token_for_start();

    /// True for an order that was sent with a lower token than the current
    /// one: a worker that refuses it as fenced may have seen no other leader.
    bool is_overtaken(std::uint64_t sent_token) const
    {
        return sent_token < this->token;
    }

    /// The worker's clock in its last reply, in milliseconds; -1 before.
    std::int64_t reported_clock_ms() const { return this->clock_ms; }

    /// The end of the lease that expired last, in milliseconds of the worker's
    /// clock at that time; 0 before the first.
    std::int64_t expired_lease_ms() const { return this->expired_lease; }

    /// The end of the lease for an order that is sent now, in milliseconds of
    /// the worker's clock; 0 while that clock is unknown. Recorded as granted.
    std::int64_t grant_lease();

    /// True when an answer with this clock can only be of the incarnation that
    /// answered the last poll. `sent_at` is the time of the order.
    bool is_clock_of_known_incarnation(
        std::int64_t answered_clock_ms, time_point sent_at) const;

    /// Notes the clock in the answer to an order that was sent at `sent_at`.
    /// One that has begun anew shows that the worker has restarted: polls have
    /// no effect until the next report.
    void note_clock(std::int64_t answered_clock_ms, time_point sent_at);

    /// True when the known incarnation has answered a poll that was sent at
    /// this time or later.
    bool has_answered_since(time_point when) const
    {
        return this->clock_ms >= 0 && this->report_requested_at >= when;
    }

    /// Records that the next incarnation of the worker may carry out an order
    /// with a lease and this token until `latest`.
    void note_unproven_grant(time_point latest, std::uint64_t token);

    /// Until when the next incarnation of the worker may run what it started at
    /// `started_at`, at the latest, by an order with this token.
    time_point next_incarnation_runs_until(
        time_point started_at, std::uint64_t token) const;

    /// True for a start with this token that names the clock of an earlier
    /// incarnation than the known one.
    bool precedes_known_incarnation(std::uint64_t start_token) const
    {
        return start_token < this->first_token;
    }

    /// True when a heartbeat that was sent at that time or later is confirmed.
    /// Until then a successor may have renewed the lease.
    bool was_leader_at(time_point when) const;

    /// Records that the completion with this number was received. It is
    /// acknowledged to the worker once it and all earlier ones are settled.
    completion_receipt note_completion(std::int64_t number);
    /// No effect when the receipt is of an earlier incarnation.
    void settle_completion(completion_receipt const& receipt);
    /// Settles a completion of the current incarnation.
    void settle_completion(std::int64_t number);
    /// True while a completion was received that is not settled.
    bool has_unsettled_completions() const { return !this->unsettled.empty(); }
    std::int64_t last_completion_number() const
    {
        return this->last_number_seen;
    }
    /// The number up to which polls acknowledge completions.
    std::int64_t acknowledged_number() const { return this->acknowledged; }

    /// Sets the number of the next completion; 0 when it is not known.
    void expect_completion(std::int64_t number)
    {
        this->next_number_expected = number;
    }
    /// True when the worker has forgotten completions before this one that were
    /// never received.
    bool misses_completions_before(std::int64_t number) const
    {
        return this->next_number_expected > 0 &&
               number > this->next_number_expected;
    }

    /// Resets the lease and the completion numbers after the worker restarted
    /// or was lost. Orders that were sent before are refused from the next
    /// order on.
    void reset_incarnation();

    /// Assumes the longest lease that orders to an earlier incarnation of the
    /// worker can have given to the one that answered last.
    void assume_earlier_grants();

    /// Polls soon, for example because a stop was confirmed.
    void poll_soon();

private:
    /// A poll as it was sent.
    struct sent_poll
    {
        time_point at{};
        std::uint64_t token = 0;
        /// It acknowledges completions or renews the lease.
        bool has_effect = false;
        /// False when an earlier poll with the same token has such an effect
        /// and was not answered: it may still be delivered.
        bool is_only_effective = false;
        /// How long the worker may delay its reply.
        milliseconds wait{0};
    };

    void poll();
    void handle_report(watch_result const& result, sent_poll const& poll);
    void handle_failure(watch_result const& result, sent_poll const& poll);
    void schedule_poll(milliseconds delay);
    std::int64_t clock_now() const;
    /// Until when orders with this token or a higher one may renew the lease of
    /// an incarnation that has not been noticed; in the past if there are none.
    time_point unproven_until(std::uint64_t token) const;
    /// Time since the last reported clock, or since an order that was sent
    /// before, with a margin.
    milliseconds age_of_clock(time_point sent_at) const;
    /// In milliseconds of the worker's clock.
    std::int64_t lease_end() const
    {
        return std::max(this->granted_until, this->assumed_until);
    }
    time_point lease_expiry() const;

    event_loop& loop;
    worker_orders& orders;
    worker_target worker;
    order_fences& fences;
    // Of the orders that are sent now.
    std::uint64_t token;
    // The token since the known incarnation was noticed, or the lease expired.
    std::uint64_t first_token;
    // Token of the last poll that acknowledges completions or renews the lease,
    // has not been answered and may be carried out late; 0 for none.
    std::uint64_t effective_poll_token = 0;
    // By token: until when an order with a lease may be carried out by an
    // incarnation that has not been noticed.
    std::map<std::uint64_t, time_point> unproven_grants;
    std::function<time_point()> lease_limit;
    worker_lease_listener& listener;
    time_point created_at;
    // The worker's clock in its last reply; -1 before the first reply.
    std::int64_t clock_ms = -1;
    time_point clock_read_at{};
    // When the poll with that reply was sent.
    time_point report_requested_at{};
    // The latest lease end that was granted, in milliseconds of the worker's
    // clock.
    std::int64_t granted_until = 0;
    // The end of the lease that expired last, by the same clock.
    std::int64_t expired_lease = 0;
    // The latest lease end that late orders to an earlier incarnation can have
    // given to this one, in milliseconds of the worker's clock.
    std::int64_t assumed_until = 0;
    // Once a poll with this token is answered, no order to an earlier
    // incarnation is carried out any more; 0 while there is no such poll.
    std::uint64_t assumption_token = 0;
    std::int64_t last_number_seen = 0;
    // Of the next completion; 0 while it is not known.
    std::int64_t next_number_expected = 0;
    // All completions up to this number are settled.
    std::int64_t acknowledged = 0;
    // Replaced with each incarnation of the worker.
    std::shared_ptr<void> numbering = std::make_shared<bool>();
    // By completion number: true when settled. A settled completion is removed
    // once all earlier ones are settled.
    std::map<std::int64_t, bool> unsettled;
    // Failed polls since the last report.
    int failures = 0;
    // The last poll was answered with a report, so that the worker has not
    // restarted before it.
    bool reported = false;
    bool in_flight = false;
    bool lost = false;
    event_loop::timer_id poll_timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
