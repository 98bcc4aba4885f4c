/// Seeded arrival traces in virtual time.
#pragma once

#include "toucanlever/policy/placement_policy.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace bench
{

/// User whose cell is simulated; determines the processors of a worker.
enum class trace_profile
{
    strekbod,
    agency,
    fleet
};

/// Parameters of make_trace().
struct trace_options
{
    trace_profile profile = trace_profile::strekbod;
    std::uint32_t workers = 50;
    std::uint32_t customers = 8;
    std::uint64_t seed = 1;
    /// Virtual length of ordinary load and peak together.
    std::int64_t length_us = 120'000'000;
};

/// One job of a trace.
struct trace_job
{
    toucanlever::queued_job job;
    /// Run time without interruptions.
    std::int64_t run_us = 0;
    /// Time at which the job is cancelled; 0 for never.
    std::int64_t cancel_us = 0;
};

/// Jobs ordered by arrival time, and the workers of the simulated cell.
struct trace
{
    std::vector<trace_job> jobs;
    std::vector<toucanlever::resources> worker_capacities;
    toucanlever::share_weights ordinary_weights;
    toucanlever::share_weights peak_weights;
    /// Start of the peak, which lasts to the end of the trace: more work
    /// arrives than the workers can run, and `peak_weights` apply.
    std::int64_t peak_start_us = 0;
    std::int64_t length_us = 0;
    /// The first `bad_workers` workers fail every job.
    std::uint32_t bad_workers = 0;
};

/// Generates a trace. All random choices depend only on the seed.
trace make_trace(trace_options const& options);

} // namespace bench
