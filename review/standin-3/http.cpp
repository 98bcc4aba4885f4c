#include "http.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review
{
namespace
{

sockaddr_in to_sockaddr(std::string const& ip, int port)
{
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
    return at;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
        [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string decode_percent(std::string_view text)
{
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] == '%' && i + 2 < text.size())
        {
            plain += static_cast<char>(
                std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
            i += 2;
            continue;
        }
        plain += text[i];
    }
    return plain;
}

/// Reads from the socket into `buffer`; false at the end or after the time.
bool read_more(int socket, std::string& buffer, std::int64_t until_ms)
{
    pollfd wait{socket, POLLIN, 0};
    std::int64_t left = until_ms - now_ms();
    if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) <= 0)
    {
        errno = ETIMEDOUT;
        return false;
    }
    char chunk[65536];
    ssize_t got = ::recv(socket, chunk, sizeof chunk, 0);
    if (got <= 0)
    {
        errno = got == 0 ? 0 : errno;
        return false;
    }
    buffer.append(chunk, static_cast<std::size_t>(got));
    return true;
}

bool write_all(int socket, std::string const& text)
{
    std::size_t sent = 0;
    while (sent < text.size())
    {
        ssize_t done = ::send(
            socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (done <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(done);
    }
    return true;
}

std::map<std::string, std::string> parse_fields(std::string_view head)
{
    std::map<std::string, std::string> fields;
    std::size_t at = head.find("\r\n");
    while (at != std::string_view::npos)
    {
        std::size_t end = head.find("\r\n", at + 2);
        std::string_view line = head.substr(
            at + 2, end == std::string_view::npos ? end : end - at - 2);
        std::size_t colon = line.find(':');
        if (colon != std::string_view::npos)
        {
            std::size_t value = line.find_first_not_of(' ', colon + 1);
            fields[lower(std::string(line.substr(0, colon)))] =
                value == std::string_view::npos
                    ? std::string()
                    : std::string(line.substr(value));
        }
        at = end;
    }
    return fields;
}

/// Takes one message off the buffer; false when the channel ends first.
bool read_message(int socket, std::string& buffer, std::string& head,
    std::string& body, std::int64_t until_ms)
{
    std::size_t end = buffer.find("\r\n\r\n");
    while (end == std::string::npos)
    {
        if (!read_more(socket, buffer, until_ms))
        {
            return false;
        }
        end = buffer.find("\r\n\r\n");
    }
    head = buffer.substr(0, end);
    auto fields = parse_fields(head);
    auto length = fields.find("content-length");
    std::size_t size = length == fields.end() ? 0 : std::stoul(length->second);
    while (buffer.size() < end + 4 + size)
    {
        if (!read_more(socket, buffer, until_ms))
        {
            return false;
        }
    }
    body = buffer.substr(end + 4, size);
    buffer.erase(0, end + 4 + size);
    return true;
}

request parse_request(std::string const& head, std::string body)
{
    request parsed;
    std::size_t first = head.find(' ');
    std::size_t second = head.find(' ', first + 1);
    parsed.method = head.substr(0, first);
    std::string target = head.substr(first + 1, second - first - 1);
    std::size_t mark = target.find('?');
    parsed.path = target.substr(0, mark);
    while (mark != std::string::npos)
    {
        std::size_t next = target.find('&', mark + 1);
        std::string pair = target.substr(
            mark + 1, next == std::string::npos ? next : next - mark - 1);
        std::size_t equals = pair.find('=');
        if (equals != std::string::npos)
        {
            parsed.query[pair.substr(0, equals)] =
                decode_percent(std::string_view(pair).substr(equals + 1));
        }
        mark = next;
    }
    parsed.headers = parse_fields(head);
    parsed.body = std::move(body);
    return parsed;
}

char const* reason_of(int status)
{
    return status == 200 ? "OK" : status == 404 ? "Not Found" : "Other";
}

} // namespace

std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void sleep_ms(std::int64_t span)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(span));
}

std::string own_ip(int number)
{
    constexpr int values = 250;
    int process = ::getpid();
    return "127." + std::to_string(process / values % values + 1) + '.' +
           std::to_string(process % values + 1) + '.' + std::to_string(number);
}

int free_port(std::string const& ip)
{
    // The kernel may offer the same port again while nothing listens on it.
    static std::set<int> given;
    constexpr int attempts = 100;
    for (int i = 0; i < attempts; ++i)
    {
        int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in at = to_sockaddr(ip, 0);
        socklen_t size = sizeof at;
        int bound = ::bind(probe, reinterpret_cast<sockaddr*>(&at), size);
        ::getsockname(probe, reinterpret_cast<sockaddr*>(&at), &size);
        ::close(probe);
        if (bound == 0 && given.insert(ntohs(at.sin_port)).second)
        {
            return ntohs(at.sin_port);
        }
    }
    throw std::runtime_error("no free port on " + ip);
}

