/// A small HTTP/1.1 server and client for the stand-ins: one thread for each
/// connection, bodies with Content-Length only.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

namespace review
{

/// Milliseconds of the steady clock.
std::int64_t now_ms();
/// Milliseconds since 1970.
std::int64_t unix_ms();
void sleep_ms(std::int64_t span);

struct request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    // Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

struct response
{
    int status = 200;
    std::string body;
    // The connection ends without an answer.
    bool drop = false;
};

/// Serves one address until it is stopped; may be started again on its port.
class http_server
{
public:
    using handler = std::function<response(request const&)>;

    /// Listens on a free port of the loopback address when `port` is 0.
    explicit http_server(handler on_request, std::string ip = "127.0.0.1");
    ~http_server();

    std::string address() const;
    void start();
    /// Closes the listening socket and all connections.
    void stop();

private:
    struct shared;
    std::string ip;
    int port = 0;
    std::shared_ptr<shared> state;
};

/// What a client has seen of one call. `status` is 0 when the channel ended or
/// the time ran out before the answer was complete.
struct answer
{
    int status = 0;
    std::string body;
    bool closes = false;
    // Not even the connection was made.
    bool unsent = false;
    std::string problem;
    std::int64_t sent_ms = 0;
    std::int64_t ended_ms = 0;
};

/// One channel to a server.
class channel
{
public:
    explicit channel(std::string address);
    ~channel();
    channel(channel const&) = delete;
    channel& operator=(channel const&) = delete;

    bool open();
    void close();
    bool is_open() const { return this->socket >= 0; }
    /// Sends a request, also over a channel that is open already.
    answer call(std::string const& method, std::string const& target,
        std::string const& host, std::string const& body,
        std::int64_t timeout_ms);

private:
    std::string address;
    int socket = -1;
    std::string unread;
};

/// One call over a channel of its own.
answer call_once(std::string const& address, std::string const& method,
    std::string const& target, std::string const& host, std::string const& body,
    std::int64_t timeout_ms);

/// A loopback address that only this process listens on. No connection to
/// another one takes its ports, as these start at 127.0.0.1.
std::string own_ip(int number);

/// A port of the loopback address that is free now.
int free_port(std::string const& ip);

} // namespace review
