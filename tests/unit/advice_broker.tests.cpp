#include "toucanlever/cell/advice_broker.hpp"

#include "loopback.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

time_point const now{std::chrono::seconds(100)};
milliseconds const short_call{8};
milliseconds const long_call{600};

std::vector<advice_slot> make_slots(int count)
{
    std::vector<advice_slot> slots;
    for (int i = 0; i < count; ++i)
    {
        slots.push_back({"slot-" + std::to_string(i), 0, {}, {}});
    }
    return slots;
}

/// Starts a call as the broker does; false when there is no free slot.
bool start_call(std::vector<advice_slot>& slots, milliseconds duration)
{
    advice_slot* slot = pick_slot(slots, duration, now);
    if (slot == nullptr)
    {
        return false;
    }
    ++slot->outstanding;
    slot->busy_until = std::max(slot->busy_until, now) + duration;
    return true;
}

/// A policy that receives no requests in these tests.
class no_advice final : public placement_advice
{
public:
    void request_advice(
        step_id const&, std::vector<std::string> const&, callback) override
    {
    }
};

/// An instance that receives requests and answers none.
class unresponsive_instance final : public rpc_handler
{
public:
    void on_request(frame const&, std::string const&, rpc_responder) override
    {
        ++this->requests;
    }

    int requests = 0;
};

} // namespace

Test(advice_broker, long_calls_leave_slots_to_short_ones)
{
    // One slot in four, in cells of any size.
    for (int count : {4, 6, 7, 35})
    {
        std::vector<advice_slot> slots = make_slots(count);
        int long_calls = 0;
        while (start_call(slots, long_call))
        {
            ++long_calls;
        }
        cr_assert(long_calls == count - count / 4);
        cr_assert(start_call(slots, short_call));
    }
}

Test(advice_broker, refuses_calls_it_cannot_start_instead_of_queueing_them)
{
    std::vector<advice_slot> slots = make_slots(2);
    int calls = 0;
    while (calls < 100 && start_call(slots, short_call))
    {
        ++calls;
    }
    // Each slot accepts a few short calls in advance, and no more.
    cr_assert(calls == 6);
}

Test(advice_broker, a_single_instance_accepts_long_calls)
{
    std::vector<advice_slot> slots = make_slots(1);
    cr_assert(start_call(slots, long_call));
    cr_assert_not(start_call(slots, short_call));
}

Test(advice_broker, a_slot_backs_off_after_a_failed_call)
{
    std::vector<advice_slot> slots = make_slots(1);
    slots[0].backoff_until = now + milliseconds(1);
    cr_assert_not(start_call(slots, short_call));
}

Test(advice_broker, a_call_fails_when_its_instance_becomes_unresponsive)
{
    manual_clock time;
    event_loop loop(time);
    unresponsive_instance unresponsive;
    std::string const address = own_ip(3) + ":7500";
    rpc_server server(loop, address, unresponsive, rpc_timing{});
    no_advice local;
    member_links members(loop, "self");
    advice_broker broker(loop, local, members);
    auto advance = [&](milliseconds span)
    {
        constexpr milliseconds step{20};
        for (milliseconds done{0}; done < span; done += step)
        {
            time.advance(step);
            loop.run_ready();
        }
    };
    members.handle_hello({"one", address});
    members.handle_hello({"two", address});
    advance(milliseconds(400));
    int answers = 0;
    // The link alone would time the call out after 5.5 s.
    broker.request_advice({"job", 0, 0}, {"w"}, milliseconds(2000),
        [&answers](advice_result const& result)
        { answers += result.answered ? 100 : 1; });
    advance(milliseconds(200));
    cr_assert(unresponsive.requests == 1);
    advance(milliseconds(2400));
    cr_assert(answers == 1);
}
