/// The operator's configuration as a cell uses it: which paths lead to which
/// queues, and what each queue grants.
#pragma once

#include "toucanlever/cell/work.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucanlever
{

/// A queue and the address under which callers reach it.
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

/// A route that a path leads to and what follows its prefix.
struct route_match
{
    queue_terms const* queue = nullptr;
    std::string_view rest;
};

/// Holds the highest version seen.
class queue_directory
{
public:
    /// True when it is newer than what is in force and now in force.
    bool adopt(cell_configuration configuration);

    bool empty() const { return this->current.version == 0; }
    std::int64_t version() const { return this->current.version; }

    /// The longest matching prefix of the host, or nothing.
    std::optional<route_match> find(
        std::string_view host, std::string_view path) const;

    /// The terms of a queue that still exists; null otherwise.
    queue_terms const* terms(std::string const& queue) const;

private:
    cell_configuration current;
};

} // namespace toucanlever
