/// Renews one worker's lease and follows what runs and ends on it.
///
/// Knows, from the worker's own clock alone, when everything that was started
/// there must have ended although nobody hears the worker.
#pragma once

#include "toucanlever/cell/worker_orders.hpp"
#include "toucanlever/core/event_loop.hpp"

#include <map>
#include <memory>
#include <string>

namespace toucanlever
{

class worker_lease;

/// Hears of one worker; called on the loop's thread. The watch may be
/// destroyed from within a call.
class worker_lease_listener
{
public:
    virtual ~worker_lease_listener() = default;

    /// The worker answered a call that was sent at `asked_at`.
    virtual void on_report(worker_lease& watch, watch_result const& report,
        time_point asked_at) = 0;

    /// Calls fail, and what ran there may go on.
    virtual void on_unresponsive(
        worker_lease& watch, std::string const& problem) = 0;

    /// What ran there has ended for sure: the lease is over, or the worker
    /// began anew.
    virtual void on_lost(worker_lease& watch, std::string const& reason) = 0;

    /// The worker obeys a higher fencing token.
    virtual void on_fenced(worker_lease& watch) = 0;
};

/// One worker.
class worker_lease
{
public:
    /// No lease reaches beyond `lease_limit`: a later scheduler counts on it.
    worker_lease(event_loop& loop, worker_orders& orders, worker_target target,
        std::uint64_t fence, std::function<time_point()> lease_limit,
        worker_lease_listener& listener);

    /// How far beyond a holder's last confirmed beat its leases may reach.
    static constexpr milliseconds lease_after_heartbeat{8500};
    ~worker_lease();

    worker_target const& target() const { return this->worker; }

    /// The end of the lease that an order sent now is to carry, on the
    /// worker's clock. Remembered as granted.
    std::int64_t grant_lease();

    /// The end with this number was taken note of; it is acknowledged once
    /// `settled`.
    void note_completion(std::int64_t number);
    void settle_completion(std::int64_t number);
    std::int64_t last_completion_number() const
    {
        return this->last_number_seen;
    }

    /// The worker began anew: numbers start again.
    void reset_incarnation();

    /// Asks soon, for instance because a stop was sent.
    void poll_soon();

private:
    void poll();
    void handle_report(watch_result const& result, time_point asked_at);
    void handle_failure(watch_result const& result);
    void schedule_poll(milliseconds delay);
    std::int64_t clock_now() const;
    time_point lease_expiry() const;

    event_loop& loop;
    worker_orders& orders;
    worker_target worker;
    std::uint64_t fencing_token;
    std::function<time_point()> lease_limit;
    worker_lease_listener& listener;
    time_point created_at;
    // The worker's clock as it stood when an answer came; -1 for none.
    std::int64_t clock_ms = -1;
    time_point clock_read_at{};
    std::int64_t granted_until = 0;
    std::int64_t last_number_seen = 0;
    std::int64_t acknowledged = 0;
    // Ends that were noted and not settled, by number.
    std::map<std::int64_t, bool> unsettled;
    int failures = 0;
    bool in_flight = false;
    bool lost = false;
    event_loop::timer_id poll_timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
