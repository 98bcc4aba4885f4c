#include "toucanlever/wire/rpc.hpp"

#include "toucanlever/core/log.hpp"
#include "toucanlever/core/metrics.hpp"

namespace toucanlever
{
namespace
{

constexpr int silent_heartbeats = 2;
constexpr std::size_t max_expired_requests = 64;
// The server waits longer than the client, so that the client detects the
// failure first and reconnects.
constexpr int server_silent_heartbeats = 8;

error to_error(error_reply const& reply)
{
    auto code = parse_enum<error_code>(reply.code);
    auto ran = parse_enum<run_state>(reply.ran);
    return error(code.value_or(error_code::internal), reply.message, reply.step,
        reply.peer, ran.value_or(run_state::unknown));
}

rpc_result failed(error problem)
{
    rpc_result result;
    result.problem = std::move(problem);
    return result;
}

} // namespace

std::string pack_error(error const& problem)
{
    return pack(error_reply{std::string(name_of(problem.code)), problem.what(),
        problem.step, problem.peer, std::string(name_of(problem.ran))});
}

rpc_client::rpc_client(event_loop& loop, std::string address, rpc_timing timing)
    : loop(loop)
    , remote(std::move(address))
    , timing(timing)
{
    this->dial();
    this->heartbeat_timer =
        loop.every(timing.heartbeat / 2, [this] { this->check_link(); });
}

rpc_client::~rpc_client()
{
    *this->alive = false;
    this->loop.cancel(this->heartbeat_timer);
    this->loop.cancel(this->redial_timer);
    for (auto& entry : this->pending)
    {
        this->loop.cancel(entry.second.timer);
    }
}

void rpc_client::dial()
{
    this->redial_timer = 0;
    this->connection = link::dial(this->loop, this->remote, *this);
}

void rpc_client::request(
    message_type type, std::string body, milliseconds timeout, callback done)
{
    if (!this->is_open)
    {
        done(failed(error(error_code::unavailable,
            "link is down; the request was not sent", "send-request",
            this->remote, run_state::no)));
        return;
    }
    std::uint64_t correlation = this->next_correlation++;
    auto timer = this->loop.after(
        timeout, [this, correlation] { this->expire_request(correlation); });
    this->pending.emplace(
        correlation, pending_request{type, std::move(done), timer});
    this->connection->send(frame{type, correlation,
        static_cast<std::uint32_t>(timeout.count()), std::move(body)});
}

void rpc_client::expire_request(std::uint64_t correlation)
{
    auto found = this->pending.find(correlation);
    if (found == this->pending.end())
    {
        return;
    }
    this->expired.emplace(
        correlation, expired_request{found->second.type, this->loop.now()});
    if (this->expired.size() > max_expired_requests)
    {
        this->expired.erase(this->expired.begin());
    }
    this->complete_request(correlation,
        failed(error(error_code::timeout, "no reply within the timeout",
            "await-reply", this->remote, run_state::unknown)));
}

void rpc_client::log_late_reply(frame const& message)
{
    auto found = this->expired.find(message.correlation);
    if (found == this->expired.end())
    {
        return;
    }
    auto late = std::chrono::duration_cast<milliseconds>(
        this->loop.now() - found->second.expired_at);
    log_line("reply-late")
        .with("peer", this->remote)
        .with("request", name_of(found->second.type))
        .with("bytes", message.body.size())
        .with("late_ms", late.count());
    metrics().count("rpc_late_replies");
    metrics().count(
        "rpc_late_reply_bytes", static_cast<std::int64_t>(message.body.size()));
    this->expired.erase(found);
}

void rpc_client::complete_request(std::uint64_t correlation, rpc_result result)
{
    auto found = this->pending.find(correlation);
    // Drops a late or repeated reply: its request is no longer pending.
    if (found == this->pending.end())
    {
        return;
    }
    callback done = std::move(found->second.done);
    this->loop.cancel(found->second.timer);
    this->pending.erase(found);
    done(std::move(result));
}

void rpc_client::on_open(link&)
{
    this->is_open = true;
    log_line("link-open").with("peer", this->remote);
}

void rpc_client::on_frame(link&, frame message)
{
    if (message.type == message_type::pong)
    {
        return;
    }
    this->log_late_reply(message);
    rpc_result result;
    if (message.type == message_type::reply_error)
    {
        try
        {
            result.problem =
                to_error(unpack<error_reply>(message.body, this->remote));
        }
        catch (error const& problem)
        {
            result.problem = problem;
        }
    }
    std::uint64_t correlation = message.correlation;
    result.reply = std::move(message);
    this->complete_request(correlation, std::move(result));
}

void rpc_client::on_close(link& closed, std::string const& reason)
{
    if (this->connection.get() == &closed)
    {
        this->handle_link_loss(reason);
    }
}

void rpc_client::handle_link_loss(std::string const& reason)
{
    if (this->is_open)
    {
        log_line("link-lost").with("peer", this->remote).with("reason", reason);
    }
    this->is_open = false;
    this->connection.reset();
    if (this->redial_timer == 0)
    {
        this->redial_timer = this->loop.after(
            this->timing.redial_delay, [this] { this->dial(); });
    }
    this->fail_requests();
}

void rpc_client::close()
{
    this->loop.cancel(this->heartbeat_timer);
    this->loop.cancel(this->redial_timer);
    this->is_open = false;
    this->connection.reset();
    this->fail_requests();
}

void rpc_client::fail_requests()
{
    this->expired.clear();
    auto lost = std::move(this->pending);
    this->pending.clear();
    auto still_alive = this->alive;
    for (auto& entry : lost)
    {
        this->loop.cancel(entry.second.timer);
        entry.second.done(failed(error(error_code::unavailable,
            "link was lost before the reply arrived", "await-reply",
            this->remote, run_state::unknown)));
        if (!*still_alive)
        {
            return;
        }
    }
}

void rpc_client::check_link()
{
    if (!this->connection)
    {
        return;
    }
    auto silence = this->loop.now() - this->connection->last_received();
    if (silence > this->timing.heartbeat * silent_heartbeats)
    {
        this->connection->close();
        this->handle_link_loss("silent");
        return;
    }
    if (this->is_open)
    {
        this->connection->send(frame{message_type::ping, 0, 0, {}});
    }
}

rpc_server::rpc_server(event_loop& loop, std::string const& address,
    rpc_handler& handler, rpc_timing timing)
    : loop(loop)
    , handler(handler)
    , timing(timing)
{
    this->acceptor = std::make_unique<link_acceptor>(loop, address,
        [this](int socket, std::string const& peer)
        {
            auto accepted = link::adopt(this->loop, socket, peer, *this);
            this->links.emplace(accepted.get(), accepted);
        });
    this->sweep_timer =
        loop.every(timing.heartbeat, [this] { this->close_silent(); });
}

rpc_server::~rpc_server()
{
    this->loop.cancel(this->sweep_timer);
}

void rpc_server::on_open(link&) {}

void rpc_server::on_frame(link& connection, frame message)
{
    if (message.type == message_type::ping)
    {
        connection.send(frame{message_type::pong, 0, 0, {}});
        return;
    }
    auto found = this->links.find(&connection);
    if (found == this->links.end())
    {
        return;
    }
    std::weak_ptr<link> target = found->second;
    std::uint64_t correlation = message.correlation;
    rpc_responder respond = [target, correlation](
                                message_type type, std::string body)
    {
        if (auto open = target.lock())
        {
            open->send(frame{type, correlation, 0, std::move(body)});
        }
    };
    try
    {
        this->handler.on_request(message, connection.peer(), respond);
    }
    catch (error const& problem)
    {
        respond(message_type::reply_error, pack_error(problem));
    }
}

void rpc_server::on_close(link& connection, std::string const&)
{
    this->links.erase(&connection);
}

void rpc_server::close_silent()
{
    auto limit = this->timing.heartbeat * server_silent_heartbeats;
    for (auto it = this->links.begin(); it != this->links.end();)
    {
        bool silent = this->loop.now() - it->second->last_received() > limit;
        it = silent ? this->links.erase(it) : std::next(it);
    }
}

} // namespace toucanlever
