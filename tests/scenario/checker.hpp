/// The invariants that hold after every scenario, read from the workers' and
/// runners' own ledgers and from what the callers were told; never from the
/// system's view of itself.
#pragma once

#include "callers.hpp"

#include <string>
#include <vector>

namespace scenario
{

/// One broken promise.
struct violation
{
    std::string invariant;
    std::string detail;
};

/// What a configuration poller saw, in order, per gateway.
struct revision_sample
{
    std::string gateway;
    std::int64_t revision = 0;
    std::string preset;
};

/// All that is checked together.
struct observations
{
    json workers;
    json runners;
    std::vector<call_record> calls;
    std::vector<revision_sample> revisions;
};

std::vector<violation> check(observations const& all);

} // namespace scenario
