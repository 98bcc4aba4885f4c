/// A gateway's permits for the runners' slots.
///
/// A request may be sent only while its permit outlasts the request's own
/// time limit, so that a slot is free again when its permit is given anew.
#pragma once

#include "toucanlever/gateway/scheduler_pool.hpp"

#include <functional>
#include <map>
#include <string>

namespace toucanlever
{

/// Asks for permits when there is demand, renews those in use, and lets
/// unused ones go.
class permit_holder
{
public:
    permit_holder(
        event_loop& loop, scheduler_pool& schedulers, std::string gateway);
    ~permit_holder();

    /// Called when permits arrived.
    void on_granted(std::function<void()> handler)
    {
        this->granted_handler = std::move(handler);
    }

    /// Permits of the runner that could be used now for `span`.
    std::uint32_t available(std::string const& runner, milliseconds span) const;

    std::uint32_t in_use(std::string const& runner) const;

    /// Takes one; the caller has seen that one is available.
    void take_permit(std::string const& runner);
    void return_permit(std::string const& runner);

    /// Asks the grantor for `wanted` more; does nothing while an answer is
    /// awaited or was refused a moment ago.
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
        runner_permits& from, std::uint32_t keep, std::uint32_t wanted);

    event_loop& loop;
    scheduler_pool& schedulers;
    std::string gateway;
    std::map<std::string, runner_permits> permits_by_runner;
    std::function<void()> granted_handler;
    event_loop::timer_id timer = 0;
};

} // namespace toucanlever
