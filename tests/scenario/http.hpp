/// Blocking HTTP for callers and admin calls of a scenario.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace scenario
{

using nlohmann::json;

/// What came back; status 0 when nothing did.
struct reply
{
    int status = 0;
    std::string body;
    /// True when no connection could be made: nothing was sent.
    bool refused = false;

    json json_body() const;
};

/// Sends one request on a connection of its own.
reply call(std::string const& method, std::string const& url,
    std::string const& body,
    std::vector<std::pair<std::string, std::string>> const& headers,
    int timeout_ms);

/// POSTs JSON to a stand-in's admin path.
reply post_admin(
    std::string const& address, std::string const& path, json const& body);

} // namespace scenario
