/// The operator's configuration as a cell uses it: routes from hosts and paths
/// to queues, and the terms of each queue.
#pragma once

#include "toucanlever/cell/work.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace toucanlever
{

/// A queue and the host and path prefix under which callers reach it.
struct queue_route
{
    std::string host;
    std::string prefix;
    queue_terms terms;
    /// Callers need no key.
    bool is_public = false;
};

/// One version of the configuration.
struct cell_configuration
{
    std::int64_t version = 0;
    std::vector<queue_route> routes;
    /// Callers of routes that are not public need the key of a customer.
    bool requires_keys = false;
    std::vector<customer> customers;
    std::size_t max_body_bytes = 0;
    /// How many connections a worker accepts from all instances together: the
    /// lowest of all services; 0 when none is configured.
    std::size_t worker_connections = 0;
};

/// The queue that a path is routed to, and the path after the prefix.
struct route_match
{
    queue_terms const* queue = nullptr;
    std::string_view rest;
    bool is_public = false;
};

/// Holds the configuration with the highest version received.
class queue_directory
{
public:
    /// Replaces the configuration if the new one has a higher version; returns
    /// whether it did.
    bool adopt(cell_configuration configuration);

    bool empty() const { return this->current.version == 0; }
    std::int64_t version() const { return this->current.version; }

    /// The route of the host with the longest matching prefix, or nothing.
    std::optional<route_match> find(
        std::string_view host, std::string_view path) const;

    /// The terms of a queue; null when the queue is not configured.
    queue_terms const* terms(std::string const& queue) const;

    /// True when callers of routes that are not public need a key.
    bool requires_keys() const { return this->current.requires_keys; }

    /// The terms of a customer; null when the customer is not configured.
    customer_terms const* customer_of(std::string const& name) const;

    /// As in `cell_configuration`.
    std::size_t worker_connections() const
    {
        return this->current.worker_connections;
    }

    std::vector<queue_route> const& routes() const
    {
        return this->current.routes;
    }

    std::vector<customer> const& customers() const
    {
        return this->current.customers;
    }

private:
    cell_configuration current;
    // By name: the customer's position in `current.customers`.
    std::unordered_map<std::string, std::size_t> customer_positions;
};

} // namespace toucanlever
