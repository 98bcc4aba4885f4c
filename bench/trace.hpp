/// Seeded arrival traces in virtual time.
#pragma once

#include "toucanlever/policy/placement_policy.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace bench
{

/// What the traces of one user are like.
enum class trace_profile
{
    strekbod,
    agency,
    fleet
};

/// What is to be made.
struct trace_options
{
    trace_profile profile = trace_profile::strekbod;
    std::uint32_t workers = 50;
    std::uint32_t customers = 8;
    std::uint64_t seed = 1;
    /// Of the whole trace.
    std::int64_t length_us = 120'000'000;
};

/// One job of a trace.
struct trace_job
{
    toucanlever::queued_job job;
    std::int64_t run_us = 0;
    /// Cancelled at this time; 0 for never.
    std::int64_t cancel_us = 0;
};

/// Jobs by arrival, and the workers they meet.
struct trace
{
    std::vector<trace_job> jobs;
    std::vector<toucanlever::resources> worker_capacities;
    toucanlever::share_weights ordinary_weights;
    toucanlever::share_weights peak_weights;
    /// From here to the end arrivals outrun the workers, and the weights of
    /// the peak are in force.
    std::int64_t peak_start_us = 0;
    std::int64_t length_us = 0;
    std::uint32_t bad_workers = 0;
};

trace make_trace(trace_options const& options);

} // namespace bench
