#include "toucanlever/http/client.hpp"

#include "toucanlever/core/metrics.hpp"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <algorithm>
#include <array>
#include <curl/curl.h>
#include <optional>
#include <set>
#include <sys/epoll.h>
#include <unistd.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace toucanlever
{
namespace
{

/// Size of libcurl's connection cache; not a limit on open connections.
constexpr long max_cached_connections = 4096;

/// Whether libcurl may repeat a request by itself, which it does when a reused
/// connection breaks before the response.
enum class resend_policy
{
    allowed,
    /// Allowed, but then any response but a success leaves the request in
    /// doubt.
    success_only,
    never
};

/// One request in flight in libcurl.
struct transfer
{
    http_call call;
    std::string method;
    std::string body;
    resend_policy resend = resend_policy::never;
    http_client::command_callback done;
    command_result result;
    // How often libcurl has begun to send the request, and whether it was kept
    // from sending it again.
    int sendings = 0;
    bool resend_prevented = false;
    curl_slist* headers = nullptr;
    CURL* handle = nullptr;
    // When a part of the response last arrived.
    std::optional<time_point> received_at;
    event_loop* loop = nullptr;
    // Runs only with a `stall_timeout`.
    event_loop::timer_id stall_timer = 0;

    ~transfer()
    {
        curl_slist_free_all(this->headers);
        if (this->handle != nullptr)
        {
            curl_easy_cleanup(this->handle);
        }
    }
};

size_t on_body(char* data, size_t size, size_t count, void* into)
{
    auto* current = static_cast<transfer*>(into);
    current->received_at = current->loop->now();
    std::string& body = current->result.response.body;
    if (body.size() + size * count > current->call.max_response_bytes)
    {
        // Any result but the size of the data makes libcurl abort the request.
        return 0;
    }
    body.append(data, size * count);
    return size * count;
}

size_t on_header(char* data, size_t size, size_t count, void* into)
{
    auto* current = static_cast<transfer*>(into);
    current->received_at = current->loop->now();
    std::string line(data, size * count);
    while (!line.empty() && (line.back() == '\r' || line.back() == '\n'))
    {
        line.pop_back();
    }
    auto colon = line.find(':');
    if (colon != std::string::npos)
    {
        auto value = line.find_first_not_of(' ', colon + 1);
        current->result.response.headers.push_back({line.substr(0, colon),
            value == std::string::npos ? "" : line.substr(value)});
    }
    return size * count;
}

/// Called by libcurl each time it is about to send the request.
int on_sending(void* into, char*, char*, int, int)
{
    auto* current = static_cast<transfer*>(into);
    if (current->sendings > 0 && current->resend == resend_policy::never)
    {
        current->resend_prevented = true;
        return CURL_PREREQFUNC_ABORT;
    }
    ++current->sendings;
    return CURL_PREREQFUNC_OK;
}

void prepare(transfer& current)
{
    http_call const& call = current.call;
    CURL* handle = current.handle;
    curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    // Ignores the proxy variables of the environment.
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
        static_cast<long>(call.connect_timeout.count()));
    bool limits_whole = call.stall_timeout == milliseconds(0);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
        limits_whole ? static_cast<long>(call.timeout.count()) : 0L);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &on_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &current);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &on_header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &current);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &on_sending);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, &current);
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, current.method.c_str());
    if (current.method != "GET" && current.method != "DELETE")
    {
        curl_easy_setopt(handle, CURLOPT_POST, 1L);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, current.body.data());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
            static_cast<curl_off_t>(current.body.size()));
        // Otherwise libcurl announces a large body and waits up to a second
        // for "100 Continue" before it sends that body.
        current.headers = curl_slist_append(current.headers, "Expect:");
    }
    for (http_field const& field : call.headers)
    {
        std::string line = field.name + ": " + field.value;
        current.headers = curl_slist_append(current.headers, line.c_str());
    }
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, current.headers);
}

/// Counts the call, its connections, and the bytes of headers and bodies,
/// without TCP and IP overhead.
void count_call(CURL* handle)
{
    long connects = 0;
    long request = 0;
    long header = 0;
    curl_off_t uploaded = 0;
    curl_off_t downloaded = 0;
    curl_easy_getinfo(handle, CURLINFO_NUM_CONNECTS, &connects);
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &request);
    curl_easy_getinfo(handle, CURLINFO_HEADER_SIZE, &header);
    curl_easy_getinfo(handle, CURLINFO_SIZE_UPLOAD_T, &uploaded);
    curl_easy_getinfo(handle, CURLINFO_SIZE_DOWNLOAD_T, &downloaded);
    metrics().count("http_calls");
    metrics().count("http_connects", connects);
    metrics().count("http_bytes_sent", request + uploaded);
    metrics().count("http_bytes_received", header + downloaded);
}