/// Outlives the server: its threads hold it.
struct http_server::shared
{
    handler on_request;
    std::mutex mutex;
    int listener = -1;
    std::set<int> open;
    std::atomic<bool> running{false};

    void serve(int socket)
    {
        std::string buffer;
        std::string head;
        std::string body;
        constexpr std::int64_t idle_ms = 600'000;
        while (this->running &&
               read_message(socket, buffer, head, body, now_ms() + idle_ms))
        {
            response made = this->on_request(parse_request(head, body));
            if (made.drop || !this->running)
            {
                break;
            }
            std::string text = "HTTP/1.1 " + std::to_string(made.status) + ' ' +
                               reason_of(made.status) +
                               "\r\nContent-Type: application/json\r\n"
                               "Content-Length: " +
                               std::to_string(made.body.size()) + "\r\n\r\n" +
                               made.body;
            if (!write_all(socket, text))
            {
                break;
            }
        }
        std::lock_guard lock(this->mutex);
        this->open.erase(socket);
        ::close(socket);
    }
};

http_server::http_server(handler on_request, std::string ip)
    : ip(std::move(ip))
    , state(std::make_shared<shared>())
{
    this->state->on_request = std::move(on_request);
}

http_server::~http_server()
{
    this->stop();
}

std::string http_server::address() const
{
    return this->ip + ':' + std::to_string(this->port);
}

void http_server::start()
{
    int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int yes = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in at = to_sockaddr(this->ip, this->port);
    socklen_t size = sizeof at;
    if (::bind(listener, reinterpret_cast<sockaddr*>(&at), size) != 0 ||
        ::listen(listener, 512) != 0)
    {
        ::close(listener);
        throw std::runtime_error("cannot listen on " + this->address());
    }
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&at), &size);
    this->port = ntohs(at.sin_port);
    this->state->listener = listener;
    this->state->running = true;
    std::thread(
        [listener, state = this->state]
        {
            for (;;)
            {
                int socket =
                    ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (socket < 0)
                {
                    break;
                }
                int no_delay = 1;
                ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &no_delay,
                    sizeof no_delay);
                std::lock_guard lock(state->mutex);
                if (!state->running || state->listener != listener)
                {
                    ::close(socket);
                    break;
                }
                state->open.insert(socket);
                std::thread([socket, state] { state->serve(socket); }).detach();
            }
            ::close(listener);
        })
        .detach();
}

void http_server::stop()
{
    std::lock_guard lock(this->state->mutex);
    this->state->running = false;
    if (this->state->listener >= 0)
    {
        ::shutdown(this->state->listener, SHUT_RDWR);
        this->state->listener = -1;
    }
    for (int socket : this->state->open)
    {
        linger reset{1, 0};
        ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        ::shutdown(socket, SHUT_RDWR);
    }
}

channel::channel(std::string address)
    : address(std::move(address))
{
}

channel::~channel()
{
    this->close();
}

void channel::close()
{
    if (this->socket >= 0)
    {
        ::close(this->socket);
        this->socket = -1;
    }
    this->unread.clear();
}

bool channel::open()
{
    this->close();
    std::size_t colon = this->address.rfind(':');
    sockaddr_in at = to_sockaddr(this->address.substr(0, colon),
        std::stoi(this->address.substr(colon + 1)));
    int made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(made, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0)
    {
        ::close(made);
        return false;
    }
    int no_delay = 1;
    ::setsockopt(made, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof no_delay);
    this->socket = made;
    return true;
}

answer channel::call(std::string const& method, std::string const& target,
    std::string const& host, std::string const& body, std::int64_t timeout_ms)
{
    answer result;
    if (!this->is_open() && !this->open())
    {
        result.unsent = true;
        result.problem = "no connection";
        result.sent_ms = result.ended_ms = now_ms();
        return result;
    }
    std::string text = method + ' ' + target + " HTTP/1.1\r\nHost: " + host +
                       "\r\nRequest-Deadline: " + std::to_string(timeout_ms) +
                       "\r\n";
    if (method == "POST")
    {
        text += "Content-Type: application/json\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n";
    }
    text += "\r\n" + body;
    bool written = write_all(this->socket, text);
    result.sent_ms = now_ms();
    std::string head;
    if (!written || !read_message(this->socket, this->unread, head, result.body,
                        result.sent_ms + timeout_ms))
    {
        result.problem = errno == 0 ? "closed" : std::strerror(errno);
        result.ended_ms = now_ms();
        this->close();
        return result;
    }
    result.ended_ms = now_ms();
    result.status = std::stoi(head.substr(head.find(' ') + 1, 3));
    auto fields = parse_fields(head);
    auto connection = fields.find("connection");
    result.closes =
        connection != fields.end() && lower(connection->second) == "close";
    if (result.closes)
    {
        this->close();
    }
    return result;
}

answer call_once(std::string const& address, std::string const& method,
    std::string const& target, std::string const& host, std::string const& body,
    std::int64_t timeout_ms)
{
    channel one(address);
    return one.call(method, target, host, body, timeout_ms);
}

} // namespace review
