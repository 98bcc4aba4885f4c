/// A small HTTP/1.1 server with one thread for each connection, and a client
/// that uses a connection for each call. Loopback only.
#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace review
{

struct request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// What happens to the channel of a request.
enum class delivery
{
    answer,
    /// The channel is reset instead of an answer.
    reset,
    /// The channel stays open and delivers nothing further.
    silence
};

struct response
{
    int status = 200;
    std::string body = "{}";
    delivery how = delivery::answer;
};

/// A port that is free at the moment.
int free_port();

/// Serves one port until it is destroyed; open channels are reset then.
class server
{
public:
    using handler = std::function<response(request const&)>;

    server(int port, handler handle);
    ~server();
    server(server const&) = delete;
    server& operator=(server const&) = delete;

    /// True once the server is being destroyed; handlers that wait return.
    bool stopping() const { return this->is_stopping; }

private:
    struct channel
    {
        int socket = -1;
        std::thread thread;
    };

    void accept_channels();
    void serve(int socket);

    handler handle;
    int listener = -1;
    std::atomic<bool> is_stopping = false;
    std::mutex mutex;
    std::list<channel> channels;
    std::thread acceptor;
};

/// The answer to a caller: status 0 means no answer (the channel broke, or the
/// time limit passed).
struct answer
{
    int status = 0;
    std::string body;
};

answer call(int port, std::string const& method, std::string const& path,
    std::string const& host, std::string const& body, int limit_ms);

} // namespace review
