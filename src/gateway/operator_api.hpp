/// The last filter for /v1/operator: listings from all schedulers, presets
/// and configuration. Only for customers marked as operators.
#pragma once

#include "toucanlever/gateway/request_filter.hpp"
#include "toucanlever/gateway/scheduler_pool.hpp"

namespace toucanlever
{

/// GET /v1/operator/{members,workers,jobs,metrics,config,explain/JOB},
/// POST /v1/operator/{preset,config,drain}.
class operator_api final : public request_filter
{
public:
    operator_api(scheduler_pool& schedulers, gateway_settings const& settings)
        : schedulers(schedulers)
        , settings(settings)
    {
    }

    void apply(context_ptr const& context,
        std::function<void()> const& proceed) override;

private:
    void list_from_all(context_ptr const& context, std::string const& what);
    void explain(context_ptr const& context, std::string const& job);
    void show_config(request_context& context) const;
    void submit_change(context_ptr const& context);

    scheduler_pool& schedulers;
    gateway_settings const& settings;
};

} // namespace toucanlever
