/// Settings of one entry instance of a cell, with the platform's bounds
/// already in the project's terms.
#pragma once

#include "toucanlever/core/clock.hpp"

#include <string>

namespace toucanlever
{

/// Where this instance stands and what it may reach.
struct cell_settings
{
    std::string name;
    std::string failure_domain;
    std::string caller_address;
    std::string readiness_address;
    std::string peer_address;
    std::string metrics_address;
    std::string store_address;
    std::string advice_address;
    /// Share of a core that this instance has: the larger ones are to be the
    /// active scheduler.
    double cpu_share = 1.0;
    /// Between SIGTERM and SIGKILL.
    milliseconds stop_grace{6000};
    /// How long an ended job can be asked for.
    milliseconds keep_ended{120000};
    bool log_decisions = true;

    bool operator==(cell_settings const&) const = default;
};

} // namespace toucanlever
