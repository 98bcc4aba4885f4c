#include "toucanlever/control/permit_controller.hpp"

#include "toucanlever/core/ids.hpp"

#include <algorithm>

namespace toucanlever
{

std::string permit_grantor(
    std::string const& runner, std::vector<scheduler_state> const& live)
{
    std::vector<std::string> names;
    for (scheduler_state const& state : live)
    {
        names.push_back(state.incarnation);
    }
    return rendezvous_pick(runner, names);
}

permit_controller::permit_controller(clock const& time, std::string incarnation,
    milliseconds peer_timeout, milliseconds margin)
    : time(time)
    , incarnation(std::move(incarnation))
    , peer_timeout(peer_timeout)
    , margin(margin)
    , max_tick_gap(peer_timeout / 2)
    , last_tick(time.now())
{
}

void permit_controller::tick()
{
    auto now = this->time.now();
    if (now - this->last_tick > this->max_tick_gap)
    {
        // Paused: another may have granted meanwhile.
        this->runners.clear();
    }
    this->last_tick = now;
}

permit_reply permit_controller::grant(permit_request const& request,
    std::string const& grantor, std::uint32_t slots, milliseconds lease)
{
    this->tick();
    if (grantor != this->incarnation)
    {
        this->runners.erase(request.runner);
        throw error(error_code::unavailable,
            "another scheduler grants these permits", "grant-permits");
    }
    auto now = this->time.now();
    auto [entry, is_new] = this->runners.try_emplace(request.runner);
    runner_state& runner = entry->second;
    if (is_new)
    {
        runner.granting_since = now;
    }
    std::uint32_t others = 0;
    std::erase_if(runner.permits_by_gateway, [now](auto const& each)
        { return each.second.expires_at <= now || each.second.count == 0; });
    for (auto const& each : runner.permits_by_gateway)
    {
        others += each.first == request.gateway ? 0 : each.second.count;
    }
    auto quiet = this->peer_timeout + lease + this->margin;
    bool settled = now - runner.granting_since >= quiet;
    std::uint32_t left = slots > others ? slots - others : 0;
    std::uint32_t asked = request.held + (settled ? request.wanted : 0);
    permit_reply reply;
    reply.granted = std::min(asked, settled ? left : request.held);
    reply.lease_ms = lease.count();
    gateway_permits& own = runner.permits_by_gateway[request.gateway];
    // The gateway goes on using what it said it holds should this reply be
    // lost.
    own.count = std::max(reply.granted, request.held);
    own.expires_at = now + lease + this->margin;
    return reply;
}

} // namespace toucanlever
