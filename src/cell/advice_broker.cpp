#include "toucanlever/cell/advice_broker.hpp"

#include "toucanlever/core/log.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

/// Calls of at least this length keep to half of the lanes.
constexpr milliseconds long_call{150};
/// Between instances, beside the policy's own time.
constexpr milliseconds call_overhead{1};
/// An answer that takes this much longer than it should is given up.
constexpr milliseconds answer_margin{1500};
/// Instances say hello twice a second.
constexpr milliseconds unheard_after{1600};
constexpr milliseconds sweep_period{500};

} // namespace

advice_lane* pick_lane(
    std::vector<advice_lane>& lanes, microseconds duration, time_point now)
{
    std::size_t usable = lanes.size();
    if (duration >= long_call)
    {
        usable = (lanes.size() + 1) / 2;
    }
    advice_lane* best = nullptr;
    for (std::size_t i = 0; i < usable; ++i)
    {
        auto begin = std::max(lanes[i].busy_until, now);
        // Later lanes first among the idle: the first half is for long calls.
        if (best == nullptr || begin <= std::max(best->busy_until, now))
        {
            best = &lanes[i];
        }
    }
    if (best != nullptr)
    {
        best->busy_until =
            std::max(best->busy_until, now) + duration + call_overhead;
    }
    return best;
}

advice_broker::advice_broker(
    event_loop& loop, placement_advice& local, std::string name)
    : loop(loop)
    , local(local)
    , self(std::move(name))
{
    this->lanes.push_back({this->self, {}});
    this->sweep =
        this->loop.every(sweep_period, [this] { this->drop_unheard(); });
}

advice_broker::~advice_broker()
{
    this->loop.cancel(this->sweep);
}

void advice_broker::hear(member_hello const& hello)
{
    if (hello.name == this->self)
    {
        return;
    }
    member& entry = this->members[hello.name];
    entry.heard = this->loop.now();
    if (entry.address != hello.address)
    {
        entry.address = hello.address;
        entry.link = std::make_unique<rpc_client>(
            this->loop, hello.address, rpc_timing{});
        log_line("member-joined")
            .with("member", hello.name)
            .with("address", hello.address);
    }
    auto same = [&hello](advice_lane const& lane)
    { return lane.name == hello.name; };
    if (std::none_of(this->lanes.begin(), this->lanes.end(), same))
    {
        this->lanes.push_back({hello.name, {}});
    }
}

void advice_broker::drop_unheard()
{
    time_point now = this->loop.now();
    for (auto entry = this->members.begin(); entry != this->members.end();)
    {
        if (now - entry->second.heard < unheard_after)
        {
            ++entry;
            continue;
        }
        log_line("member-unheard").with("member", entry->first);
        std::erase_if(this->lanes,
            [&entry](advice_lane const& lane)
            { return lane.name == entry->first; });
        entry = this->members.erase(entry);
    }
}

void advice_broker::ask(step_id const& step,
    std::vector<std::string> const& workers, microseconds duration,
    callback done)
{
    advice_lane* lane = pick_lane(this->lanes, duration, this->loop.now());
    if (lane->name == this->self)
    {
        this->local.ask(step, workers, std::move(done));
        return;
    }
    this->forward(
        lane->name, advice_request{step, workers}, duration, std::move(done));
}

void advice_broker::forward(std::string const& name,
    advice_request const& request, microseconds duration, callback done)
{
    member& entry = this->members.at(name);
    milliseconds timeout =
        std::chrono::duration_cast<milliseconds>(duration * 2) + answer_margin;
    entry.link->request(message_type::advice_request, pack(request), timeout,
        [done = std::move(done), address = entry.address](
            rpc_result const& result)
        {
            try
            {
                done(result.as<advice_result>(
                    message_type::advice_reply, address));
            }
            catch (error const& problem)
            {
                log_line("advice-failed")
                    .with("step", problem.step)
                    .with("peer", address)
                    .with("problem", problem.what());
                done(advice_result{});
            }
        });
}

} // namespace toucanlever
