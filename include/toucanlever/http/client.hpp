/// HTTP towards endpoints and the platform: the event loop drives libcurl's
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
    milliseconds timeout{5000};

    /// Forbids a kept-alive connection. libcurl resends a request by itself
    /// when a reused connection turns out to be closed, so anything that is
    /// not idempotent must go on a connection of its own.
    bool fresh_connection = false;
    std::size_t max_response_bytes = 64U * 1024U * 1024U;
};

/// How far a request got.
enum class http_delivery
{
    /// A whole response came back.
    answered,
    /// No connection was made: the request provably did not arrive.
    not_sent,
    /// It may have arrived, and no whole response came back.
    in_doubt
};

/// What came of a request.
struct http_result
{
    http_delivery delivery = http_delivery::not_sent;
    http_response response;
    std::string problem;

    bool succeeded() const
    {
        return this->delivery == http_delivery::answered &&
               this->response.status >= 200 && this->response.status < 300;
    }
};

/// Sends requests concurrently; belongs to the loop's thread.
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
