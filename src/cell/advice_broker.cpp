#include "toucanlever/cell/advice_broker.hpp"

#include "toucanlever/core/log.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

/// Calls of at least this duration leave one slot in `slots_per_short_slot` to
/// shorter calls.
constexpr milliseconds min_long_call{150};
constexpr std::size_t slots_per_short_slot = 4;
/// A short call may be sent when the previous one has at most this much time
/// left, so that the policy does not idle during the network delay between
/// instances.
constexpr milliseconds pipelining_margin{20};
/// Maximum number of calls at one instance, running or waiting there.
constexpr std::uint32_t max_outstanding = 3;
/// A call times out this long after twice its expected duration.
constexpr milliseconds answer_margin{1500};

} // namespace

advice_slot* pick_slot(
    std::vector<advice_slot>& slots, microseconds duration, time_point now)
{
    std::size_t usable = slots.size();
    if (duration >= min_long_call)
    {
        usable = slots.size() - slots.size() / slots_per_short_slot;
    }
    advice_slot* best = nullptr;
    for (std::size_t i = 0; i < usable; ++i)
    {
        advice_slot& slot = slots[i];
        bool nearly_free = duration < min_long_call &&
                           slot.outstanding < max_outstanding &&
                           slot.busy_until <= now + pipelining_margin;
        bool free = slot.outstanding == 0 || nearly_free;
        if (!free || now < slot.backoff_until)
        {
            continue;
        }
        // Ties go to the later slot, because long calls use the first ones.
        if (best == nullptr || slot.busy_until <= best->busy_until)
        {
            best = &slot;
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
    auto same = [&name](advice_slot const& slot) { return slot.name == name; };
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
    advice_slot* slot = pick_slot(this->slots, duration, now);
    ++slot->outstanding;
    slot->busy_until = std::max(slot->busy_until, now) + duration;
    std::string name = slot->name;
    std::uint64_t call = this->next_call++;
    this->calls.emplace(call, open_call{name, std::move(done)});
    auto on_answer = [this, call, alive = this->alive](
                         advice_result const& result)
    {
        if (*alive)
        {
            this->complete_call(call, result);
        }
    };
    if (name == this->members.self())
    {
        this->local.request_advice(step, workers, on_answer);
        return;
    }
    this->forward(name, advice_request{step, workers}, duration, on_answer);
}

void advice_broker::complete_call(
    std::uint64_t call, advice_result const& result)
{
    auto found = this->calls.find(call);
    if (found == this->calls.end())
    {
        return;
    }
    open_call finished = std::move(found->second);
    this->calls.erase(found);
    this->release_slot(finished.member, result.answered);
    finished.done(result);
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
        [&name](advice_slot const& slot) { return slot.name == name; });
}

void advice_broker::release_slot(std::string const& name, bool answered)
{
    // An instance gets no call for this long after an unanswered one.
    constexpr milliseconds backoff{300};
    for (advice_slot& slot : this->slots)
    {
        if (slot.name == name && slot.outstanding > 0)
        {
            --slot.outstanding;
            slot.backoff_until =
                answered ? time_point{} : this->loop.now() + backoff;
            if (slot.outstanding == 0)
            {
                slot.busy_until = this->loop.now();
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
