/// The last filter for services: picks a runner, sends it the request, and
/// returns the answer byte for byte.
///
/// A request is sent again only when it provably did not start, or when its
/// service is idempotent, and only within the retry budget.
#pragma once

#include "gateway/retry_budget.hpp"

#include "toucanlever/gateway/permit_holder.hpp"
#include "toucanlever/gateway/request_filter.hpp"
#include "toucanlever/gateway/scheduler_pool.hpp"
#include "toucanlever/http/client.hpp"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace toucanlever
{

/// Routes /v1/services/{service}/...
class runner_router final : public request_filter
{
public:
    runner_router(event_loop& loop, http_client& client,
        scheduler_pool& schedulers, gateway_settings const& settings);
    ~runner_router() override;

    void apply(context_ptr const& context,
        std::function<void()> const& proceed) override;

private:
    /// A request that waits for a permit or for its answer.
    struct routed_request
    {
        context_ptr context;
        service_config service;
        time_point deadline{};
        std::set<std::string> tried;
        int attempts = 0;
        /// True once an attempt may have reached a runner.
        bool may_have_run = false;
    };

    using routed_ptr = std::shared_ptr<routed_request>;

    std::vector<instance const*> candidates(
        routed_request const& request, bool in_own_domain) const;
    instance const* choose_runner(
        std::vector<instance const*> const& from, milliseconds span);
    bool try_send(routed_ptr const& request);
    bool try_send_to(
        routed_ptr const& request, std::vector<instance const*> const& from);
    void request_permits(std::vector<instance const*> const& from);
    void send(routed_ptr const& request, instance const& runner);
    void on_result(routed_ptr const& request, std::string const& runner,
        command_result const& result);
    void forward_response(routed_request& request, std::string const& runner,
        command_result const& result);
    void retry_or_fail(routed_ptr const& request, std::string const& runner,
        command_result const& result);
    void dispatch_waiting();
    bool is_avoided(std::string const& runner) const;

    event_loop& loop;
    http_client& client;
    scheduler_pool& schedulers;
    gateway_settings const& settings;
    permit_holder permits;
    retry_budget budget;
    std::minstd_rand random;
    // Requests that wait for a permit, by service, oldest first.
    std::map<std::string, std::deque<routed_ptr>> waiting;
    // Runners that refused a connection, and until when they are avoided.
    std::map<std::string, time_point> avoided_until;
    event_loop::timer_id timer = 0;
    // Set to false on destruction, for callbacks that outlive this object.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
