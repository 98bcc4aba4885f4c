/// Workers over HTTP and JSON: POST to /control/acquire, /control/renew,
/// /control/release, /tasks/start, /tasks/stop, /follow and /owners/fence
/// below each worker's base URL. 200 accepts, 409 refuses with a reason; any
/// other answer leaves the outcome in doubt.
#pragma once

#include "toucanlever/http/client.hpp"
#include "toucanlever/platform/worker_service.hpp"

namespace toucanlever
{

/// Calls workers through one HTTP client.
class http_workers final : public worker_service
{
public:
    http_workers(http_client& client, milliseconds timeout)
        : client(client)
        , timeout(timeout)
    {
    }

    void acquire(std::string const& base, std::string const& holder,
        std::int64_t lease_ms,
        std::function<void(control_grant)> done) override;
    void renew(std::string const& base, std::string const& holder,
        std::int64_t epoch, std::int64_t token, std::int64_t lease_ms,
        std::function<void(control_grant)> done) override;
    void release(std::string const& base, std::string const& holder,
        std::int64_t epoch) override;
    void start(std::string const& base, task_start const& task,
        std::function<void(start_result)> done) override;
    void stop(std::string const& base, std::string const& task,
        std::string const& owner, stop_kind how) override;
    void follow(std::string const& base, follow_request const& request,
        std::function<void(follow_result)> done) override;
    void fence(std::string const& base, std::vector<std::string> const& owners,
        std::string const& successor,
        std::function<void(follow_result)> done) override;

private:
    void post(std::string const& url, nlohmann::json const& body,
        milliseconds extra_time, http_client::command_callback done);

    http_client& client;
    milliseconds timeout;
};

} // namespace toucanlever
