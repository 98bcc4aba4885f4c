/// HTTP calls of toucanctl to a gateway.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace toucanlever
{

/// Exit codes of toucanctl, documented in docs/OPERATIONS.md.
enum class ctl_exit
{
    done = 0,
    refused = 1,
    usage = 2,
    unreachable = 3,
    job_failed = 4
};

/// A gateway's response.
struct api_answer
{
    /// HTTP status; 0 when there was no response.
    int status = 0;
    nlohmann::json body;
    /// The raw body, or why there was no response.
    std::string text;
};

/// The gateway to call and the token to authenticate with.
struct api_target
{
    std::string gateway;
    std::string token;
};

/// Sends one request and waits for the response.
api_answer call_api(api_target const& target, std::string const& method,
    std::string const& path, std::string const& body,
    std::string const& idempotency_key, int timeout_s);

} // namespace toucanlever
