/// A relay between a client and a server that forwards the server's frames in
/// order, at the rate of a slow link, in the time of the event loop.
#pragma once

#include "toucanlever/wire/link.hpp"

#include <algorithm>
#include <memory>
#include <string>

namespace toucanlever
{

/// Accepts one client at a time.
class narrow_relay final : private link_listener
{
public:
    /// Frames to the client leave at `bytes_per_s`, those to the server at
    /// once.
    narrow_relay(event_loop& loop, std::string const& address,
        std::string server, std::int64_t bytes_per_s)
        : loop(loop)
        , server_address(std::move(server))
        , bytes_per_s(bytes_per_s)
        , acceptor(loop, address,
              [this](int socket, std::string const& peer)
              { this->accept(socket, peer); })
    {
    }

    ~narrow_relay() override
    {
        *this->alive = false;
        this->disconnect();
    }

    /// Closes the connection of the client and drops what waits for it.
    void disconnect()
    {
        this->client.reset();
        this->server.reset();
        this->busy_until = this->loop.now();
    }

    /// Bytes that were sent to clients.
    std::int64_t forwarded_bytes = 0;

private:
    void accept(int socket, std::string const& peer)
    {
        this->client = link::adopt(this->loop, socket, peer, *this);
        this->server = link::dial(this->loop, this->server_address, *this);
    }

    void on_open(link&) override {}

    void on_frame(link& connection, frame message) override
    {
        if (&connection == this->client.get())
        {
            this->server->send(message);
            return;
        }
        auto size = static_cast<std::int64_t>(encode_frame(message).size());
        this->busy_until = std::max(this->busy_until, this->loop.now()) +
                           microseconds(size * 1'000'000 / this->bytes_per_s);
        this->loop.after(this->busy_until - this->loop.now(),
            [this, message = std::move(message), size,
                target = std::weak_ptr<link>(this->client), alive = this->alive]
            {
                auto open = target.lock();
                if (*alive && open)
                {
                    this->forwarded_bytes += size;
                    open->send(message);
                }
            });
    }

    void on_close(link& connection, std::string const&) override
    {
        if (&connection == this->client.get())
        {
            this->disconnect();
        }
    }

    event_loop& loop;
    std::string server_address;
    std::int64_t bytes_per_s;
    std::shared_ptr<link> client;
    std::shared_ptr<link> server;
    // When the last frame to the client has left.
    time_point busy_until{};
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    link_acceptor acceptor;
};

} // namespace toucanlever