void set_result(transfer& current, CURLcode code)
{
    count_call(current.handle);
    command_result& result = current.result;
    if (code == CURLE_OK)
    {
        long status = 0;
        curl_easy_getinfo(current.handle, CURLINFO_RESPONSE_CODE, &status);
        result.response.status = static_cast<int>(status);
        result.delivery = http_delivery::answered;
        bool is_unclear = current.resend == resend_policy::success_only &&
                          current.sendings > 1 && !result.succeeded();
        if (is_unclear)
        {
            result.delivery = http_delivery::in_doubt;
            result.problem = "status " + std::to_string(status) +
                             " to a repetition, after a connection was lost";
        }
        return;
    }
    result.problem = current.resend_prevented
                         ? "connection was lost before the response began"
                         : curl_easy_strerror(code);
    if (!result.response.body.empty())
    {
        result.problem += " after " +
                          std::to_string(result.response.body.size()) +
                          " bytes of the response";
    }
    // `on_sending` runs before the first byte, also on a reused connection.
    result.delivery = current.sendings > 0 ? http_delivery::in_doubt
                                           : http_delivery::not_sent;
}

std::unique_ptr<transfer> make_transfer(
    http_command call, http_client::command_callback done, resend_policy resend)
{
    auto made = std::make_unique<transfer>();
    made->method = std::move(call.method);
    made->body = std::move(call.body);
    made->call = std::move(call);
    made->resend = resend;
    made->done = std::move(done);
    return made;
}

query_result to_query_result(command_result result)
{
    return {result.delivery == http_delivery::answered,
        std::move(result.response), std::move(result.problem)};
}

/// The sockets that libcurl waits for, in an epoll set, so that the cost of a
/// wake-up does not grow with the number of idle requests.
class socket_set
{
public:
    socket_set()
        : epoll(epoll_create1(EPOLL_CLOEXEC))
    {
    }

    ~socket_set() { ::close(this->epoll); }
    socket_set(socket_set const&) = delete;
    socket_set& operator=(socket_set const&) = delete;

    /// Readable while a socket is ready.
    int handle() const { return this->epoll; }

