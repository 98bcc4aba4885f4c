#include "toucanlever/http/server.hpp"

#include "toucanlever/http/client.hpp"

#include "loopback.hpp"
#include "unreliable_server.hpp"
#include <arpa/inet.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace toucanlever;

namespace
{

constexpr std::uint16_t port = 7990;

class echo_handler final : public http_handler
{
public:
    void on_request(
        http_request request, std::shared_ptr<http_exchange> exchange) override
    {
        http_response response;
        response.body = request.body;
        exchange->answer(std::move(response));
    }
};

/// Never answers.
class silent_handler final : public http_handler
{
public:
    void on_request(
        http_request, std::shared_ptr<http_exchange> exchange) override
    {
        this->exchanges.push_back(std::move(exchange));
    }

    std::vector<std::shared_ptr<http_exchange>> exchanges;
};

std::string const request_to_close =
    "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

/// Time enough to send all answers on a machine that is busy.
http_limits patient_limits()
{
    http_limits limits;
    limits.closing_time = milliseconds(30000);
    return limits;
}

/// Connects and sends `text`; returns the socket.
int open_and_send(std::string const& ip, std::string const& text)
{
    int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in remote{};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &remote.sin_addr);
    ::connect(socket, reinterpret_cast<sockaddr*>(&remote), sizeof remote);
    ::send(socket, text.data(), text.size(), MSG_NOSIGNAL);
    return socket;
}

/// Returns all bytes until the server closes the connection.
std::string receive_and_close(int socket)
{
    std::string answer;
    char chunk[4096];
    for (ssize_t got = 0; (got = ::recv(socket, chunk, sizeof chunk, 0)) > 0;)
    {
        answer.append(chunk, static_cast<std::size_t>(got));
    }
    ::close(socket);
    return answer;
}

/// Runs a server on its own thread and sends raw requests to it.
class server_fixture
{
public:
    server_fixture()
    {
        http_limits limits;
        limits.max_body_bytes = 1000;
        limits.request_time = milliseconds(300);
        this->server = std::make_unique<http_server>(this->loop,
            this->address + ":" + std::to_string(port), this->handler, limits);
        this->thread = std::thread([this] { this->loop.run(); });
    }

    ~server_fixture()
    {
        this->loop.stop();
        this->thread.join();
    }

    /// Sends `text` and returns all bytes until the server closes the
    /// connection.
    std::string send(std::string const& text) const
    {
        return receive_and_close(open_and_send(this->address, text));
    }

private:
    std::string const address = own_ip(1);
    steady_clock time;
    event_loop loop{this->time};
    echo_handler handler;
    std::unique_ptr<http_server> server;
    std::thread thread;
};

std::string post(std::string const& body, std::size_t content_length)
{
    return "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
           "Content-Length: " +
           std::to_string(content_length) + "\r\n\r\n" + body;
}

} // namespace

Test(http_server, a_whole_body_comes_back_byte_for_byte)
{
    server_fixture server;
    std::string body("a\0b\xff", 4);
    std::string answer = server.send(post(body, body.size()));
    cr_assert(answer.find(body) != std::string::npos);
}

Test(http_server, a_body_over_the_limit_is_refused_with_413)
{
    server_fixture server;
    std::string answer = server.send(post(std::string(2000, 'x'), 2000));
    cr_assert(answer.find("413") != std::string::npos);
    cr_assert(answer.find("too-large") != std::string::npos);
}

Test(http_server, a_caller_that_stops_midway_is_disconnected, .timeout = 60)
{
    server_fixture server;
    cr_assert(server.send(post("half", 900)).find("200") == std::string::npos);
    cr_assert(server.send("POST / HT").find("200") == std::string::npos);
}

