/// Requests and replies over links: a client that maintains one link to a
/// peer, and a server for any number of links.
#pragma once

#include "toucanlever/core/error.hpp"
#include "toucanlever/wire/codec.hpp"
#include "toucanlever/wire/link.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace toucanlever
{

/// The outcome of a request: a reply or an error. The error has `ran: unknown`
/// when the request may have been sent.
struct rpc_result
{
    std::optional<frame> reply;
    std::optional<error> problem;

    /// Decodes the reply. Throws `problem` if set, or an `error` for a reply
    /// of another type or with a malformed body.
    template <typename Message>
    Message as(message_type expected, std::string const& peer) const
    {
        if (this->problem)
        {
            throw *this->problem;
        }
        if (this->reply->type != expected)
        {
            throw error(error_code::internal, "unexpected reply type",
                "read-reply", peer, run_state::unknown);
        }
        return unpack<Message>(this->reply->body, peer);
    }
};

/// The body of a `reply_error` frame.
struct error_reply
{
    std::string code;
    std::string message;
    std::string step;
    std::string peer;
    std::string ran;
    MSGPACK_DEFINE(code, message, step, peer, ran)
};

/// Timing of a link; both ends use the same values.
struct rpc_timing
{
    /// Heartbeat interval; the client sends a ping every half interval. It
    /// closes a link that receives nothing for two intervals, and reconnects.
    /// The server closes a link that receives nothing for eight intervals.
    milliseconds heartbeat{500};
    /// Time from the loss of a link to the next attempt to connect.
    milliseconds redial_delay{200};
};

/// A link to one peer. Reconnects when the link is lost or unresponsive.
class rpc_client final : private link_listener
{
public:
    using callback = std::function<void(rpc_result)>;

    rpc_client(event_loop& loop, std::string address, rpc_timing timing);
    /// Drops the open requests; `close` comes first when they are to fail.
    ~rpc_client() override;

    /// Sends a request; `done` is called exactly once, unless this object is
    /// destroyed before. Fails immediately with `ran: no` while the link is
    /// down.
    void request(message_type type, std::string body, milliseconds timeout,
        callback done);

    /// Closes the link for good. The open requests fail, with `ran: unknown`.
    void close();

    bool connected() const { return this->is_open; }
    std::string const& address() const { return this->remote; }

private:
    struct pending_request
    {
        message_type type = message_type::ping;
        callback done;
        event_loop::timer_id timer = 0;
    };
    struct expired_request
    {
        message_type type = message_type::ping;
        time_point expired_at{};
    };

    void on_open(link& connection) override;
    void on_frame(link& connection, frame message) override;
    void on_close(link& connection, std::string const& reason) override;
    void dial();
    void handle_link_loss(std::string const& reason);
    /// Fails the open requests.
    void fail_requests();
    void check_link();
    void expire_request(std::uint64_t correlation);
    void complete_request(std::uint64_t correlation, rpc_result result);
    void log_late_reply(frame const& message);

    event_loop& loop;
    std::string remote;
    rpc_timing timing;
    std::shared_ptr<link> connection;
    bool is_open = false;
    std::uint64_t next_correlation = 1;
    // Invariant: every entry was sent on the current connection.
    std::map<std::uint64_t, pending_request> pending;
    // The latest requests on the current connection that got no reply in time,
    // to recognise a late one.
    std::map<std::uint64_t, expired_request> expired;
    event_loop::timer_id heartbeat_timer = 0;
    event_loop::timer_id redial_timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

/// Sends the reply to one request. May be stored and called later, once.
using rpc_responder = std::function<void(message_type, std::string body)>;

/// Handles the requests that a server receives.
class rpc_handler
{
public:
    virtual ~rpc_handler() = default;

    /// Calls `respond` now or later. An `error` thrown here is sent to the
    /// peer as a `reply_error`.
    virtual void on_request(frame const& request, std::string const& peer,
        rpc_responder respond) = 0;
};

/// Accepts links and passes their requests to a handler.
class rpc_server final : private link_listener
{
public:
    rpc_server(event_loop& loop, std::string const& address,
        rpc_handler& handler, rpc_timing timing);
    ~rpc_server() override;

private:
    void on_open(link& connection) override;
    void on_frame(link& connection, frame message) override;
    void on_close(link& connection, std::string const& reason) override;
    void close_silent();

    event_loop& loop;
    rpc_handler& handler;
    rpc_timing timing;
    std::map<link*, std::shared_ptr<link>> links;
    std::unique_ptr<link_acceptor> acceptor;
    event_loop::timer_id sweep_timer = 0;
};

/// Encodes an error as the body of a `reply_error` frame.
std::string pack_error(error const& problem);

} // namespace toucanlever
