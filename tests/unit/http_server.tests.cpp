#include "toucanlever/http/server.hpp"

#include "loopback.hpp"
#include <arpa/inet.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

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

/// A server on a thread of its own, and a raw socket to it.
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

    /// Sends the text and reads until the server closes.
    std::string send(std::string const& text) const
    {
        int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in remote{};
        remote.sin_family = AF_INET;
        remote.sin_port = htons(port);
        inet_pton(AF_INET, this->address.c_str(), &remote.sin_addr);
        ::connect(socket, reinterpret_cast<sockaddr*>(&remote), sizeof remote);
        ::send(socket, text.data(), text.size(), MSG_NOSIGNAL);
        std::string answer;
        char chunk[4096];
        for (ssize_t got = 0;
             (got = ::recv(socket, chunk, sizeof chunk, 0)) > 0;)
        {
            answer.append(chunk, static_cast<std::size_t>(got));
        }
        ::close(socket);
        return answer;
    }

private:
    std::string const address = own_ip(1);
    steady_clock time;
    event_loop loop{this->time};
    echo_handler handler;
    std::unique_ptr<http_server> server;
    std::thread thread;
};

std::string post(std::string const& body, std::size_t told)
{
    return "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
           "Content-Length: " +
           std::to_string(told) + "\r\n\r\n" + body;
}

} // namespace

Test(http_server, a_whole_body_comes_back_byte_for_byte)
{
    server_fixture bench;
    std::string body("a\0b\xff", 4);
    std::string answer = bench.send(post(body, body.size()));
    cr_assert(answer.find(body) != std::string::npos);
}

Test(http_server, a_body_over_the_limit_is_refused_with_413)
{
    server_fixture bench;
    std::string answer = bench.send(post(std::string(2000, 'x'), 2000));
    cr_assert(answer.find("413") != std::string::npos);
    cr_assert(answer.find("too-large") != std::string::npos);
}

Test(http_server, a_caller_that_stops_halfway_is_let_go, .timeout = 60)
{
    server_fixture bench;
    cr_assert(bench.send(post("half", 900)).find("200") == std::string::npos);
    cr_assert(bench.send("POST / HT").find("200") == std::string::npos);
}
