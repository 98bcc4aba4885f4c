/// The last filter for /v1/jobs: hands jobs to schedulers and asks about
/// them.
#pragma once

#include "toucanlever/gateway/request_filter.hpp"
#include "toucanlever/gateway/scheduler_pool.hpp"

namespace toucanlever
{

/// POST /v1/jobs, GET and DELETE /v1/jobs/{id}, GET /v1/jobs/{id}/result.
class job_api final : public request_filter
{
public:
    job_api(scheduler_pool& schedulers, gateway_settings const& settings)
        : schedulers(schedulers)
        , settings(settings)
    {
    }

    void apply(context_ptr const& context,
        std::function<void()> const& proceed) override;

private:
    void submit(context_ptr const& context);
    void handle_job_request(
        context_ptr const& context, std::string const& id, bool want_result);
    void forward(context_ptr const& context, message_type type,
        job_request const& request, std::string const& incarnation,
        bool want_result, int hops);

    scheduler_pool& schedulers;
    gateway_settings const& settings;
};

} // namespace toucanlever
