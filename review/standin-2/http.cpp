#include "http.hpp"

#include "record.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace standin
{
namespace
{

// A server that does not close idle channels at all would do as well.
constexpr int idle_limit_s = 60;

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

void reset_on_close(int socket)
{
    linger option{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

bool send_all(int socket, std::string const& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        ssize_t count = ::send(
            socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
        [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string decode_query(std::string const& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] == '%' && i + 2 < text.size())
        {
            out += static_cast<char>(
                std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
            continue;
        }
        out += text[i];
    }
    return out;
}

void parse_target(request& parsed, std::string const& target)
{
    auto mark = target.find('?');
    parsed.path = target.substr(0, mark);
    while (mark != std::string::npos)
    {
        auto next = target.find('&', mark + 1);
        std::string pair = target.substr(
            mark + 1, next == std::string::npos ? next : next - mark - 1);
        auto equals = pair.find('=');
        if (equals != std::string::npos)
        {
            parsed.query[pair.substr(0, equals)] =
                decode_query(pair.substr(equals + 1));
        }
        mark = next;
    }
}

/// Reads a message; its first line goes to `first`.
bool read_message(int socket, std::string& buffer, std::string& first,
    std::map<std::string, std::string>& headers, std::string& body)
{
    std::optional<std::size_t> head;
    std::size_t length = 0;
    char chunk[16384];
    while (true)
    {
        if (!head)
        {
            auto end = buffer.find("\r\n\r\n");
            if (end != std::string::npos)
            {
                head = end + 4;
                std::size_t line = buffer.find("\r\n");
                first = buffer.substr(0, line);
                while (line < end)
                {
                    std::size_t next = buffer.find("\r\n", line + 2);
                    std::string text = buffer.substr(line + 2, next - line - 2);
                    auto colon = text.find(':');
                    if (colon != std::string::npos)
                    {
                        auto value = text.find_first_not_of(' ', colon + 1);
                        headers[lower(text.substr(0, colon))] =
                            value == std::string::npos ? ""
                                                       : text.substr(value);
                    }
                    line = next;
                }
                auto found = headers.find("content-length");
                length = found == headers.end() ? 0 : std::stoul(found->second);
            }
        }
        if (head && buffer.size() >= *head + length)
        {
            body = buffer.substr(*head, length);
            buffer.erase(0, *head + length);
            return true;
        }
        ssize_t count = ::recv(socket, chunk, sizeof chunk, 0);
        if (count <= 0)
        {
            return false;
        }
        buffer.append(chunk, static_cast<std::size_t>(count));
    }
}

} // namespace

http_server::http_server(int port, handler handle, int max_channels)
    : handle(std::move(handle))
    , max_channels(max_channels)
{
    this->listen_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(this->listen_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = loopback(port);
    socklen_t size = sizeof address;
    if (::bind(this->listen_socket, reinterpret_cast<sockaddr*>(&address),
            size) != 0 ||
        ::listen(this->listen_socket, 256) != 0)
    {
        ::close(this->listen_socket);
        throw std::runtime_error("cannot listen on a loopback port");
    }
    ::getsockname(
        this->listen_socket, reinterpret_cast<sockaddr*>(&address), &size);
    this->listen_port = ntohs(address.sin_port);
    this->acceptor = std::thread([this] { this->accept_connections(); });
}

http_server::~http_server()
{
    this->stop();
    while (this->connections > 0)
    {
        sleep_ms(5);
    }
}

void http_server::stop()
{
    if (this->stopping.exchange(true))
    {
        return;
    }
    ::shutdown(this->listen_socket, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->listen_socket);
    std::lock_guard lock(this->mutex);
    for (int socket : this->sockets)
    {
        reset_on_close(socket);
        ::shutdown(socket, SHUT_RD);
    }
}

void http_server::accept_connections()
{
    while (!this->stopping)
    {
        int socket =
            ::accept4(this->listen_socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
        {
            continue;
        }
        if (this->max_channels > 0 && this->connections >= this->max_channels)
        {
            ++this->refused;
            reset_on_close(socket);
            ::close(socket);
            continue;
        }
        timeval idle{idle_limit_s, 0};
        ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &idle, sizeof idle);
        int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        ++this->connections;
        {
            std::lock_guard lock(this->mutex);
            this->sockets.insert(socket);
        }
        std::thread([this, socket] { this->serve(socket); }).detach();
    }
}

void http_server::serve(int socket)
{
    std::string buffer;
    while (!this->stopping)
    {
        request parsed;
        std::string first;
        if (!read_message(socket, buffer, first, parsed.headers, parsed.body))
        {
            break;
        }
        auto space = first.find(' ');
        auto second = first.find(' ', space + 1);
        parsed.method = first.substr(0, space);
        parse_target(parsed, first.substr(space + 1, second - space - 1));
        response answer = this->handle(parsed);
        if (answer.status == 0 || this->stopping)
        {
            reset_on_close(socket);
            break;
        }
        std::string head = "HTTP/1.1 " + std::to_string(answer.status) +
                           " -\r\nContent-Type: application/json\r\n"
                           "Content-Length: " +
                           std::to_string(answer.body.size()) + "\r\n\r\n";
        if (!send_all(socket, head + answer.body))
        {
            break;
        }
    }
    {
        std::lock_guard lock(this->mutex);
        this->sockets.erase(socket);
        ::close(socket);
    }
    --this->connections;
}

http_channel::http_channel(int port, int timeout_ms)
    : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    timeval limit{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
    ::setsockopt(this->socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(this->socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    int on = 1;
    ::setsockopt(this->socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    sockaddr_in address = loopback(port);
    if (::connect(this->socket, reinterpret_cast<sockaddr*>(&address),
            sizeof address) != 0)
    {
        ::close(this->socket);
        this->socket = -1;
    }
}

http_channel::~http_channel()
{
    if (this->socket >= 0)
    {
        ::close(this->socket);
    }
}

response http_channel::send(std::string const& method, std::string const& path,
    std::string const& host, std::string const& body)
{
    response result;
    if (this->socket < 0)
    {
        return result;
    }
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                       "\r\nRequest-Deadline: 3000\r\n";
    if (!body.empty())
    {
        text += "Content-Type: application/json\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n";
    }
    text += "\r\n" + body;
    std::string buffer;
    std::string first;
    std::map<std::string, std::string> headers;
    if (!send_all(this->socket, text) ||
        !read_message(this->socket, buffer, first, headers, result.body))
    {
        return result;
    }
    result.status = std::stoi(first.substr(first.find(' ') + 1));
    return result;
}

response send_once(int port, std::string const& method, std::string const& path,
    std::string const& host, std::string const& body, int timeout_ms)
{
    http_channel channel(port, timeout_ms);
    return channel.send(method, path, host, body);
}

int free_port()
{
    int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    ::bind(socket, reinterpret_cast<sockaddr*>(&address), size);
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(socket);
    return ntohs(address.sin_port);
}

} // namespace standin
