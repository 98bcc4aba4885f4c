/// Runs a policy over a trace in virtual time: fake workers that take what
/// the policy decides, and the measures that come of it.
#pragma once

#include "trace.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bench
{

/// What one run showed. Times are virtual but for `decision_ns`.
struct simulation_result
{
    std::map<std::string, std::vector<std::int64_t>> waits_us;
    std::vector<std::int64_t> peak_urgent_waits_us;
    std::vector<std::uint32_t> examined;
    std::vector<std::int64_t> decision_ns;
    std::uint64_t placed = 0;
    std::uint64_t unplaced = 0;
    std::uint64_t preemptions = 0;
    /// Processor time, in thousandths times microseconds: given while work
    /// waited, and of all that what checkpoints took.
    double allocated_work = 0.0;
    double checkpoint_overhead = 0.0;
    /// Given processors over what could be given, while work waits.
    double packing = 0.0;
    /// The worst customer's share against its entitlement while it has work
    /// waiting, in the peak.
    double worst_share = 0.0;
    /// The same for each customer.
    std::map<std::string, double> shares;
    /// The same when a job counts as waiting only once it has waited for as
    /// long as a checkpoint takes.
    double worst_late_share = 0.0;
};

simulation_result simulate(
    toucanlever::placement_policy& policy, trace const& workload);

/// The value below which `part` of the sorted list lies; 0 for none.
std::int64_t quantile(std::vector<std::int64_t> values, double fraction);

} // namespace bench
