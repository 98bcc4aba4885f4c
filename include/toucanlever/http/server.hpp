/// HTTP for callers and operators: libmicrohttpd reads whole requests on its
/// own thread, the owner's event loop decides them, and the connection waits
/// suspended in between.
#pragma once

#include "toucanlever/core/event_loop.hpp"
#include "toucanlever/http/message.hpp"

#include <functional>
#include <memory>

namespace toucanlever
{

/// One request that waits for its answer. The first call to `answer` counts;
/// safe from any thread.
class http_exchange
{
public:
    virtual ~http_exchange() = default;
    virtual void answer(http_response response) = 0;
};

/// Decides requests on the event loop's thread.
class http_handler
{
public:
    virtual ~http_handler() = default;
    virtual void on_request(
        http_request request, std::shared_ptr<http_exchange> exchange) = 0;
};

/// What a caller may ask of the server.
struct http_limits
{
    std::size_t max_body_bytes = 8U * 1024U * 1024U;
    std::size_t max_header_bytes = 32U * 1024U;
    unsigned max_connections = 4096;
    /// From the connection's first byte of a request to its last.
    milliseconds request_time{10000};
};

/// Listens on one address until destroyed.
class http_server
{
public:
    /// Throws an `error` when the address cannot be bound.
    http_server(event_loop& loop, std::string const& address,
        http_handler& handler, http_limits limits);
    ~http_server();

    /// Stops accepting; requests in progress go on.
    void stop_accepting();

    /// Requests that have not been answered yet.
    std::size_t in_progress() const;

private:
    class impl;
    std::unique_ptr<impl> pimpl;
};

} // namespace toucanlever
