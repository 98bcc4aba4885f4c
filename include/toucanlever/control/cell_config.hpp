/// The configuration that operators keep in the platform's table service:
/// customers, services and presets. One YAML text, checked whole.
#pragma once

#include "toucanlever/core/enum_names.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace toucanlever
{

/// A customer and how it proves who it is.
struct customer_config
{
    std::string name;
    std::string token;
    bool is_operator = false;
    /// Accepted and not yet ended jobs at one time.
    std::int64_t max_open_jobs = 0;
    /// Requests in progress at one gateway at one time.
    std::int64_t max_open_requests = 0;
};

/// A service whose requests are routed to runners.
struct service_config
{
    std::string name;
    bool idempotent = false;
    /// A caller must send an Idempotency-Key.
    bool key_required = false;
    std::int64_t timeout_ms = 0;
};

/// What holds while a preset is in force.
struct preset_config
{
    std::string name;
    /// Weight of each customer's share; customers not named have 1.
    std::map<std::string, std::int64_t> entitlements;
    /// False stops placing of new batch work; running work goes on.
    bool place_batch = true;
    /// Running batch work makes way for customers that have less than their
    /// part, at a checkpoint.
    bool stop_for_shares = true;
};

/// The whole configuration.
struct cell_config
{
    std::map<std::string, customer_config> customers;
    // Invariant: one entry per customer.
    std::map<std::string, std::string> customer_by_token;
    std::map<std::string, service_config> services;
    std::map<std::string, preset_config> presets;

    customer_config const* find_customer_by_token(
        std::string const& token) const;
    /// Throws an `error` that names `step` for an unknown service.
    service_config const& find_service(
        std::string const& name, std::string const& step) const;
    std::int64_t weight(
        std::string const& preset, std::string const& customer) const;
};

/// Reads and checks a configuration; throws a `settings_error` with line and
/// column for the first problem.
cell_config parse_cell_config(std::string const& yaml, std::string const& name);

} // namespace toucanlever
