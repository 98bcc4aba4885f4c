/// Spreads calls to the external policy over the entry instances, since it
/// answers one call at a time for each of them.
///
/// Answers the load of queues whose calls take half a second beside queues
/// whose calls take some milliseconds: long calls keep to half of the
/// instances, so that short ones never wait behind them. Nothing is queued: a
/// call that no instance can begin is refused, so that whoever decides what is
/// asked next decides when there is a lane for it.
#pragma once

#include "toucanlever/cell/cell_messages.hpp"
#include "toucanlever/cell/placement_advice.hpp"
#include "toucanlever/core/event_loop.hpp"
#include "toucanlever/wire/rpc.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace toucanlever
{

/// An instance's calls, as the choice sees it.
struct advice_lane
{
    std::string name;
    std::uint32_t outstanding = 0;
    time_point busy_until{};
    /// After a call that failed it gets none until then.
    time_point rest_until{};
};

/// A lane that can begin the call at once, or nearly so; null when all are
/// busy. `lanes` is in a fixed order; long calls use the first half only.
advice_lane* pick_lane(
    std::vector<advice_lane>& lanes, microseconds duration, time_point now);

/// The instances and what each was asked.
class advice_broker
{
public:
    using callback = placement_advice::callback;

    /// `local` is used by this instance itself.
    advice_broker(event_loop& loop, placement_advice& local, std::string name);
    ~advice_broker();

    /// An instance that can be asked; unheard ones are left out.
    void hear(member_hello const& member);

    /// Whether a call of this length could begin now.
    bool has_lane(microseconds duration);

    /// `duration` is how long the policy takes; there must be a lane. `done`
    /// is never called from within.
    void ask(step_id const& step, std::vector<std::string> const& workers,
        microseconds duration, callback done);

private:
    struct member
    {
        std::unique_ptr<rpc_client> link;
        time_point heard{};
        std::string address;
    };

    void forward(std::string const& name, advice_request const& request,
        microseconds duration, callback done);
    /// A call that was begun and has not ended.
    struct open_call
    {
        std::string member;
        callback done;
    };

    void finish(std::uint64_t call, advice_result const& result);
    /// Ends the calls of a member that goes: its link tells nobody.
    void fail_calls(std::string const& member);
    void free_lane(std::string const& name, bool answered);
    void drop_unheard();

    event_loop& loop;
    placement_advice& local;
    std::string self;
    std::map<std::string, member> members;
    std::vector<advice_lane> lanes;
    std::map<std::uint64_t, open_call> calls;
    std::uint64_t next_call = 1;
    event_loop::timer_id sweep = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
