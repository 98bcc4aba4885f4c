/// Spreads calls to the external policy over the entry instances, since it
/// answers one call at a time for each of them.
///
/// Answers the load of queues whose calls take half a second beside queues
/// whose calls take some milliseconds: long calls leave a quarter of the
/// instances to short ones, so that these never wait behind them. Nothing is
/// queued: a call that no instance can begin is refused, so that whoever
/// decides what is asked next decides when there is a lane for it.
#pragma once

#include "toucanlever/cell/member_links.hpp"
#include "toucanlever/cell/placement_advice.hpp"
#include "toucanlever/core/event_loop.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace toucanlever
{

/// An instance's calls, as the choice sees it.
struct advice_slot
{
    std::string name;
    std::uint32_t outstanding = 0;
    time_point busy_until{};
    /// After a call that failed it gets none until then.
    time_point backoff_until{};
};

/// A lane that can begin the call at once, or nearly so; null when all are
/// busy. `lanes` is in a fixed order; long calls use the first half only.
advice_slot* pick_slot(
    std::vector<advice_slot>& lanes, microseconds duration, time_point now);

/// The instances and what each was asked.
class advice_broker final : private member_listener
{
public:
    using callback = placement_advice::callback;

    /// `local` is used by this instance itself; the others are asked over
    /// their links.
    advice_broker(
        event_loop& loop, placement_advice& local, member_links& members);
    ~advice_broker() override;

    /// Whether a call of this length could begin now.
    bool has_free_slot(microseconds duration);

    /// `duration` is how long the policy takes; there must be a lane. `done`
    /// is never called from within.
    void request_advice(step_id const& step,
        std::vector<std::string> const& workers, microseconds duration,
        callback done);

private:
    void on_member_joined(std::string const& name) override;
    /// Ends the calls of the member: its link tells nobody.
    void on_member_removed(std::string const& name) override;
    void forward(std::string const& name, advice_request const& request,
        microseconds duration, callback done);
    /// A call that was begun and has not ended.
    struct open_call
    {
        std::string member;
        callback done;
    };

    void complete_call(std::uint64_t call, advice_result const& result);
    void release_slot(std::string const& name, bool answered);

    event_loop& loop;
    placement_advice& local;
    member_links& members;
    std::vector<advice_slot> slots;
    std::map<std::uint64_t, open_call> calls;
    std::uint64_t next_call = 1;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
