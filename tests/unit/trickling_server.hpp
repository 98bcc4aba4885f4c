/// An HTTP server on loopback that sends each response piece by piece, when the
/// test says so.
#pragma once

#include "loopback.hpp"

#include "toucanlever/core/event_loop.hpp"

#include <algorithm>
#include <fcntl.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

/// Serves one connection at a time.
class trickling_server
{
public:
    trickling_server(std::string const& ip, std::uint16_t port)
        : listener(listen_on(ip, port, SOCK_NONBLOCK))
    {
    }

    ~trickling_server()
    {
        ::close(this->connection);
        ::close(this->listener);
    }

    trickling_server(trickling_server const&) = delete;
    trickling_server& operator=(trickling_server const&) = delete;

    /// Sends up to `bytes` of the response to the request at hand; none while
    /// there is no request.
    void send_piece(std::size_t bytes)
    {
        this->accept_request();
        std::size_t size = std::min(bytes, this->unsent.size());
        ssize_t sent =
            ::send(this->connection, this->unsent.data(), size, MSG_NOSIGNAL);
        if (sent > 0)
        {
            this->unsent.erase(0, static_cast<std::size_t>(sent));
        }
    }

    /// The body of each response.
    std::string body;
    int requests = 0;

private:
    void accept_request()
    {
        int accepted =
            ::accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK);
        if (accepted >= 0)
        {
            ::close(this->connection);
            this->connection = accepted;
            this->unsent.clear();
        }
        char request[4096];
        if (::recv(this->connection, request, sizeof request, 0) > 0)
        {
            ++this->requests;
            this->unsent = "HTTP/1.1 200 OK\r\nContent-Length: " +
                           std::to_string(this->body.size()) + "\r\n\r\n" +
                           this->body;
        }
    }

    int listener;
    int connection = -1;
    std::string unsent;
};

/// Sends `piece` bytes each 50 ms of `time`, until `has_ended` returns true or
/// `duration` has passed. Real time passes as well, because libcurl has a clock
/// of its own.
template <typename Condition>
void trickle(trickling_server& server, toucanlever::manual_clock& time,
    toucanlever::event_loop& loop, toucanlever::milliseconds duration,
    std::size_t piece, Condition has_ended)
{
    constexpr toucanlever::milliseconds step{50};
    for (toucanlever::milliseconds elapsed{0};
         elapsed < duration && !has_ended(); elapsed += step)
    {
        server.send_piece(piece);
        time.advance(step);
        for (int pass = 0; pass < 15; ++pass)
        {
            loop.run_ready();
            std::this_thread::sleep_for(toucanlever::milliseconds(1));
        }
    }
}
