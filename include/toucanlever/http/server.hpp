/// HTTP server for callers and operators. libmicrohttpd reads whole requests
/// on its own thread, the owner's event loop handles them, and the connection
/// is suspended until the response is ready.
#pragma once

#include "toucanlever/core/event_loop.hpp"
#include "toucanlever/http/message.hpp"

#include <functional>
#include <memory>

namespace toucanlever
{

/// A request that waits for its response. Only the first call to `answer` has
/// an effect; safe from any thread.
class http_exchange
{
public:
    virtual ~http_exchange() = default;
    virtual void answer(http_response response) = 0;
};

/// Handles requests on the event loop's thread.
class http_handler
{
public:
    virtual ~http_handler() = default;
    virtual void on_request(
        http_request request, std::shared_ptr<http_exchange> exchange) = 0;
};

/// Limits on requests and connections.
struct http_limits
{
    std::size_t max_body_bytes = 8U * 1024U * 1024U;
    std::size_t max_header_bytes = 32U * 1024U;
    unsigned max_connections = 4096;
    /// Maximum time from the first byte of a request to the last.
    milliseconds request_time{10000};
    /// Maximum time for sending the last answers when the server is destroyed.
    milliseconds closing_time{300};
};

/// Listens on one address until destroyed. Whatever has been read by then is
/// answered: what still waits, with 504. The destructor returns when the
/// answers are sent, and after `http_limits::closing_time` at the latest.
class http_server
{
public:
    /// Throws an `error` when the address cannot be bound.
    http_server(event_loop& loop, std::string const& address,
        http_handler& handler, http_limits limits);
    ~http_server();

    /// Accepts no more connections; requests in progress continue.
    void stop_accepting();

    /// Requests that have not been answered yet.
    std::size_t in_progress() const;

private:
    class impl;
    std::unique_ptr<impl> pimpl;
};

} // namespace toucanlever