    /// Applies libcurl's request to watch a socket, or to stop watching it.
    void watch(curl_socket_t socket, int what)
    {
        if (what == CURL_POLL_REMOVE)
        {
            // libcurl may have closed the socket already, which removed it from
            // the set.
            this->known.erase(socket);
            this->change(socket, EPOLL_CTL_DEL, 0);
            return;
        }
        std::uint32_t events = 0;
        events |= (what & CURL_POLL_IN) != 0 ? EPOLLIN : 0U;
        events |= (what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U;
        bool added = this->known.insert(socket).second;
        if (this->change(
                socket, added ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, events) != 0)
        {
            // The socket was closed and its number was reused.
            this->change(socket, added ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, events);
        }
    }

    /// Calls `on_ready` for each socket that is ready now.
    template <typename OnReady>
    void dispatch_ready(OnReady on_ready)
    {
        // Further ready sockets are reported at the next wake-up.
        std::array<epoll_event, 64> events{};
        int count = epoll_wait(
            this->epoll, events.data(), static_cast<int>(events.size()), 0);
        for (int i = 0; i < count; ++i)
        {
            epoll_event const& event = events.at(static_cast<std::size_t>(i));
            int flags = 0;
            flags |= (event.events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0;
            flags |= (event.events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
            flags |= (event.events & (EPOLLERR | EPOLLHUP)) != 0
                         ? CURL_CSELECT_ERR
                         : 0;
            on_ready(event.data.fd, flags);
        }
    }

private:
    int change(int socket, int operation, std::uint32_t events) const
    {
        epoll_event event{};
        event.events = events;
        event.data.fd = socket;
        return epoll_ctl(this->epoll, operation, socket, &event);
    }

    int epoll;
    std::set<curl_socket_t> known;
};

} // namespace

/// Registers only the epoll set with the loop's reactor, never libcurl's own
/// descriptors: libcurl may close one before it reports that.
class http_client::impl final : public ACE_Event_Handler
{
public:
    impl(event_loop& loop, std::chrono::seconds max_idle)
        : loop(loop)
        , max_idle(max_idle)
        , used_at(loop.now())
    {
        static bool const initialised =
            curl_global_init(CURL_GLOBAL_DEFAULT) == CURLE_OK;
        static_cast<void>(initialised);
        this->open_multi();
        this->loop.reactor().register_handler(
            this->sockets.handle(), this, ACE_Event_Handler::READ_MASK);
        this->idle_timer =
            this->loop.every(max_idle, [this] { this->close_if_unused(); });
    }

    ~impl() override
    {
        *this->alive = false;
        this->loop.cancel(this->timer);
        this->loop.cancel(this->idle_timer);
        this->loop.reactor().remove_handler(this->sockets.handle(),
            ACE_Event_Handler::READ_MASK | ACE_Event_Handler::DONT_CALL);
        for (auto& entry : this->active)
        {
            this->loop.cancel(entry.second->stall_timer);
            curl_multi_remove_handle(this->multi, entry.first);
        }
        this->active.clear();
        curl_multi_cleanup(this->multi);
        for (CURL* handle : this->idle_handles)
        {
            curl_easy_cleanup(handle);
        }
    }

    void send(std::unique_ptr<transfer> added)
    {
        added->handle = this->acquire_handle();
        added->loop = &this->loop;
        prepare(*added);
        this->used_at = this->loop.now();
        CURL* handle = added->handle;
        curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN,
            static_cast<long>(this->max_idle.count()));
        curl_easy_setopt(
            handle, CURLOPT_CLOSESOCKETFUNCTION, &impl::on_close_socket);
        if (added->call.stall_timeout > milliseconds(0))
        {
            this->watch_progress(*added, added->call.timeout);
        }
        this->active.emplace(handle, std::move(added));
        this->has_connections = true;
        curl_multi_add_handle(this->multi, handle);
    }

    /// Called by the reactor when some socket is ready.
    int handle_input(ACE_HANDLE) override
    {
        this->read_sockets();
        this->complete_transfers();
        return 0;
    }

private:
    void read_sockets()
    {
        int running = 0;
        this->sockets.dispatch_ready(
            [this, &running](curl_socket_t socket, int flags) {
                curl_multi_socket_action(this->multi, socket, flags, &running);
            });
    }

    void open_multi()
    {
        this->multi = curl_multi_init();
        curl_multi_setopt(
            this->multi, CURLMOPT_MAXCONNECTS, max_cached_connections);
        curl_multi_setopt(
            this->multi, CURLMOPT_SOCKETFUNCTION, &impl::on_socket);
        curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, &impl::on_timer);
        curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
    }

    /// libcurl closes connections that have been idle for too long only when it
    /// begins another request.
    void close_if_unused()
    {
        bool const is_unused =
            this->active.empty() &&
            this->loop.now() - this->used_at > this->max_idle;
        if (is_unused && this->has_connections)
        {
            this->has_connections = false;
            this->loop.cancel(this->timer);
            this->timer = 0;
            curl_multi_cleanup(this->multi);
            this->open_multi();
        }
    }

    static int on_close_socket(void*, curl_socket_t socket)
    {
        metrics().count("http_connections_closed");
        return ::close(socket);
    }

    static int on_socket(
        CURL*, curl_socket_t socket, int what, void* self, void*)
    {
        static_cast<impl*>(self)->sockets.watch(socket, what);
        return 0;
    }

    static int on_timer(CURLM*, long timeout_ms, void* self)
    {
        static_cast<impl*>(self)->set_timer(timeout_ms);
        return 0;
    }

    /// Sets the timer that libcurl asks for. A timeout of zero is posted to the
    /// loop, because libcurl cannot be called from within its timer callback.
    void set_timer(long timeout_ms)
    {
        this->loop.cancel(this->timer);
        this->timer = 0;
        if (timeout_ms < 0)
        {
            return;
        }
        if (timeout_ms == 0)
        {
            if (!this->timeout_posted)
            {
                this->timeout_posted = true;
                this->loop.post(
                    [this, alive = this->alive]
                    {
                        if (*alive)
                        {
                            this->timeout_posted = false;
                            this->process_timeouts();
                        }
                    });
            }
            return;
        }
        // libcurl rounds the timeout down to whole milliseconds, and does
        // nothing when it is called before the exact time.
        this->timer = this->loop.after(milliseconds(timeout_ms + 1),
            [this]
            {
                this->timer = 0;
                this->process_timeouts();
            });
    }

