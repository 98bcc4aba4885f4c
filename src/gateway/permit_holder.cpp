#include "toucanlever/gateway/permit_holder.hpp"

#include "toucanlever/control/permit_controller.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

constexpr milliseconds renew_period{1000};
constexpr milliseconds min_request_interval{100};
// Permits of a runner that is not used for this long are returned.
constexpr milliseconds idle_after{3000};
constexpr milliseconds request_timeout{1000};
// A permit must outlast the request by this time.
constexpr milliseconds expiry_margin{200};

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
    runner_permits const& permits = found->second;
    bool lasts = this->loop.now() + span + expiry_margin < permits.expires_at;
    return lasts && permits.held > permits.used ? permits.held - permits.used
                                                : 0;
}

std::uint32_t permit_holder::in_use(std::string const& runner) const
{
    auto found = this->permits_by_runner.find(runner);
    return found == this->permits_by_runner.end() ? 0 : found->second.used;
}

void permit_holder::take_permit(std::string const& runner)
{
    runner_permits& permits = this->permits_by_runner.at(runner);
    ++permits.used;
    permits.last_used = this->loop.now();
}

void permit_holder::return_permit(std::string const& runner)
{
    runner_permits& permits = this->permits_by_runner.at(runner);
    --permits.used;
    permits.last_used = this->loop.now();
}

void permit_holder::request_permits(
    instance const& runner, std::uint32_t wanted)
{
    runner_permits& permits = this->permits_by_runner[runner.id];
    permits.runner = runner;
    if (!permits.request_in_flight &&
        this->loop.now() >= permits.next_request_at)
    {
        bool lapsed = this->loop.now() >= permits.expires_at;
        this->send_request(
            permits, lapsed ? permits.used : permits.held, wanted);
    }
}

void permit_holder::renew()
{
    auto now = this->loop.now();
    for (auto& entry : this->permits_by_runner)
    {
        runner_permits& permits = entry.second;
        bool idle = now - permits.last_used > idle_after;
        std::uint32_t keep = idle ? permits.used : permits.held;
        bool changed = keep != permits.held;
        if (!permits.request_in_flight && permits.held > 0 &&
            now < permits.expires_at)
        {
            // Returned permits must not be used while the request is in
            // flight.
            permits.held = changed ? keep : permits.held;
            this->send_request(permits, keep, 0);
        }
    }
}

void permit_holder::send_request(
    runner_permits& permits, std::uint32_t keep, std::uint32_t wanted)
{
    auto sent = this->loop.now();
    permits.next_request_at = sent + min_request_interval;
    std::string grantor = permit_grantor(permits.runner.id,
        this->schedulers.live_schedulers(permits.runner.domain));
    rpc_client* scheduler = this->schedulers.find(grantor);
    if (scheduler == nullptr)
    {
        return;
    }
    permits.request_in_flight = true;
    permit_request request{this->gateway, permits.runner.id, keep, wanted};
    std::string runner = permits.runner.id;
    scheduler->request(message_type::permit_request, pack(request),
        request_timeout,
        [this, runner, sent](rpc_result const& result)
        {
            runner_permits& current = this->permits_by_runner.at(runner);
            current.request_in_flight = false;
            try
            {
                auto reply =
                    result.as<permit_reply>(message_type::permit_reply, runner);
                current.held = reply.granted;
                current.expires_at = sent + milliseconds(reply.lease_ms);
            }
            catch (error const&)
            {
                // The permits held expire by themselves.
                return;
            }
            if (this->granted_handler)
            {
                this->granted_handler();
            }
        });
}

} // namespace toucanlever
