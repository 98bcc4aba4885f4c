/// Chooses the workers that a call to the external placement policy asks about.
///
/// A call takes a fixed time and some more for each worker it names, and the
/// policy serves one call at a time per instance. While there are enough calls
/// for all steps, a call names workers generously: a longer call costs less
/// than a second one. On a busy cell the calls run out before the capacity
/// does: steps wait for a call while workers are free. A call then names only
/// as many workers as are likely to suffice, given the share of workers that
/// the policy has approved so far and the tasks that fit on each worker, and
/// for some time no call is made for a step whose approved workers only have to
/// become free.
///
/// No side effects: the decision follows from its arguments.
#pragma once

#include "toucanlever/cell/worker_history.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace toucanlever
{

/// A usable worker about which the policy was not asked for the step yet.
struct advice_option
{
    std::string const* worker = nullptr;
    /// Tasks of the step that fit in its free capacity, less what steps are
    /// expected to use whose calls are in flight.
    std::uint32_t fitting = 0;
    /// Tasks of the step that fit on it while it runs nothing.
    std::uint32_t fitting_empty = 0;
    std::int64_t free_cpu_millis = 0;
    /// Among workers on which equally many tasks fit, faster ones come first.
    worker_speed speed = worker_speed::normal;
    /// Held back for another step: asked about only when the others are not
    /// expected to suffice.
    bool held_back = false;
};

/// What a step still needs.
struct advice_demand
{
    /// Tasks for which no approved worker has enough free capacity.
    std::uint32_t missing_tasks = 0;
    /// The tasks start together or not at all.
    bool all_or_none = false;
    /// Tasks that would fit on the approved workers if these ran nothing.
    std::uint64_t fitting_approved_empty = 0;
    /// Share of the workers asked about that the policy approves, above 0.
    double approval_share = 0.5;
    /// More steps wait than calls can be made at a time.
    bool calls_are_scarce = false;
    /// The step has waited for its approved workers for so long that they may
    /// be occupied for good, for example by long-running tasks.
    bool has_waited_long = false;
};

/// The workers to ask about, at most `placement_advice::max_workers`; empty
/// when a call would not let the step start sooner.
std::vector<std::string> choose_workers_to_query(
    std::vector<advice_option> options, advice_demand const& demand);

/// The share of workers that the policy approves for the steps of one queue.
class approval_estimate
{
public:
    /// Adds an answer about workers that had not been asked about before.
    void add(std::size_t asked, std::size_t approved);
    double share() const;

private:
    // The first answers replace this assumption: half of a few workers.
    double asked = 8.0;
    double approved = 4.0;
};

} // namespace toucanlever