    void process_timeouts()
    {
        int running = 0;
        curl_multi_socket_action(this->multi, CURL_SOCKET_TIMEOUT, 0, &running);
        // libcurl reports its timeout only when that changes. It does not
        // repeat it after a call that came too early, so read it here.
        long timeout_ms = -1;
        curl_multi_timeout(this->multi, &timeout_ms);
        if (timeout_ms >= 0 && this->timer == 0 && !this->timeout_posted)
        {
            this->set_timer(std::max(timeout_ms, 1L));
        }
        this->complete_transfers();
    }

    /// Gives the transfer up after `delay` unless a part of its response has
    /// arrived by then.
    void watch_progress(transfer& current, microseconds delay)
    {
        current.stall_timer = this->loop.after(delay,
            [this, &current]
            {
                // After a pause of the process, timers run before the sockets
                // are read.
                this->read_sockets();
                auto silence = this->loop.now() -
                               current.received_at.value_or(time_point{});
                std::vector<std::unique_ptr<transfer>> ended;
                if (silence < current.call.stall_timeout)
                {
                    this->watch_progress(
                        current, current.call.stall_timeout - silence);
                }
                else
                {
                    ended.push_back(
                        this->end(current.handle, CURLE_OPERATION_TIMEDOUT));
                }
                this->complete_transfers(std::move(ended));
            });
    }

    /// Removes a transfer; its callback is still to be called.
    std::unique_ptr<transfer> end(CURL* handle, CURLcode code)
    {
        auto found = this->active.find(handle);
        std::unique_ptr<transfer> ended = std::move(found->second);
        this->active.erase(found);
        this->loop.cancel(ended->stall_timer);
        curl_multi_remove_handle(this->multi, handle);
        set_result(*ended, code);
        this->release_handle(std::exchange(ended->handle, nullptr));
        return ended;
    }

    CURL* acquire_handle()
    {
        if (this->idle_handles.empty())
        {
            return curl_easy_init();
        }
        CURL* handle = this->idle_handles.back();
        this->idle_handles.pop_back();
        return handle;
    }

    void release_handle(CURL* handle)
    {
        curl_easy_reset(handle);
        this->idle_handles.push_back(handle);
    }

    /// Calls the callbacks of `ended` and of the transfers that libcurl has
    /// completed.
    void complete_transfers(std::vector<std::unique_ptr<transfer>> ended = {})
    {
        int left = 0;
        while (CURLMsg* message = curl_multi_info_read(this->multi, &left))
        {
            if (message->msg == CURLMSG_DONE)
            {
                ended.push_back(
                    this->end(message->easy_handle, message->data.result));
            }
        }
        std::shared_ptr<bool> still_alive = this->alive;
        for (auto const& finished : ended)
        {
            if (!*still_alive)
            {
                return;
            }
            finished->done(std::move(finished->result));
        }
    }

    event_loop& loop;
    std::chrono::seconds max_idle;
    // When a request was last sent.
    time_point used_at;
    // True when `multi` may hold connections.
    bool has_connections = false;
    event_loop::timer_id idle_timer = 0;
    CURLM* multi = nullptr;
    socket_set sockets;
    event_loop::timer_id timer = 0;
    bool timeout_posted = false;
    // Invariant: exactly the easy handles that were added to `multi`.
    std::unordered_map<CURL*, std::unique_ptr<transfer>> active;
    // Easy handles for reuse by later calls.
    std::vector<CURL*> idle_handles;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

http_client::http_client(event_loop& loop, std::chrono::seconds max_idle)
    : pimpl(std::make_unique<impl>(loop, max_idle))
{
}

http_client::~http_client() = default;

void http_client::send(http_query call, query_callback done)
{
    auto added = std::make_unique<transfer>();
    added->call = std::move(call);
    added->method = "GET";
    added->resend = resend_policy::allowed;
    added->done = [done = std::move(done)](command_result result)
    { done(to_query_result(std::move(result))); };
    this->pimpl->send(std::move(added));
}

void http_client::send(http_command call, command_callback done)
{
    this->pimpl->send(
        make_transfer(std::move(call), std::move(done), resend_policy::never));
}

void http_client::send(http_repeatable_command call, command_callback done)
{
    this->pimpl->send(make_transfer(
        std::move(call), std::move(done), resend_policy::success_only));
}

} // namespace toucanlever
