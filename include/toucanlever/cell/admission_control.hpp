/// Decides at an entry instance whether to reject a submission because the cell
/// has more work than it can do. No I/O; time is an argument.
///
/// Addresses callers that send more than the capacity: a job that would be of
/// no use when it ends is rejected before it takes capacity from others, and
/// its caller is told when to return.
#pragma once

#include "toucanlever/cell/cell_messages.hpp"
#include "toucanlever/core/clock.hpp"
#include "toucanlever/core/enum_names.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace toucanlever
{

/// Why a submission is rejected.
enum class rejection : std::uint8_t
{
    none,
    /// The job would end too late to be of use to its caller.
    backlog,
    /// Its customer submits more than it is entitled to, and the job would be
    /// late.
    beyond_entitlement
};

template <>
struct enum_table<rejection>
{
    using row = enum_name<rejection>;
    static constexpr std::array rows{row{rejection::none, "none"},
        row{rejection::backlog, "backlog"},
        row{rejection::beyond_entitlement, "beyond-entitlement"}};
};

/// Outcome of the decision about a submission.
struct admission_decision
{
    rejection why = rejection::none;
    /// Accepted although it would be rejected, to see whether the estimate is
    /// right.
    bool is_probe = false;
    /// For a rejection: when to submit the job again, in whole seconds.
    std::int64_t retry_after_s = 0;
};

/// The decisions of one entry instance.
class admission_control
{
public:
    /// Estimates that are older reject nothing: three hello periods.
    static constexpr milliseconds max_estimate_age{1500};
    /// One in this many submissions that would be rejected is a probe.
    static constexpr std::uint64_t rejections_per_probe = 16;

    /// Replaces the estimates by those that were computed no earlier than `at`.
    void set_estimates(
        std::vector<queue_estimate> const& estimates, time_point at);

    /// Decides about a submission and counts it for its customer. One that
    /// `may_have_run` is never rejected.
    admission_decision decide(
        work_record const& record, bool may_have_run, time_point now);

private:
    bool is_beyond_entitlement(customer_terms const& customer, time_point now);
    void forget_idle_customers(time_point now);
    rejection rejection_of(
        work_record const& record, bool is_beyond, std::int64_t wait_ms) const;

    // By queue, in milliseconds.
    std::map<std::string, std::int64_t> waits;
    time_point estimated_at{};
    // By customer: its submissions at this instance in the last second.
    std::map<std::string, std::deque<time_point>> submissions;
    time_point customers_checked_at{};
    std::uint64_t rejections = 0;
};

} // namespace toucanlever
