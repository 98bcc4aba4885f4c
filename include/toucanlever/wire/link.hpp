/// A TCP connection that carries frames, driven by the event loop's reactor.
#pragma once

#include "toucanlever/core/event_loop.hpp"
#include "toucanlever/wire/frame.hpp"

#include <memory>
#include <string>

namespace toucanlever
{

class link;

/// Receives the events of a link on the loop's thread.
class link_listener
{
public:
    virtual ~link_listener() = default;
    virtual void on_open(link& connection) = 0;
    virtual void on_frame(link& connection, frame message) = 0;

    /// The link is closed; no further call for it follows.
    virtual void on_close(link& connection, std::string const& reason) = 0;
};

/// A non-blocking connection. Output that the socket does not accept at once
/// is buffered; the link closes when more than `max_pending_bytes` wait.
class link
{
public:
    static constexpr std::size_t max_pending_bytes = 64U * 1024U * 1024U;

    /// Connects to `address` ("IP:PORT"); `on_open` or `on_close` follows.
    static std::shared_ptr<link> dial(
        event_loop& loop, std::string const& address, link_listener& listener);

    /// Takes ownership of an accepted socket.
    static std::shared_ptr<link> adopt(event_loop& loop, int socket,
        std::string const& peer, link_listener& listener);

    ~link();

    void send(frame const& message);

    /// Closes without a call to the listener.
    void close();

    std::string const& peer() const;

    /// When bytes were last received.
    time_point last_received() const;

private:
    class impl;
    explicit link(std::unique_ptr<impl> body);
    std::unique_ptr<impl> pimpl;
};

/// Accepts connections on one address.
class link_acceptor
{
public:
    /// Throws an `error` when the address cannot be bound.
    link_acceptor(event_loop& loop, std::string const& address,
        std::function<void(int socket, std::string peer)> on_accept);
    ~link_acceptor();

private:
    class impl;
    std::unique_ptr<impl> pimpl;
};

} // namespace toucanlever
