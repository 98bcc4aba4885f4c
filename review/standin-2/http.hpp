/// A small HTTP/1.1 server and client on loopback addresses, with a thread for
/// each connection.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace standin
{

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
    /// 0 when no response was received; the server then closes the connection
    /// without one.
    int status = 0;
    std::string body;
};

/// Serves one port until it is stopped.
class http_server
{
public:
    using handler = std::function<response(request const&)>;

    /// Port 0 takes a free one. Channels beyond `max_channels` are reset, and a
    /// channel that is idle for a minute is closed; 0 for no limit.
    http_server(int port, handler handle, int max_channels = 0);
    ~http_server();

    int port() const { return this->listen_port; }

    /// Channels that were reset because there were too many.
    int refused_channels() const { return this->refused; }

    /// Closes the port and resets all connections, as a process that dies does.
    void stop();

private:
    void accept_connections();
    void serve(int socket);

    handler handle;
    int max_channels;
    std::atomic<int> refused = 0;
    int listen_socket = -1;
    int listen_port = 0;
    std::atomic<bool> stopping = false;
    std::mutex mutex;
    std::set<int> sockets;
    std::atomic<int> connections = 0;
    std::thread acceptor;
};

/// A TCP connection to 127.0.0.1 that carries one request after the other.
class http_channel
{
public:
    explicit http_channel(int port, int timeout_ms = 3000);
    ~http_channel();
    http_channel(http_channel const&) = delete;
    http_channel& operator=(http_channel const&) = delete;

    response send(std::string const& method, std::string const& path,
        std::string const& host, std::string const& body = {});

private:
    int socket = -1;
};

/// One request on a channel of its own.
response send_once(int port, std::string const& method, std::string const& path,
    std::string const& host, std::string const& body = {},
    int timeout_ms = 3000);

/// A port that is free now.
int free_port();

} // namespace standin
