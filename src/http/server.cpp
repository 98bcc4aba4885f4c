#include "toucanlever/http/server.hpp"

#include "toucanlever/core/error.hpp"
#include "toucanlever/http/status.hpp"

#include <arpa/inet.h>
#include <atomic>
#include <condition_variable>
#include <cstring>
#include <map>
#include <microhttpd.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace toucanlever
{
namespace
{

constexpr unsigned idle_timeout_s = 120;
constexpr milliseconds sweep_period{500};

sockaddr_in to_sockaddr(std::string const& address)
{
    auto colon = address.rfind(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    result.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    return result;
}

std::string describe(MHD_Connection* connection)
{
    auto const* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    if (info == nullptr || info->client_addr->sa_family != AF_INET)
    {
        return "?";
    }
    auto const* ip = reinterpret_cast<sockaddr_in const*>(info->client_addr);
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &ip->sin_addr, text, sizeof text);
    return std::string(text) + ":" + std::to_string(ntohs(ip->sin_port));
}

MHD_Result collect_field(
    void* into, MHD_ValueKind, char const* name, char const* value)
{
    auto* fields = static_cast<http_fields*>(into);
    fields->push_back({name, value == nullptr ? "" : value});
    return MHD_YES;
}

MHD_Result queue_response(
    MHD_Connection* connection, http_response const& response)
{
    MHD_Response* out = MHD_create_response_from_buffer(response.body.size(),
        const_cast<char*>(response.body.data()), MHD_RESPMEM_MUST_COPY);
    for (http_field const& field : response.headers)
    {
        MHD_add_response_header(out, field.name.c_str(), field.value.c_str());
    }
    auto queued = MHD_queue_response(
        connection, static_cast<unsigned>(response.status), out);
    MHD_destroy_response(out);
    return queued;
}

/// A request whose connection is suspended until `answer` resumes it. Counts in
/// `open` until `mark_ended`.
class suspended_exchange final : public http_exchange
{
public:
    suspended_exchange(
        MHD_Connection* connection, std::atomic<std::size_t>& open)
        : connection(connection)
        , open(open)
    {
        ++open;
    }

    void answer(http_response response) override
    {
        std::lock_guard lock(this->mutex);
        if (this->state != phase::waiting)
        {
            return;
        }
        this->state = phase::answered;
        this->response = std::move(response);
        MHD_resume_connection(this->connection);
    }

    http_response take_response()
    {
        std::lock_guard lock(this->mutex);
        return std::move(this->response);
    }

    /// The connection is about to close; a later answer is dropped.
    void mark_ended()
    {
        std::lock_guard lock(this->mutex);
        if (this->state != phase::ended)
        {
            this->state = phase::ended;
            --this->open;
        }
    }

private:
    enum class phase
    {
        waiting,
        answered,
        ended
    };

    std::mutex mutex;
    MHD_Connection* connection;
    std::atomic<std::size_t>& open;
    phase state = phase::waiting;
    http_response response;
};

/// A request that libmicrohttpd is reading or that waits for its response.
struct incoming_request
{
    http_request request;
    bool too_large = false;
    /// It has a response, and counts as open, without a suspended exchange.
    bool is_refused = false;
    std::shared_ptr<suspended_exchange> suspended;
};

/// When the limit on request time starts to count for a connection, and whether
/// the request is still being received. `since` lies in the future after a
/// request, so that an idle kept-alive connection stays open.
struct connection_clock
{
    int socket = -1;
    time_point since;
    bool waiting_for_caller = true;
};

http_response make_error_response(int status, error const& problem)
{
    nlohmann::json body{{"code", name_of(problem.code)},
        {"message", problem.what()}, {"step", problem.step},
        {"peer", problem.peer}, {"ran", name_of(problem.ran)}};
    return json_response(status, body.dump());
}

/// For requests that have no other answer when the server closes. A handler may
/// have begun to work on them, so 503 would promise too much.
http_response make_closing_response()
{
    return make_error_response(http_status::gateway_timeout,
        error(error_code::outcome_unknown, "the instance is shutting down",
            "await-handler", {}, run_state::unknown));
}

} // namespace

class http_server::impl
{
public:
    impl(event_loop& loop, std::string const& address, http_handler& handler,
        http_limits limits)
        : loop(loop)
        , handler(handler)
        , limits(limits)
    {
        sockaddr_in local = to_sockaddr(address);
        this->daemon = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD |
                                            MHD_ALLOW_SUSPEND_RESUME |
                                            MHD_USE_ITC,
            0, nullptr, nullptr, &impl::on_access, this, MHD_OPTION_SOCK_ADDR,
            &local, MHD_OPTION_CONNECTION_LIMIT, limits.max_connections,
            MHD_OPTION_CONNECTION_TIMEOUT, idle_timeout_s,
            MHD_OPTION_CONNECTION_MEMORY_LIMIT, limits.max_header_bytes,
            MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_NOTIFY_COMPLETED,
            &impl::on_completed, this, MHD_OPTION_NOTIFY_CONNECTION,
            &impl::on_connection, this, MHD_OPTION_END);
        if (this->daemon == nullptr)
        {
            throw error(error_code::unavailable,
                std::string("cannot listen: ") + std::strerror(errno), "listen",
                address);
        }
        this->sweep_timer =
            loop.every(sweep_period, [this] { this->close_slow_callers(); });
    }

    ~impl()
    {
        this->loop.cancel(this->sweep_timer);
        this->stop_accepting();
        this->answer_all();
        this->wait_until_sent();
        MHD_stop_daemon(this->daemon);
    }

    void stop_accepting()
    {
        if (!this->quiesced)
        {
            this->quiesced = true;
            int socket = MHD_quiesce_daemon(this->daemon);
            if (socket >= 0)
            {
                ::close(socket);
            }
        }
    }

    std::size_t in_progress() const { return this->open; }

private:
    static MHD_Result on_access(void* self, MHD_Connection* connection,
        char const* url, char const* method, char const*, char const* data,
        size_t* size, void** state)
    {
        return static_cast<impl*>(self)->handle_access(
            connection, url, method, data, size, state);
    }

    MHD_Result handle_access(MHD_Connection* connection, char const* url,
        char const* method, char const* data, size_t* size, void** state)
    {
        auto* current = static_cast<incoming_request*>(*state);
        if (current == nullptr)
        {
            current = new incoming_request();
            current->request.method = method;
            current->request.path = url;
            current->request.peer = describe(connection);
            MHD_get_connection_values(connection, MHD_HEADER_KIND,
                &collect_field, &current->request.headers);
            MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND,
                &collect_field, &current->request.query);
            *state = current;
            return MHD_YES;
        }
        if (*size > 0)
        {
            this->append(*current, std::string_view(data, *size));
            *size = 0;
            return MHD_YES;
        }
        this->mark_request_received(connection);
        if (current->suspended)
        {
            return queue_response(
                connection, current->suspended->take_response());
        }
        if (current->too_large)
        {
            current->is_refused = true;
            ++this->open;
            return queue_response(connection,
                make_error_response(
                    413, error(error_code::too_large,
                             "body is larger than " +
                                 std::to_string(this->limits.max_body_bytes) +
                                 " bytes",
                             "read-request", current->request.peer)));
        }
        this->dispatch_request(connection, *current);
        return MHD_YES;
    }

    void append(incoming_request& current, std::string_view data)
    {
        if (current.request.body.size() + data.size() >
            this->limits.max_body_bytes)
        {
            current.too_large = true;
            current.request.body.clear();
        }
        if (!current.too_large)
        {
            current.request.body.append(data);
        }
    }

    void dispatch_request(MHD_Connection* connection, incoming_request& current)
    {
        MHD_suspend_connection(connection);
        current.suspended =
            std::make_shared<suspended_exchange>(connection, this->open);
        auto waiting = current.suspended;
        bool closes = false;
        {
            std::lock_guard lock(this->mutex);
            this->exchanges.emplace(waiting.get(), waiting);
            closes = this->closing;
        }
        if (closes)
        {
            waiting->answer(make_closing_response());
            return;
        }
        this->loop.post(
            [this, waiting, request = std::move(current.request)]() mutable
            { this->handler.on_request(std::move(request), waiting); });
    }

    static void on_completed(void* self, MHD_Connection* connection,
        void** state, MHD_RequestTerminationCode)
    {
        auto* owner = static_cast<impl*>(self);
        auto* current = static_cast<incoming_request*>(*state);
        if (current == nullptr)
        {
            return;
        }
        owner->note_ended(*current);
        delete current;
        *state = nullptr;
        owner->expect_next_request(connection);
    }

    void note_ended(incoming_request const& ended)
    {
        std::lock_guard lock(this->mutex);
        if (ended.suspended)
        {
            ended.suspended->mark_ended();
            this->exchanges.erase(ended.suspended.get());
        }
        this->open -= ended.is_refused ? 1 : 0;
        this->ended.notify_all();
    }

    static void on_connection(void* self, MHD_Connection* connection, void**,
        MHD_ConnectionNotificationCode code)
    {
        auto* owner = static_cast<impl*>(self);
        std::lock_guard lock(owner->mutex);
        if (code == MHD_CONNECTION_NOTIFY_CLOSED)
        {
            owner->clocks.erase(connection);
            return;
        }
        auto const* info = MHD_get_connection_info(
            connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        owner->clocks[connection] =
            connection_clock{info->connect_fd, owner->loop.now(), true};
    }

    void mark_request_received(MHD_Connection* connection)
    {
        std::lock_guard lock(this->mutex);
        auto found = this->clocks.find(connection);
        if (found != this->clocks.end())
        {
            found->second.waiting_for_caller = false;
        }
    }

    /// The limit on request time does not apply to an idle kept-alive
    /// connection: only the library's idle timeout applies until the next
    /// bytes arrive.
    void expect_next_request(MHD_Connection* connection)
    {
        std::lock_guard lock(this->mutex);
        auto found = this->clocks.find(connection);
        if (found != this->clocks.end())
        {
            found->second.since =
                this->loop.now() + std::chrono::seconds(idle_timeout_s);
            found->second.waiting_for_caller = true;
        }
    }

    void close_slow_callers()
    {
        std::lock_guard lock(this->mutex);
        for (auto const& entry : this->clocks)
        {
            connection_clock const& timing = entry.second;
            if (timing.waiting_for_caller &&
                this->loop.now() - timing.since > this->limits.request_time)
            {
                ::shutdown(timing.socket, SHUT_RD);
            }
        }
    }

    /// Answers the requests that wait, and from now on each one at once.
    void answer_all()
    {
        std::vector<std::shared_ptr<suspended_exchange>> waiting;
        {
            std::lock_guard lock(this->mutex);
            this->closing = true;
            for (auto const& entry : this->exchanges)
            {
                waiting.push_back(entry.second);
            }
        }
        for (auto const& exchange : waiting)
        {
            exchange->answer(make_closing_response());
        }
    }

    /// Waits in real time, because the library's thread sends the answers.
    void wait_until_sent()
    {
        std::unique_lock lock(this->mutex);
        this->ended.wait_for(lock, this->limits.closing_time,
            [this] { return this->open == 0; });
    }

    event_loop& loop;
    http_handler& handler;
    http_limits limits;
    MHD_Daemon* daemon = nullptr;
    bool quiesced = false;
    std::atomic<std::size_t> open = 0;
    std::mutex mutex;
    // Notified when a request has ended, with or without an answer.
    std::condition_variable ended;
    // No request is passed to the handler any more.
    bool closing = false;
    std::map<suspended_exchange*, std::shared_ptr<suspended_exchange>>
        exchanges;
    std::map<MHD_Connection*, connection_clock> clocks;
    event_loop::timer_id sweep_timer = 0;
};

http_server::http_server(event_loop& loop, std::string const& address,
    http_handler& handler, http_limits limits)
    : pimpl(std::make_unique<impl>(loop, address, handler, limits))
{
}

http_server::~http_server() = default;

void http_server::stop_accepting()
{
    this->pimpl->stop_accepting();
}

std::size_t http_server::in_progress() const
{
    return this->pimpl->in_progress();
}

} // namespace toucanlever
