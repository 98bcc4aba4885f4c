/// An HTTP server on loopback that loses responses: it answers the first
/// request of the first connection, receives the second one there and resets
/// that connection. What it does with later connections is up to the test.
#pragma once

#include "loopback.hpp"

#include "toucanlever/core/event_loop.hpp"

#include <atomic>
#include <cstdlib>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

/// How an `unreliable_server` treats connections after the first.
enum class later_connections
{
    /// Answers each request with `later_status`.
    answered,
    /// The server no longer listens.
    refused
};

/// Runs on a thread of its own until the first connection has been closed, and
/// with `answered` until it is destroyed.
class unreliable_server
{
public:
    unreliable_server(std::string const& ip, std::uint16_t port,
        later_connections later, int later_status = 503)
        : later(later)
        , later_status(later_status)
        , listener(listen_on(ip, port))
    {
        this->thread = std::thread([this] { this->serve(); });
    }

    ~unreliable_server()
    {
        // Ends a blocking `accept`.
        ::shutdown(this->listener, SHUT_RDWR);
        this->thread.join();
        ::close(this->listener);
    }

    unreliable_server(unreliable_server const&) = delete;
    unreliable_server& operator=(unreliable_server const&) = delete;

    /// Requests received so far, also those without a response.
    int requests() const { return this->received; }

private:
    void serve()
    {
        int first = ::accept(this->listener, nullptr, nullptr);
        if (first < 0)
        {
            return;
        }
        if (this->receive(first))
        {
            this->answer(first, 200);
        }
        bool lost = this->receive(first);
        if (this->later == later_connections::refused)
        {
            ::shutdown(this->listener, SHUT_RDWR);
        }
        // A reset instead of an orderly close.
        linger immediately{1, 0};
        ::setsockopt(
            first, SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
        ::close(first);
        while (lost && this->later == later_connections::answered)
        {
            int next = ::accept(this->listener, nullptr, nullptr);
            if (next < 0)
            {
                return;
            }
            while (this->receive(next))
            {
                this->answer(next, this->later_status);
            }
            ::close(next);
        }
    }

    /// Receives one request, headers and body; false at the end of the
    /// connection.
    bool receive(int connection)
    {
        std::string text;
        char piece[4096];
        while (true)
        {
            std::size_t end = text.find("\r\n\r\n");
            if (end != std::string::npos)
            {
                constexpr char field[] = "Content-Length: ";
                std::size_t at = text.find(field);
                std::size_t length =
                    at == std::string::npos
                        ? 0
                        : std::strtoul(text.c_str() + at + sizeof field - 1,
                              nullptr, 10);
                if (text.size() >= end + 4 + length)
                {
                    ++this->received;
                    return true;
                }
            }
            ssize_t size = ::recv(connection, piece, sizeof piece, 0);
            if (size <= 0)
            {
                return false;
            }
            text.append(piece, static_cast<std::size_t>(size));
        }
    }

    static void answer(int connection, int status)
    {
        std::string response = "HTTP/1.1 " + std::to_string(status) +
                               " -\r\nContent-Length: 2\r\n\r\n{}";
        ::send(connection, response.data(), response.size(), MSG_NOSIGNAL);
    }

    later_connections later;
    int later_status;
    int listener;
    std::atomic<int> received = 0;
    std::thread thread;
};

/// Runs the loop until `done` returns true; false when it never does. Polls at
/// intervals of 1 ms or more, so for at least 5 s.
template <typename Condition>
bool run_until(toucanlever::event_loop& loop, Condition done)
{
    constexpr int max_polls = 5000;
    for (int i = 0; i < max_polls && !done(); ++i)
    {
        loop.run_ready();
        std::this_thread::sleep_for(toucanlever::milliseconds(1));
    }
    return done();
}
