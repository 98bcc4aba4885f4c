/// One gateway: HTTP in front, the filter chain, and what lies behind it.
#pragma once

#include "toucanlever/gateway/gateway_settings.hpp"
#include "toucanlever/gateway/request_filter.hpp"
#include "toucanlever/gateway/scheduler_pool.hpp"
#include "toucanlever/http/client.hpp"

#include <functional>
#include <memory>

namespace toucanlever
{

/// Holds nothing but requests in progress.
class gateway final : public http_handler
{
public:
    gateway(event_loop& loop, http_client& client,
        gateway_settings const& settings);
    ~gateway() override;

    void on_request(
        http_request request, std::shared_ptr<http_exchange> exchange) override;

    /// A planned stop: /readyz turns to 503 so that the balancer looks
    /// elsewhere, requests in progress end, then `done` is called.
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
