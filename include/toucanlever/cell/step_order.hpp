/// The order in which waiting steps are planned. No side effects: time is an
/// argument.
///
/// When a cell has more work than capacity, ordering by deadline alone makes
/// every job late. Steps are therefore ordered in groups: jobs that can still
/// finish in time, then jobs that can only be late, then jobs that are too late
/// to be of use to their caller. Within a group, priority decides, then the
/// latest start time.
///
/// Long-running tasks that are overdue come before all of these. They are few,
/// they start once and then run for good, and each second without them is lost
/// to their users; behind a queue that is always late they would never start.
#pragma once

#include "toucanlever/cell/work_registry.hpp"

#include <cstdint>
#include <set>
#include <vector>

namespace toucanlever
{

/// What a job can still achieve if its step starts now; best first, because
/// `order_steps` serves the groups in the order of these values.
enum class start_prospect
{
    overdue_long_running,
    in_time,
    late,
    useless
};

start_prospect prospect_of(step_rank const& rank, std::int64_t wall_ms);

/// The first `limit` steps in planning order.
std::vector<step_rank> order_steps(
    std::set<step_rank> const& ready, std::int64_t wall_ms, std::size_t limit);

} // namespace toucanlever
