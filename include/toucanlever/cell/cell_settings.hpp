/// Settings of one entry instance of a cell. Limits that the platform sets are
/// already converted to the project's own units.
#pragma once

#include "toucanlever/core/clock.hpp"

#include <string>

namespace toucanlever
{

/// Location, addresses (IP:PORT) and limits of this instance.
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
    /// CPU cores available to this instance; may be less than 1. An instance
    /// with less than `leadership::full_cpu_share` delays its attempts to
    /// become the active scheduler, so that larger ones are preferred.
    double cpu_share = 1.0;
    /// Time between SIGTERM and SIGKILL.
    milliseconds stop_grace{6000};
    /// How long an ended job can still be queried.
    milliseconds keep_ended{120000};
    bool log_decisions = true;
    /// How old the confirmation of the configuration may be when a call with a
    /// customer's key is served; 0 for no limit.
    milliseconds revocation_bound{0};
    /// How long a query for the state of an open job waits for its outcome.
    milliseconds status_wait{0};
    /// Rejects submissions that would be of no use to their caller because of
    /// the cell's backlog.
    bool admission_control = false;

    bool operator==(cell_settings const&) const = default;
};

} // namespace toucanlever
