/// Simulates a cell in virtual time: runs a placement policy on a trace and
/// measures waiting times, shares and packing.
#pragma once

#include "trace.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bench
{

/// Measurements of one simulation. Times are virtual, except `decision_ns`,
/// which is real time per placement decision.
struct simulation_result
{
    /// Time from arrival to first start, by job kind or "urgent".
    std::map<std::string, std::vector<std::int64_t>> waits_us;
    std::vector<std::int64_t> peak_urgent_waits_us;
    /// Number of candidates that each decision examined.
    std::vector<std::uint32_t> examined;
    std::vector<std::int64_t> decision_ns;
    std::uint64_t placed = 0;
    /// Jobs still queued at the end of the trace.
    std::uint64_t unplaced = 0;
    std::uint64_t preemptions = 0;
    /// Processor time in millicore-microseconds: allocated while jobs waited,
    /// and spent on making and restoring checkpoints over the whole trace.
    double allocated_work = 0.0;
    double checkpoint_overhead = 0.0;
    /// Allocated processors divided by allocatable processors, while jobs wait;
    /// 1 when none waited.
    double packing = 0.0;
    /// Lowest ratio of share to entitlement of any customer, at most 1, sampled
    /// during the peak while that customer has jobs waiting.
    double worst_share = 0.0;
    /// That ratio for each customer.
    std::map<std::string, double> shares;
    /// As `worst_share`, but a job counts as waiting only after it has waited
    /// for longer than a checkpoint takes.
    double worst_late_share = 0.0;
};

/// Runs `workload` through `policy` and returns the measurements.
simulation_result simulate(
    toucanlever::placement_policy& policy, trace const& workload);

/// The value below which this fraction of the sorted values lies; 0 when there
/// are no values.
std::int64_t quantile(std::vector<std::int64_t> values, double fraction);

} // namespace bench
