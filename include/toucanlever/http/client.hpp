/// HTTP client for endpoints and the platform. The event loop drives libcurl's
/// multi interface.
#pragma once

#include "toucanlever/core/event_loop.hpp"
#include "toucanlever/http/message.hpp"

#include <functional>
#include <memory>
#include <string>

namespace toucanlever
{

/// A request to send.
struct http_call
{
    std::string method = "GET";
    std::string url;
    http_fields headers;
    std::string body;
    milliseconds connect_timeout{1000};
    /// How long the whole exchange may take or, with a `stall_timeout`, how
    /// long the response may take to begin.
    milliseconds timeout{5000};
    /// For responses whose size has no bound: one that has begun is received
    /// however long it takes, unless nothing arrives for this long. Zero when
    /// `timeout` limits the whole exchange.
    milliseconds stall_timeout{0};

    /// Requires a new connection. libcurl silently resends a request when a
    /// reused connection turns out to be closed, so a request that is not
    /// idempotent must use a new one.
    bool fresh_connection = false;
    std::size_t max_response_bytes = 64U * 1024U * 1024U;
};

/// Whether a request reached its peer.
enum class http_delivery
{
    /// A complete response was received.
    answered,
    /// No connection was made: the request certainly did not arrive.
    not_sent,
    /// The request may have arrived, but no complete response was received.
    in_doubt
};

/// The outcome of a request.
struct http_result
{
    http_delivery delivery = http_delivery::not_sent;
    http_response response;
    /// Why there is no response; empty when `answered`.
    std::string problem;

    bool succeeded() const
    {
        return this->delivery == http_delivery::answered &&
               this->response.status >= 200 && this->response.status < 300;
    }
};

/// Sends requests concurrently; used on the loop's thread only.
class http_client
{
public:
    using callback = std::function<void(http_result)>;

    explicit http_client(event_loop& loop);
    ~http_client();

    /// `done` is called exactly once on the loop's thread, unless the client
    /// is destroyed first.
    void send(http_call call, callback done);

private:
    class impl;
    std::unique_ptr<impl> pimpl;
};

} // namespace toucanlever
