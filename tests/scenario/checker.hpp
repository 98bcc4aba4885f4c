/// Checks the invariants that hold after every scenario. The input is the
/// ledgers of the simulated workers and runners and the answers that callers
/// received, never the state that the system reports about itself.
#pragma once

#include "callers.hpp"

#include <string>
#include <vector>

namespace scenario
{

/// One violated invariant.
struct violation
{
    std::string invariant;
    std::string detail;
};

/// One configuration read from a gateway; samples are in polling order.
struct revision_sample
{
    std::string gateway;
    std::int64_t revision = 0;
    std::string preset;
};

/// Input of the checks.
struct observations
{
    json workers;
    json runners;
    std::vector<call_record> calls;
    std::vector<revision_sample> revisions;
};

/// Returns all violations; empty when every invariant holds.
std::vector<violation> check(observations const& all);

} // namespace scenario
