/// The order in which waiting steps are planned. No side effects: time is an
/// argument.
///
/// When a cell has more work than capacity, ordering by deadline alone makes
/// every job late. Steps are therefore ordered in groups: jobs that can still
/// finish in time, then jobs that can only be late, then jobs beyond what their
/// customer is entitled to submit, then jobs that are too late to be of use to
/// their caller. Within a group, priority decides, then whether the customer
/// uses no more than its fair share of the capacity, then the latest start
/// time.
///
/// Long-running tasks that are overdue come before all of these. They are few,
/// they start once and then run for good, and each second without them is lost
/// to their users; behind a queue that is always late they would never start.
/// Those beyond their customer's entitlement do not: submitting many would let
/// a customer pass all others.
#pragma once

#include "toucanlever/cell/work_registry.hpp"

#include <cstdint>
#include <functional>
#include <set>
#include <vector>

namespace toucanlever
{

start_prospect prospect_of(step_rank const& rank, std::int64_t wall_ms);

/// True when the step's customer uses more than its fair share of the capacity;
/// empty when no customer does.
using share_test = std::function<bool(step_rank const& rank)>;

/// The steps in planning order. `sorted` is sorted by rank; the result points
/// to the same ranks, so that ordering copies none.
std::vector<step_rank const*> order_steps(
    std::vector<step_rank const*> const& sorted, std::int64_t wall_ms,
    share_test const& is_over_share = {});

/// Orders all ready steps.
std::vector<step_rank const*> order_steps(std::set<step_rank> const& ready,
    std::int64_t wall_ms, share_test const& is_over_share = {});

} // namespace toucanlever
