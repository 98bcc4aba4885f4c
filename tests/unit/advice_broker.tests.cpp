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

std::vector<advice_slot> make_lanes(int count)
{
    std::vector<advice_slot> lanes;
    for (int i = 0; i < count; ++i)
    {
        lanes.push_back({"lane-" + std::to_string(i), 0, {}, {}});
    }
    return lanes;
}

/// Begins a call as the broker does; false when there is no lane.
bool begin(std::vector<advice_slot>& lanes, milliseconds duration)
{
    advice_slot* lane = pick_slot(lanes, duration, now);
    if (lane == nullptr)
    {
        return false;
    }
    ++lane->outstanding;
    lane->busy_until = std::max(lane->busy_until, now) + duration;
    return true;
}

/// A policy that is never asked here.
class no_advice final : public placement_advice
{
public:
    void request_advice(
        step_id const&, std::vector<std::string> const&, callback) override
    {
    }
};

/// An instance that takes requests and answers none.
class silent_instance final : public rpc_handler
{
public:
    void on_request(frame const&, std::string const&, rpc_responder) override
    {
        ++this->requests;
    }

    int requests = 0;
};

} // namespace

Test(advice_broker, long_calls_leave_lanes_to_short_ones)
{
    // One lane in four, in cells of any size.
    for (int count : {4, 6, 7, 35})
    {
        std::vector<advice_slot> lanes = make_lanes(count);
        int long_calls = 0;
        while (begin(lanes, long_call))
        {
            ++long_calls;
        }
        cr_assert(long_calls == count - count / 4);
        cr_assert(begin(lanes, short_call));
    }
}

Test(advice_broker, refuses_what_it_cannot_begin_instead_of_queueing_it)
{
    std::vector<advice_slot> lanes = make_lanes(2);
    int calls = 0;
    while (calls < 100 && begin(lanes, short_call))
    {
        ++calls;
    }
    // Each lane takes a few short calls ahead of time, and no more.
    cr_assert(calls == 6);
}

Test(advice_broker, one_instance_takes_long_calls_too)
{
    std::vector<advice_slot> lanes = make_lanes(1);
    cr_assert(begin(lanes, long_call));
    cr_assert_not(begin(lanes, short_call));
}

Test(advice_broker, a_lane_that_failed_rests)
{
    std::vector<advice_slot> lanes = make_lanes(1);
    lanes[0].backoff_until = now + milliseconds(1);
    cr_assert_not(begin(lanes, short_call));
}

Test(advice_broker, a_call_ends_when_its_instance_is_no_longer_heard)
{
    manual_clock time;
    event_loop loop(time);
    silent_instance silent;
    std::string const address = own_ip(3) + ":7500";
    rpc_server server(loop, address, silent, rpc_timing{});
    no_advice local;
    member_links members(loop, "self");
    advice_broker broker(loop, local, members);
    auto pass = [&](milliseconds span)
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
    pass(milliseconds(400));
    int answers = 0;
    // The link alone would give it up after 5.5 s.
    broker.request_advice({"job", 0, 0}, {"w"}, milliseconds(2000),
        [&answers](advice_result const& result)
        { answers += result.answered ? 100 : 1; });
    pass(milliseconds(200));
    cr_assert(silent.requests == 1);
    pass(milliseconds(2400));
    cr_assert(answers == 1);
}
