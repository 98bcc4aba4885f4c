/// Divides each runner's slots among the gateways by leased permits.
///
/// One live scheduler of the runner's failure domain, the grantor, grants
/// them. A gateway counts a permit's lease from when it sent its request, so
/// the permit expires there before it is granted again. A scheduler that has
/// just become the grantor, or that was paused, first waits for the peer
/// timeout, a lease and a margin; during that time it renews the permits that
/// gateways report and grants no new ones.
#pragma once

#include "toucanlever/control/membership_controller.hpp"
#include "toucanlever/wire/messages.hpp"

#include <map>
#include <string>

namespace toucanlever
{

/// A permit's lease is its service's time limit plus this margin. The `margin`
/// of `permit_controller` is another one and follows the lease.
constexpr milliseconds permit_lease_margin{2000};

/// The incarnation of the scheduler that grants a runner's permits, chosen
/// from the schedulers that the calling process considers live. Gateways and
/// schedulers both choose by this function.
std::string permit_grantor(
    std::string const& runner, std::vector<scheduler_state> const& live);

/// Grants permits for one scheduler. Does no I/O; reads only the clock.
class permit_controller
{
public:
    /// `margin` is the time after a lease before its permits are granted again.
    permit_controller(clock const& time, std::string incarnation,
        milliseconds peer_timeout, milliseconds margin);

    /// To be called regularly: a gap of more than half the peer timeout means
    /// that the process was paused, and restarts the wait for every runner.
    void tick();

    /// `grantor` is the incarnation that this scheduler considers the runner's
    /// grantor, `slots` the runner's limit, 0 while the runner shuts down.
    /// Throws an `error` when another scheduler is the grantor.
    permit_reply grant(permit_request const& request,
        std::string const& grantor, std::uint32_t slots, milliseconds lease);

private:
    struct gateway_permits
    {
        std::uint32_t count = 0;
        time_point expires_at{};
    };

    struct runner_state
    {
        time_point granting_since{};
        std::map<std::string, gateway_permits> permits_by_gateway;
    };

    clock const& time;
    std::string incarnation;
    milliseconds peer_timeout;
    milliseconds margin;
    milliseconds max_tick_gap;
    time_point last_tick;
    std::map<std::string, runner_state> runners;
};

} // namespace toucanlever
