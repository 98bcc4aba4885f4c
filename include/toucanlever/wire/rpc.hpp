/// Requests and replies over links: a client that keeps one link to a peer
/// alive, and a server that answers any number of them.
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

/// What came of a request: a reply, or the error that replaced it. The error
/// says `ran: unknown` once the request may have left this process.
struct rpc_result
{
    std::optional<frame> reply;
    std::optional<error> problem;

    /// The reply's message; throws the problem, or an `error` for a reply of
    /// another type or shape.
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

/// Timing of a link, shared by both ends.
struct rpc_timing
{
    /// A link that is silent for two heartbeats is closed and redialled.
    milliseconds heartbeat{500};
    milliseconds redial_delay{200};
};

/// A link to one peer that is redialled whenever it is lost or silent.
class rpc_client final : private link_listener
{
public:
    using callback = std::function<void(rpc_result)>;

    rpc_client(event_loop& loop, std::string address, rpc_timing timing);
    ~rpc_client() override;

    /// Sends a request; `done` is called exactly once. A request made while
    /// the link is down fails at once with `ran: no`.
    void request(message_type type, std::string body, milliseconds timeout,
        callback done);

    bool connected() const { return this->is_open; }
    std::string const& address() const { return this->remote; }

private:
    struct pending_request
    {
        callback done;
        event_loop::timer_id timer = 0;
    };

    void on_open(link& connection) override;
    void on_frame(link& connection, frame message) override;
    void on_close(link& connection, std::string const& reason) override;
    void dial();
    void handle_link_loss(std::string const& reason);
    void check_link();
    void complete_request(std::uint64_t correlation, rpc_result result);

    event_loop& loop;
    std::string remote;
    rpc_timing timing;
    std::shared_ptr<link> connection;
    bool is_open = false;
    std::uint64_t next_correlation = 1;
    // Invariant: every entry was sent on the present connection.
    std::map<std::uint64_t, pending_request> pending;
    event_loop::timer_id heartbeat_timer = 0;
    event_loop::timer_id redial_timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

/// Answers one request; may be kept and called later, once.
using rpc_responder = std::function<void(message_type, std::string body)>;

/// Decides requests that arrive on a server's links.
class rpc_handler
{
public:
    virtual ~rpc_handler() = default;

    /// `respond` may be called now or later. An `error` thrown here becomes
    /// a `reply_error`.
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

/// The frame body for an error.
std::string pack_error(error const& problem);

} // namespace toucanlever
