#include "toucanlever/gateway/permit_holder.hpp"

#include "toucanlever/control/permit_controller.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

constexpr milliseconds renew_period{1000};
constexpr milliseconds ask_again_after{100};
constexpr milliseconds idle_after{3000};
constexpr milliseconds ask_timeout{1000};
constexpr milliseconds holder_margin{200};

} // namespace

permit_holder::permit_holder(
    event_loop& loop, scheduler_pool& schedulers, std::string gateway)
    : loop(loop)
    , schedulers(schedulers)
    , gateway(std::move(gateway))
{
    this->timer = loop.every(renew_period, [this] { this->renew(); });
}

permit_holder::~permit_holder()
{
    this->loop.cancel(this->timer);
}

std::uint32_t permit_holder::available(
    std::string const& runner, milliseconds span) const
{
    auto found = this->permits_by_runner.find(runner);
    if (found == this->permits_by_runner.end())
    {
        return 0;
    }
    runner_permits const& own = found->second;
    bool lasts = this->loop.now() + span + holder_margin < own.expires_at;
    return lasts && own.held > own.used ? own.held - own.used : 0;
}

std::uint32_t permit_holder::in_use(std::string const& runner) const
{
    auto found = this->permits_by_runner.find(runner);
    return found == this->permits_by_runner.end() ? 0 : found->second.used;
}

void permit_holder::take_permit(std::string const& runner)
{
    runner_permits& own = this->permits_by_runner.at(runner);
    ++own.used;
    own.last_used = this->loop.now();
}

void permit_holder::return_permit(std::string const& runner)
{
    runner_permits& own = this->permits_by_runner.at(runner);
    --own.used;
    own.last_used = this->loop.now();
}

void permit_holder::request_permits(
    instance const& runner, std::uint32_t wanted)
{
    runner_permits& own = this->permits_by_runner[runner.id];
    own.runner = runner;
    if (!own.request_in_flight && this->loop.now() >= own.next_request_at)
    {
        bool lapsed = this->loop.now() >= own.expires_at;
        this->send_request(own, lapsed ? own.used : own.held, wanted);
    }
}

void permit_holder::renew()
{
    auto now = this->loop.now();
    for (auto& entry : this->permits_by_runner)
    {
        runner_permits& own = entry.second;
        bool idle = now - own.last_used > idle_after;
        std::uint32_t keep = idle ? own.used : own.held;
        bool changed = keep != own.held;
        if (!own.request_in_flight && own.held > 0 && now < own.expires_at)
        {
            // What is given back is not used while the answer is on its way.
            own.held = changed ? keep : own.held;
            this->send_request(own, keep, 0);
        }
    }
}

void permit_holder::send_request(
    runner_permits& from, std::uint32_t keep, std::uint32_t wanted)
{
    auto sent = this->loop.now();
    from.next_request_at = sent + ask_again_after;
    std::string grantor = permit_grantor(
        from.runner.id, this->schedulers.live_schedulers(from.runner.domain));
    rpc_client* scheduler = this->schedulers.find(grantor);
    if (scheduler == nullptr)
    {
        return;
    }
    from.request_in_flight = true;
    permit_request request{this->gateway, from.runner.id, keep, wanted};
    std::string runner = from.runner.id;
    scheduler->request(message_type::permit_request, pack(request), ask_timeout,
        [this, runner, sent](rpc_result const& result)
        {
            runner_permits& own = this->permits_by_runner.at(runner);
            own.request_in_flight = false;
            try
            {
                auto reply =
                    result.as<permit_reply>(message_type::permit_reply, runner);
                own.held = reply.granted;
                own.expires_at = sent + milliseconds(reply.lease_ms);
            }
            catch (error const&)
            {
                // What is held lapses by itself.
                return;
            }
            if (this->granted_handler)
            {
                this->granted_handler();
            }
        });
}

} // namespace toucanlever
