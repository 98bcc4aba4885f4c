/// The configuration that operators store in the platform's table service:
/// customers, services and presets. It is one YAML document and is validated
/// as a whole.
#pragma once

#include "toucanlever/core/enum_names.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace toucanlever
{

/// A customer and the token that authenticates it.
struct customer_config
{
    std::string name;
    std::string token;
    bool is_operator = false;
    /// Maximum number of accepted jobs that have not ended.
    std::int64_t max_open_jobs = 0;
    /// Maximum number of concurrent requests at one gateway.
    std::int64_t max_open_requests = 0;
};

/// A service whose requests are routed to runners.
struct service_config
{
    std::string name;
    bool idempotent = false;
    /// Callers must send an Idempotency-Key.
    bool key_required = false;
    std::int64_t timeout_ms = 0;
};

/// Scheduling policy that applies while the preset is in force.
struct preset_config
{
    std::string name;
    /// Weight of each customer's share; the default weight is 1.
    std::map<std::string, std::int64_t> entitlements;
    /// If false, no new batch work is placed; running work continues.
    bool place_batch = true;
    /// Running batch work is preempted at a checkpoint in favour of customers
    /// that have less than their share.
    bool stop_for_shares = true;
};

/// The whole configuration.
struct cell_config
{
    std::map<std::string, customer_config> customers;
    // Token to customer name. Invariant: one entry per customer.
    std::map<std::string, std::string> customer_by_token;
    std::map<std::string, service_config> services;
    std::map<std::string, preset_config> presets;

    /// Returns null for an unknown token.
    customer_config const* find_customer_by_token(
        std::string const& token) const;
    /// Throws an `error` with code not_found if there is no such service;
    /// `step` is the operation that the error reports as failed.
    service_config const& find_service(
        std::string const& name, std::string const& step) const;
    /// Returns 1 for an unknown preset or a customer that the preset does not
    /// name.
    std::int64_t weight(
        std::string const& preset, std::string const& customer) const;
};

/// Parses and validates a configuration; throws a `settings_error` with line
/// and column of the first problem. Messages show `name` as the file name.
cell_config parse_cell_config(std::string const& yaml, std::string const& name);

} // namespace toucanlever