// Guards against a job that is refused by an instance that shuts down, and
// runs.
Test(http_server, a_request_without_an_answer_at_shutdown_is_not_refused)
{
    std::string const address = own_ip(1) + ":" + std::to_string(port);
    steady_clock time;
    event_loop loop{time};
    // Whether the response is sent before the connection closes is a matter of
    // timing, so one attempt may show nothing.
    constexpr int attempts = 40;
    for (int i = 0; i < attempts; ++i)
    {
        silent_handler handler;
        auto server = std::make_unique<http_server>(
            loop, address, handler, http_limits{});
        http_client client(loop);
        http_command command;
        command.url = "http://" + address + "/";
        std::optional<command_result> got;
        client.send(
            command, [&got](command_result const& result) { got = result; });
        cr_assert(
            run_until(loop, [&handler] { return !handler.exchanges.empty(); }));
        server.reset();
        cr_assert(run_until(loop, [&got] { return got.has_value(); }));
        bool is_unknown =
            got->response.status == 504 &&
            got->response.body.find(R"("ran":"unknown")") != std::string::npos;
        cr_assert(got->delivery == http_delivery::in_doubt || is_unknown);
    }
}

// Guards against callers whose connections are closed without an answer when an
// instance ends: those whose requests wait, and those whose requests no handler
// has seen yet.
Test(http_server, all_requests_that_were_read_are_answered_at_shutdown)
{
    std::string const ip = own_ip(1);
    steady_clock time;
    event_loop loop{time};
    silent_handler handler;
    auto server = std::make_unique<http_server>(
        loop, ip + ":" + std::to_string(port), handler, patient_limits());
    constexpr std::size_t callers = 60;
    std::vector<int> sockets;
    while (sockets.size() < callers / 2)
    {
        sockets.push_back(open_and_send(ip, request_to_close));
    }
    cr_assert(run_until(
        loop, [&handler] { return handler.exchanges.size() == callers / 2; }));
    while (sockets.size() < callers)
    {
        sockets.push_back(open_and_send(ip, request_to_close));
    }
    cr_assert(run_until(
        loop, [&server] { return server->in_progress() == callers; }));
    server.reset();
    for (int socket : sockets)
    {
        std::string const answer = receive_and_close(socket);
        cr_assert(answer.starts_with("HTTP/1.1 504"), "%s", answer.c_str());
        cr_assert(answer.find(R"("ran":"unknown")") != std::string::npos);
    }
}

// Guards against requests that arrive while the last answers are sent, and get
// none.
Test(http_server, requests_that_arrive_during_the_shutdown_are_answered)
{
    std::string const ip = own_ip(1);
    steady_clock time;
    event_loop loop{time};
    silent_handler handler;
    constexpr int attempts = 20;
    for (int i = 0; i < attempts; ++i)
    {
        auto server = std::make_unique<http_server>(
            loop, ip + ":" + std::to_string(port), handler, patient_limits());
        // An answer that its caller does not read, and that is too large for
        // the buffers of the connection, keeps the server from closing.
        handler.exchanges.clear();
        int const slow = open_and_send(ip, request_to_close);
        cr_assert(
            run_until(loop, [&handler] { return !handler.exchanges.empty(); }));
        constexpr std::size_t large = 16U << 20U;
        handler.exchanges.front()->answer({200, {}, std::string(large, 'x')});
        // Its first request shows that the server has accepted the connection.
        int const late = open_and_send(ip, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        cr_assert(run_until(
            loop, [&handler] { return handler.exchanges.size() == 2; }));
        handler.exchanges.back()->answer({204, {}, {}});
        char first[1024];
        ssize_t const got = ::recv(late, first, sizeof first, 0);
        cr_assert(got > 0);
        std::string answer;
        std::thread caller(
            [late, slow, &answer]
            {
                std::this_thread::sleep_for(milliseconds(50));
                ::send(late, request_to_close.data(), request_to_close.size(),
                    MSG_NOSIGNAL);
                answer = receive_and_close(late);
                ::close(slow);
            });
        server.reset();
        caller.join();
        cr_assert(answer.starts_with("HTTP/1.1 504"), "%s", answer.c_str());
    }
}
