/// Distributes calls to the external placement policy across the entry
/// instances, because the policy serves one call at a time per instance.
///
/// Some queues need calls of half a second, others of a few milliseconds. Long
/// calls leave a quarter of the instances to short ones, so that short calls
/// never wait behind long ones. The broker has no queue: it refuses a call that
/// no slot accepts now, so that the planner chooses the next call when a slot
/// is free.
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

/// Load and health of one instance, used to choose where a call is sent.
struct advice_slot
{
    /// The instance's name.
    std::string name;
    /// Number of calls sent to it and not answered yet.
    std::uint32_t outstanding = 0;
    /// When these calls are expected to end.
    time_point busy_until{};
    /// Gets no call before this time; set after a failed call.
    time_point backoff_until{};
};

/// A slot that can start the call now or within a short pipelining margin;
/// null when all are busy. The order of `slots` is fixed; long calls use the
/// first half only.
advice_slot* pick_slot(
    std::vector<advice_slot>& slots, microseconds duration, time_point now);

/// Chooses an instance for each call and tracks the calls in flight.
class advice_broker final : private member_listener
{
public:
    using callback = placement_advice::callback;

    /// `local` serves calls that this instance makes itself; other instances
    /// are called over their member links.
    advice_broker(
        event_loop& loop, placement_advice& local, member_links& members);
    ~advice_broker() override;

    /// True when a call of this duration can start now.
    bool has_free_slot(microseconds duration);

    /// Number of calls that can be in flight at a time, one for each instance.
    std::size_t slot_count() const { return this->slots.size(); }

    /// `duration` is the expected time of the call. Requires
    /// `has_free_slot(duration)`. `done` is called later, never from within
    /// this function.
    void request_advice(step_id const& step,
        std::vector<std::string> const& workers, microseconds duration,
        callback done);

private:
    void on_member_joined(std::string const& name) override;
    /// Fails the calls in flight to the member: its link is destroyed and drops
    /// them without an answer.
    void on_member_removed(std::string const& name) override;
    void forward(std::string const& name, advice_request const& request,
        microseconds duration, callback done);
    /// A call in flight.
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
    // False after destruction; callbacks that may run later check it.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
