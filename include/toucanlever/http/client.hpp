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

/// What all requests have in common.
struct http_call
{
    std::string url;
    http_fields headers;
    milliseconds connect_timeout{1000};
    /// How long the whole exchange may take or, with a `stall_timeout`, how
    /// long the response may take to begin.
    milliseconds timeout{5000};
    /// For responses whose size has no bound: one that has begun is received
    /// however long it takes, unless nothing arrives for this long. Zero when
    /// `timeout` limits the whole exchange.
    milliseconds stall_timeout{0};
    std::size_t max_response_bytes = 64U * 1024U * 1024U;
};

/// A GET that changes nothing at its peer. It is resent on a new connection
/// when a reused one breaks before the response, because a peer may close an
/// idle connection at any time.
struct http_query : http_call
{
};

/// A request that may change something at its peer. It is sent at most once:
/// the response to a repetition would tell nothing about the first request,
/// which may have been carried out.
struct http_command : http_call
{
    std::string method = "POST";
    std::string body;
};

/// A command that has the same effect when it is carried out twice. It is
/// resent like a query; after that only a success counts as its response, since
/// a refusal of the repetition tells nothing about the first request.
struct http_repeatable_command : http_command
{
};

/// The outcome of a query, which may have arrived more than once.
struct query_result
{
    /// A complete response was received.
    bool answered = false;
    http_response response;
    /// Why there is no response; empty when `answered`.
    std::string problem;

    bool succeeded() const
    {
        return this->answered && this->response.status >= 200 &&
               this->response.status < 300;
    }
};

/// Whether a command reached its peer.
enum class http_delivery
{
    /// A complete response was received, which tells what became of the
    /// command.
    answered,
    /// Nothing was sent: the request certainly did not arrive.
    not_sent,
    /// The request may have arrived, and no response tells what became of it.
    in_doubt
};

/// The outcome of a command.
struct command_result
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
    using query_callback = std::function<void(query_result)>;
    using command_callback = std::function<void(command_result)>;

    static constexpr std::chrono::seconds default_max_idle{118};

    /// A connection that has been idle for longer than `max_idle` is closed
    /// within some seconds.
    explicit http_client(
        event_loop& loop, std::chrono::seconds max_idle = default_max_idle);
    ~http_client();

    /// `done` is called exactly once on the loop's thread, unless the client
    /// is destroyed first.
    void send(http_query call, query_callback done);
    void send(http_command call, command_callback done);
    void send(http_repeatable_command call, command_callback done);

private:
    class impl;
    std::unique_ptr<impl> pimpl;
};

} // namespace toucanlever
