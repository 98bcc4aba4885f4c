/// The gateway's filter chain. A request passes the filters in order; each
/// filter answers it or passes it on, at once or asynchronously.
#pragma once

#include "toucanlever/control/cell_config.hpp"
#include "toucanlever/core/error.hpp"
#include "toucanlever/http/server.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace toucanlever
{

/// State of one request in the chain.
struct request_context
{
    /// Identifies the request in logs, at runners and in the answer.
    std::string id;
    http_request request;
    std::shared_ptr<http_exchange> exchange;
    time_point arrived{};

    /// Set by the parse filter for /v1/services/{service}/...
    std::string service;
    std::string service_path;

    /// Idempotency key, set by the parse filter; empty without the header.
    std::string key;

    /// Set by the authenticate filter.
    customer_config customer;

    /// Set by the idempotency filter: this request claimed its key, so that no
    /// other request with the key may run.
    bool holds_key = false;
    /// Identifies this request in the key's row, whose version after the claim
    /// is `claim_version`.
    std::string claimant;
    std::int64_t claim_version = 0;
    std::uint64_t body_hash = 0;

    /// Called once, before the answer is sent.
    std::vector<std::function<void(http_response const&)>> on_answer;
    bool answered = false;
    /// The failure, when it is reported by this system and not by a runner.
    std::optional<error> failure;

    /// Sends the first answer; ignores later ones.
    void answer(http_response response);
    void fail(error const& problem);
};

using context_ptr = std::shared_ptr<request_context>;

/// One filter of the chain.
class request_filter
{
public:
    virtual ~request_filter() = default;

    /// Calls `proceed` or answers. A thrown `error` becomes the answer.
    virtual void apply(
        context_ptr const& context, std::function<void()> const& proceed) = 0;
};

/// Applies the filters in the order in which they were added.
class filter_chain
{
public:
    void add(std::unique_ptr<request_filter> filter);
    void run(context_ptr const& context) const;

private:
    void step(context_ptr const& context, std::size_t index) const;

    std::vector<std::unique_ptr<request_filter>> filters;
};

/// Header of every answer: the request's id in the logs.
constexpr char const* request_id_header = "X-Request-Id";

/// Header of every error: whether the request ran (no | yes | unknown).
constexpr char const* ran_header = "X-Toucan-Ran";

/// The JSON answer for an error, with Retry-After where a retry may help
/// (status 429 and 503).
http_response error_response(error const& problem);

} // namespace toucanlever
