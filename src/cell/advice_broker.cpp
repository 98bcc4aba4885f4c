#include "toucanlever/cell/advice_broker.hpp"

#include "toucanlever/core/log.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

/// Calls of at least this length leave one lane in so many to shorter ones.
constexpr milliseconds long_call{150};
constexpr std::size_t short_lanes = 4;
/// A short call may be sent while the one before it takes this much longer,
/// so that the policy does not wait for the way between instances.
constexpr milliseconds pipelined{20};
constexpr std::uint32_t max_outstanding = 3;
/// An answer that takes this much longer than it should is given up.
constexpr milliseconds answer_margin{1500};

} // namespace

advice_slot* pick_slot(
    std::vector<advice_slot>& lanes, microseconds duration, time_point now)
{
    std::size_t usable = lanes.size();
    if (duration >= long_call)
    {
        usable = lanes.size() - lanes.size() / short_lanes;
    }
    advice_slot* best = nullptr;
    for (std::size_t i = 0; i < usable; ++i)
    {
        advice_slot& lane = lanes[i];
        bool nearly_free = duration < long_call &&
                           lane.outstanding < max_outstanding &&
                           lane.busy_until <= now + pipelined;
        bool free = lane.outstanding == 0 || nearly_free;
        if (!free || now < lane.backoff_until)
        {
            continue;
        }
        // Later lanes first among the idle: long calls use the first ones.
        if (best == nullptr || lane.busy_until <= best->busy_until)
        {
            best = &lane;
        }
    }
    return best;
}

advice_broker::advice_broker(
    event_loop& loop, placement_advice& local, member_links& members)
    : loop(loop)
    , local(local)
    , members(members)
{
    this->slots.push_back({members.self(), 0, {}, {}});
    members.add_listener(*this);
}

advice_broker::~advice_broker()
{
    *this->alive = false;
}

void advice_broker::on_member_joined(std::string const& name)
{
    auto same = [&name](advice_slot const& lane) { return lane.name == name; };
    if (std::none_of(this->slots.begin(), this->slots.end(), same))
    {
        this->slots.push_back({name, 0, {}, {}});
    }
}

bool advice_broker::has_free_slot(microseconds duration)
{
    return pick_slot(this->slots, duration, this->loop.now()) != nullptr;
}

void advice_broker::request_advice(step_id const& step,
    std::vector<std::string> const& workers, microseconds duration,
    callback done)
{
    time_point now = this->loop.now();
    advice_slot* lane = pick_slot(this->slots, duration, now);
    ++lane->outstanding;
    lane->busy_until = std::max(lane->busy_until, now) + duration;
    std::string name = lane->name;
    std::uint64_t call = this->next_call++;
    this->calls.emplace(call, open_call{name, std::move(done)});
    auto ended = [this, call, alive = this->alive](advice_result const& result)
    {
        if (*alive)
        {
            this->complete_call(call, result);
        }
    };
    if (name == this->members.self())
    {
        this->local.request_advice(step, workers, ended);
        return;
    }
    this->forward(name, advice_request{step, workers}, duration, ended);
}

void advice_broker::complete_call(
    std::uint64_t call, advice_result const& result)
{
    auto found = this->calls.find(call);
    if (found == this->calls.end())
    {
        return;
    }
    open_call ended = std::move(found->second);
    this->calls.erase(found);
    this->release_slot(ended.member, result.answered);
    ended.done(result);
}

void advice_broker::on_member_removed(std::string const& name)
{
    for (auto const& [call, open] : this->calls)
    {
        if (open.member != name)
        {
            continue;
        }
        this->loop.post(
            [this, call = call, alive = this->alive]
            {
                if (*alive)
                {
                    this->complete_call(call, advice_result{});
                }
            });
    }
    std::erase_if(this->slots,
        [&name](advice_slot const& lane) { return lane.name == name; });
}

void advice_broker::release_slot(std::string const& name, bool answered)
{
    constexpr milliseconds rest{300};
    for (advice_slot& lane : this->slots)
    {
        if (lane.name == name && lane.outstanding > 0)
        {
            --lane.outstanding;
            lane.backoff_until =
                answered ? time_point{} : this->loop.now() + rest;
            if (lane.outstanding == 0)
            {
                lane.busy_until = this->loop.now();
            }
        }
    }
}

void advice_broker::forward(std::string const& name,
    advice_request const& request, microseconds duration, callback done)
{
    rpc_client* link = this->members.find(name);
    if (link == nullptr)
    {
        this->loop.post([done = std::move(done)] { done(advice_result{}); });
        return;
    }
    milliseconds timeout =
        std::chrono::duration_cast<milliseconds>(duration * 2) + answer_margin;
    link->request(message_type::advice_request, pack(request), timeout,
        [done = std::move(done), address = link->address()](
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
