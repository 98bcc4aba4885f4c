/// Blocking HTTP client for the callers and admin calls of a scenario.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace scenario
{

using nlohmann::json;

/// The answer to a request; status 0 when there was none.
struct reply
{
    int status = 0;
    std::string body;
    /// True when no connection could be made, so that nothing was sent.
    bool refused = false;

    /// The body as JSON; an empty object when it is not valid JSON.
    json json_body() const;
};

/// Sends one request on a new connection. An error or a timeout, which covers
/// the whole request, gives status 0.
reply call(std::string const& method, std::string const& url,
    std::string const& body,
    std::vector<std::pair<std::string, std::string>> const& headers,
    int timeout_ms);

/// POSTs JSON to an admin path of a stand-in.
reply post_admin(
    std::string const& address, std::string const& path, json const& body);

} // namespace scenario
