/// Divides each runner's slots among the gateways, by leased permits.
///
/// One live scheduler of the runner's failure domain grants them. A permit
/// lapses by its gateway's clock, counted from when it asked, before it is
/// given again. A scheduler that only just became the granting one, or that
/// was paused, first lets a whole lease pass in which it renews what gateways
/// say they hold and gives nothing new.
#pragma once

#include "toucanlever/control/membership_controller.hpp"
#include "toucanlever/wire/messages.hpp"

#include <map>
#include <string>

namespace toucanlever
{

/// A permit's lease is its service's time limit and this.
constexpr milliseconds permit_lease_margin{2000};

/// The scheduler that grants permits of a runner, from one process's view;
/// gateways and schedulers use this same choice.
std::string permit_grantor(
    std::string const& runner, std::vector<scheduler_state> const& live);

/// Grants on behalf of one scheduler. Pure but for the clock.
class permit_controller
{
public:
    permit_controller(clock const& time, std::string incarnation,
        milliseconds peer_timeout, milliseconds margin);

    /// Called regularly; a long gap between two calls means a pause.
    void tick();

    /// `grantor` is who this scheduler believes grants the runner's permits,
    /// `slots` the runner's limit, 0 while it is leaving. Throws an `error`
    /// when that is somebody else.
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
