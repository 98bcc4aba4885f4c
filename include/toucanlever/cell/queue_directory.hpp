/// The operator's configuration as a cell uses it: routes from hosts and paths
/// to queues, and the terms of each queue.
#pragma once

#include "toucanlever/cell/work.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucanlever
{

/// A queue and the host and path prefix under which callers reach it.
struct queue_route
{
    std::string host;
    std::string prefix;
    queue_terms terms;
};

/// One version of the configuration.
struct cell_configuration
{
    std::int64_t version = 0;
    std::vector<queue_route> routes;
    std::size_t max_body_bytes = 0;
};

/// The queue that a path is routed to, and the path after the prefix.
struct route_match
{
    queue_terms const* queue = nullptr;
    std::string_view rest;
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

private:
    cell_configuration current;
};

} // namespace toucanlever
