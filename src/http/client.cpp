#include "toucanlever/http/client.hpp"

#include "toucanlever/core/metrics.hpp"

#include <atomic>
#include <curl/curl.h>
#include <deque>
#include <map>
#include <mutex>
#include <strings.h>
#include <thread>

namespace toucanlever
{
namespace
{

constexpr long max_total_connections = 4096;
constexpr int poll_ms = 1000;

/// One request on its way through libcurl.
struct transfer
{
    http_call call;
    http_client::callback done;
    http_result result;
    curl_slist* headers = nullptr;
    CURL* handle = nullptr;

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
    std::string& body = current->result.response.body;
    if (body.size() + size * count > current->call.max_response_bytes)
    {
        return 0;
    }
    body.append(data, size * count);
    return size * count;
}

size_t on_header(char* data, size_t size, size_t count, void* into)
{
    auto* current = static_cast<transfer*>(into);
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

void prepare(transfer& current)
{
    http_call const& call = current.call;
    CURL* handle = curl_easy_init();
    current.handle = handle;
    curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
        static_cast<long>(call.connect_timeout.count()));
    curl_easy_setopt(
        handle, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &on_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &current);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &on_header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &current);
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    if (call.method != "GET" && call.method != "DELETE")
    {
        curl_easy_setopt(handle, CURLOPT_POST, 1L);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
            static_cast<curl_off_t>(call.body.size()));
        current.headers = curl_slist_append(current.headers, "Expect:");
    }
    if (call.fresh_connection)
    {
        curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
    }
    for (http_field const& field : call.headers)
    {
        std::string line = field.name + ": " + field.value;
        current.headers = curl_slist_append(current.headers, line.c_str());
    }
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, current.headers);
}

/// Headers and bodies, without what TCP and IP add.
void count_bytes(CURL* handle)
{
    long request = 0;
    long header = 0;
    curl_off_t uploaded = 0;
    curl_off_t downloaded = 0;
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &request);
    curl_easy_getinfo(handle, CURLINFO_HEADER_SIZE, &header);
    curl_easy_getinfo(handle, CURLINFO_SIZE_UPLOAD_T, &uploaded);
    curl_easy_getinfo(handle, CURLINFO_SIZE_DOWNLOAD_T, &downloaded);
    metrics().count("http_calls");
    metrics().count("http_bytes_sent", request + uploaded);
    metrics().count("http_bytes_received", header + downloaded);
}

void conclude(transfer& current, CURLcode code)
{
    count_bytes(current.handle);
    http_result& result = current.result;
    if (code == CURLE_OK)
    {
        long status = 0;
        curl_easy_getinfo(current.handle, CURLINFO_RESPONSE_CODE, &status);
        result.response.status = static_cast<int>(status);
        result.delivery = http_delivery::answered;
        return;
    }
    result.problem = curl_easy_strerror(code);
    // The time of the connect stays zero until a connection stands. Only a
    // fresh connection proves anything: a reused one may have carried the
    // request before libcurl gave it up and dialled again.
    curl_off_t connected = 0;
    curl_easy_getinfo(current.handle, CURLINFO_CONNECT_TIME_T, &connected);
    bool no_connection = code == CURLE_COULDNT_CONNECT ||
                         code == CURLE_URL_MALFORMAT ||
                         (code == CURLE_OPERATION_TIMEDOUT && connected == 0);
    bool not_sent = current.call.fresh_connection && no_connection;
    result.delivery =
        not_sent ? http_delivery::not_sent : http_delivery::in_doubt;
}

} // namespace

class http_client::impl
{
public:
    explicit impl(event_loop& loop)
        : loop(loop)
    {
        static bool const initialised =
            curl_global_init(CURL_GLOBAL_DEFAULT) == CURLE_OK;
        static_cast<void>(initialised);
        this->multi = curl_multi_init();
        curl_multi_setopt(
            this->multi, CURLMOPT_MAXCONNECTS, max_total_connections);
        this->thread = std::thread([this] { this->run(); });
    }

    ~impl()
    {
        this->stopping = true;
        curl_multi_wakeup(this->multi);
        this->thread.join();
        for (auto& entry : this->active)
        {
            curl_multi_remove_handle(this->multi, entry.first);
        }
        this->active.clear();
        curl_multi_cleanup(this->multi);
    }

    void send(http_call call, callback done)
    {
        auto current = std::make_unique<transfer>();
        current->call = std::move(call);
        current->done = std::move(done);
        {
            std::lock_guard lock(this->mutex);
            this->queued.push_back(std::move(current));
        }
        curl_multi_wakeup(this->multi);
    }

private:
    void run()
    {
        while (!this->stopping)
        {
            this->start_queued();
            int running = 0;
            curl_multi_perform(this->multi, &running);
            this->collect();
            curl_multi_poll(this->multi, nullptr, 0, poll_ms, nullptr);
        }
    }

    void start_queued()
    {
        std::deque<std::unique_ptr<transfer>> batch;
        {
            std::lock_guard lock(this->mutex);
            batch.swap(this->queued);
        }
        for (auto& next : batch)
        {
            prepare(*next);
            CURL* handle = next->handle;
            curl_multi_add_handle(this->multi, handle);
            this->active.emplace(handle, std::move(next));
        }
    }

    void collect()
    {
        int left = 0;
        while (CURLMsg* message = curl_multi_info_read(this->multi, &left))
        {
            if (message->msg != CURLMSG_DONE)
            {
                continue;
            }
            CURLcode code = message->data.result;
            auto found = this->active.find(message->easy_handle);
            std::shared_ptr<transfer> ended = std::move(found->second);
            this->active.erase(found);
            curl_multi_remove_handle(this->multi, ended->handle);
            conclude(*ended, code);
            this->loop.post([ended] { ended->done(std::move(ended->result)); });
        }
    }

    event_loop& loop;
    CURLM* multi = nullptr;
    std::atomic<bool> stopping = false;
    std::mutex mutex;
    std::deque<std::unique_ptr<transfer>> queued;
    // Invariant: exactly the handles that libcurl's multi handle holds.
    std::map<CURL*, std::unique_ptr<transfer>> active;
    std::thread thread;
};

http_client::http_client(event_loop& loop)
    : pimpl(std::make_unique<impl>(loop))
{
}

http_client::~http_client() = default;

void http_client::send(http_call call, callback done)
{
    this->pimpl->send(std::move(call), std::move(done));
}

} // namespace toucanlever
