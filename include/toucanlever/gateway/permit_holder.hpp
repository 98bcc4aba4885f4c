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
        this->granted = std::move(handler);
    }

    /// Unused permits of the runner that remain valid for `span`.
    std::uint32_t available(std::string const& runner, milliseconds span) const;

    std::uint32_t in_use(std::string const& runner) const;

    /// Takes one permit; requires that one is available.
    void use(std::string const& runner);
    void put_back(std::string const& runner);

    /// Requests `wanted` more permits from the runner's grantor. Does nothing
    /// while a request is in flight or shortly after one was refused.
    void want(instance const& runner, std::uint32_t wanted);

private:
    struct holding
    {
        instance runner;
        std::uint32_t held = 0;
        std::uint32_t used = 0;
        time_point until{};
        time_point last_used{};
        time_point next_ask{};
        bool asking = false;
    };

    void renew();
    void ask(holding& permits, std::uint32_t keep, std::uint32_t wanted);

    event_loop& loop;
    scheduler_pool& schedulers;
    std::string gateway;
    std::map<std::string, holding> holdings;
    std::function<void()> granted;
    event_loop::timer_id timer = 0;
};

} // namespace toucanlever
