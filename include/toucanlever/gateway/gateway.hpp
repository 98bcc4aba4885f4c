/// A gateway: HTTP server, filter chain and links to the schedulers.
#pragma once

#include "toucanlever/gateway/gateway_settings.hpp"
#include "toucanlever/gateway/request_filter.hpp"
#include "toucanlever/gateway/scheduler_pool.hpp"
#include "toucanlever/http/client.hpp"

#include <functional>
#include <memory>

namespace toucanlever
{

/// Holds the requests in progress and state fetched from the schedulers;
/// stores nothing durably.
class gateway final : public http_handler
{
public:
    gateway(event_loop& loop, http_client& client,
        gateway_settings const& settings);
    ~gateway() override;

    void on_request(
        http_request request, std::shared_ptr<http_exchange> exchange) override;

    /// Shuts down gracefully: /readyz answers 503 so that the load balancer
    /// stops sending requests, requests in progress complete, then `done` is
    /// called, after 70 seconds at the latest.
    void shut_down(std::function<void()> done);

private:
    bool answer_probe(http_request const& request, http_exchange& exchange);
    void finish_shutdown(std::function<void()> done);
    void log_failure(
        request_context const& context, http_response const& response) const;

    event_loop& loop;
    std::string name;
    scheduler_pool schedulers;
    filter_chain chain;
    std::unique_ptr<http_server> server;
    bool shutting_down = false;
    time_point shutdown_deadline{};
    time_point accept_until{};
};

} // namespace toucanlever
