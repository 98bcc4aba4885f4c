#include "http.hpp"

#include <arpa/inet.h>
#include <cstring>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{
namespace
{

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

void reset_channel(int socket)
{
    linger now{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

bool send_all(int socket, std::string const& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        auto count = ::send(
            socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::string decode_percent(std::string const& text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] == '%' && i + 2 < text.size())
        {
            result += static_cast<char>(
                std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
            continue;
        }
        result += text[i];
    }
    return result;
}

std::string lower(std::string text)
{
    for (char& c : text)
    {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return text;
}

void parse_target(std::string const& target, request& into)
{
    auto mark = target.find('?');
    into.path = target.substr(0, mark);
    while (mark != std::string::npos)
    {
        auto next = target.find('&', mark + 1);
        std::string pair = target.substr(mark + 1, next - mark - 1);
        auto equals = pair.find('=');
        if (equals != std::string::npos)
        {
            into.query[pair.substr(0, equals)] =
                decode_percent(pair.substr(equals + 1));
        }
        mark = next;
    }
}

/// Parses the start line and the header fields in front of `end`.
void parse_head(std::string const& head, std::string& start_line,
    std::map<std::string, std::string>& headers)
{
    auto line_end = head.find("\r\n");
    start_line = head.substr(0, line_end);
    while (line_end != std::string::npos)
    {
        auto next = head.find("\r\n", line_end + 2);
        std::string line = head.substr(line_end + 2,
            next == std::string::npos ? next : next - line_end - 2);
        auto colon = line.find(':');
        if (colon != std::string::npos)
        {
            auto value = line.find_first_not_of(' ', colon + 1);
            headers[lower(line.substr(0, colon))] =
                value == std::string::npos ? "" : line.substr(value);
        }
        line_end = next;
    }
}

/// Reads one message from the socket; false when the channel has ended.
bool read_message(int socket, std::string& buffer, std::string& start_line,
    std::map<std::string, std::string>& headers, std::string& body)
{
    char chunk[65536];
    std::size_t head_end = std::string::npos;
    std::size_t length = 0;
    while (true)
    {
        if (head_end == std::string::npos)
        {
            head_end = buffer.find("\r\n\r\n");
            if (head_end != std::string::npos)
            {
                headers.clear();
                parse_head(buffer.substr(0, head_end), start_line, headers);
                length = headers.contains("content-length")
                             ? std::stoul(headers.at("content-length"))
                             : 0;
            }
        }
        if (head_end != std::string::npos &&
            buffer.size() >= head_end + 4 + length)
        {
            body = buffer.substr(head_end + 4, length);
            buffer.erase(0, head_end + 4 + length);
            return true;
        }
        auto count = ::recv(socket, chunk, sizeof chunk, 0);
        if (count <= 0)
        {
            return false;
        }
        buffer.append(chunk, static_cast<std::size_t>(count));
    }
}

} // namespace

int free_port()
{
    int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    bool ok =
        ::bind(socket, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
        ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) ==
            0;
    ::close(socket);
    if (!ok)
    {
        throw std::runtime_error("no free port");
    }
    return ntohs(address.sin_port);
}

server::server(int port, handler handle)
    : handle(std::move(handle))
{
    this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = loopback(port);
    if (::bind(this->listener, reinterpret_cast<sockaddr*>(&address),
            sizeof address) != 0 ||
        ::listen(this->listener, 512) != 0)
    {
        throw std::runtime_error("cannot listen");
    }
    this->acceptor = std::thread([this] { this->accept_channels(); });
}

server::~server()
{
    this->is_stopping = true;
    ::shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->listener);
    {
        std::lock_guard lock(this->mutex);
        for (channel& each : this->channels)
        {
            reset_channel(each.socket);
            ::shutdown(each.socket, SHUT_RD);
        }
    }
    for (channel& each : this->channels)
    {
        each.thread.join();
        ::close(each.socket);
    }
}

void server::accept_channels()
{
    while (!this->is_stopping)
    {
        int socket = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
        {
            continue;
        }
        int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::lock_guard lock(this->mutex);
        this->channels.push_back({socket, {}});
        this->channels.back().thread =
            std::thread([this, socket] { this->serve(socket); });
    }
}

void server::serve(int socket)
{
    std::string buffer;
    std::string start_line;
    request current;
    while (!this->is_stopping && read_message(socket, buffer, start_line,
                                     current.headers, current.body))
    {
        auto first = start_line.find(' ');
        auto second = start_line.find(' ', first + 1);
        current.method = start_line.substr(0, first);
        current.query.clear();
        parse_target(start_line.substr(first + 1, second - first - 1), current);
        response result = this->handle(current);
        if (this->is_stopping)
        {
            return;
        }
        if (result.how == delivery::reset)
        {
            // Ends the channel with a reset; the descriptor is closed later.
            reset_channel(socket);
            int unused = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
            ::dup3(unused, socket, O_CLOEXEC);
            ::close(unused);
            return;
        }
        if (result.how == delivery::silence)
        {
            char byte = 0;
            while (!this->is_stopping && ::recv(socket, &byte, 1, 0) > 0)
            {
            }
            return;
        }
        std::string text =
            "HTTP/1.1 " + std::to_string(result.status) +
            " X\r\nContent-Type: application/json\r\nContent-Length: " +
            std::to_string(result.body.size()) + "\r\n\r\n" + result.body;
        if (!send_all(socket, text))
        {
            return;
        }
    }
    ::shutdown(socket, SHUT_RDWR);
}

answer call(int port, std::string const& method, std::string const& path,
    std::string const& host, std::string const& body, int limit_ms)
{
    answer result;
    int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval limit{limit_ms / 1000, (limit_ms % 1000) * 1000};
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    sockaddr_in address = loopback(port);
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                       "\r\nContent-Type: application/json\r\n" +
                       "Request-Deadline: " + std::to_string(limit_ms) +
                       "\r\nContent-Length: " + std::to_string(body.size()) +
                       "\r\n\r\n" + body;
    std::string buffer;
    std::string start_line;
    std::map<std::string, std::string> headers;
    bool answered =
        ::connect(socket, reinterpret_cast<sockaddr*>(&address),
            sizeof address) == 0 &&
        send_all(socket, text) &&
        read_message(socket, buffer, start_line, headers, result.body);
    if (answered && start_line.size() > 12)
    {
        result.status = std::stoi(start_line.substr(9, 3));
    }
    ::close(socket);
    return result;
}

} // namespace review
