/// The order in which waiting steps are looked at. Pure: time is an argument.
///
/// Answers the load of a cell that has more work than room: served by deadline
/// alone, every job waits until it is late. A job that can still be in time
/// goes before one that can only be late, and that before one whose caller has
/// no use for it any more; within each of the three, priority, then the latest
/// start.
#pragma once

#include "toucanlever/cell/work_registry.hpp"

#include <cstdint>
#include <set>
#include <vector>

namespace toucanlever
{

/// What a job is still good for if its step starts now.
enum class start_prospect
{
    in_time,
    late,
    useless
};

start_prospect prospect_of(step_rank const& rank, std::int64_t wall_ms);

/// The first `limit` steps, best first.
std::vector<step_rank> order_steps(
    std::set<step_rank> const& ready, std::int64_t wall_ms, std::size_t limit);

} // namespace toucanlever
