/// Settings of one gateway process.
#pragma once

#include "toucanlever/http/server.hpp"

#include <string>
#include <vector>

namespace toucanlever
{

/// Validated settings of one gateway.
struct gateway_settings
{
    std::string name;
    std::string domain;
    std::string http_address;
    std::vector<std::string> schedulers;
    http_limits limits;
    /// Interval of the state requests to each scheduler.
    milliseconds heartbeat{500};
    /// Time limit of queries to a scheduler, and the age at which its last
    /// state reply is no longer used.
    milliseconds scheduler_timeout{2500};
    /// Time limit for a submission to become durable; also limits key claims
    /// and configuration changes.
    milliseconds submit_timeout{5000};
    /// For connections to runners.
    milliseconds connect_timeout{500};
    /// Retries allowed per hundred requests.
    std::int64_t retry_percent = 10;
    bool log_decisions = true;
};

/// Reads and validates a settings file; throws a `settings_error`.
gateway_settings load_gateway_settings(std::string const& file);

} // namespace toucanlever
