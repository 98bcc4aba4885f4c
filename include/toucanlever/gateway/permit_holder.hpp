/// A gateway's permits for the runners' slots.
///
/// A request may be sent only if its permit remains valid for longer than the
/// request's own time limit, so that the slot is free again before the permit
/// can be granted anew.
#pragma once

#include "toucanlever/gateway/scheduler_pool.hpp"

#include <functional>
#include <map>
#include <string>

namespace toucanlever
{

/// Requests permits on demand, renews those in use and returns idle ones.
class permit_holder
{
public:
    permit_holder(
        event_loop& loop, scheduler_pool& schedulers, std::string gateway);
    ~permit_holder();

    /// Sets the handler that is called when permits have been granted.
    void on_granted(std::function<void()> handler)
    {
        this->granted_handler = std::move(handler);
    }

    /// Unused permits of the runner that remain valid for `span`.
    std::uint32_t available(std::string const& runner, milliseconds span) const;

    std::uint32_t in_use(std::string const& runner) const;

    /// Takes one permit; requires that one is available.
    void take_permit(std::string const& runner);
    void return_permit(std::string const& runner);

    /// Requests `wanted` more permits from the scheduler that grants the
    /// runner's permits (`permit_grantor`). Does nothing while a request is in
    /// flight or shortly after one was refused.
    void request_permits(instance const& runner, std::uint32_t wanted);

private:
    struct runner_permits
    {
        instance runner;
        std::uint32_t held = 0;
        std::uint32_t used = 0;
        time_point expires_at{};
        time_point last_used{};
        time_point next_request_at{};
        bool request_in_flight = false;
    };

    void renew();
    void send_request(
        runner_permits& permits, std::uint32_t keep, std::uint32_t wanted);

    event_loop& loop;
    scheduler_pool& schedulers;
    std::string gateway;
    std::map<std::string, runner_permits> permits_by_runner;
    std::function<void()> granted_handler;
    event_loop::timer_id timer = 0;
};

} // namespace toucanlever
