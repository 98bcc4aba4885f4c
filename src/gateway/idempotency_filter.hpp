/// At most one execution per idempotency key.
///
/// The key's row in the table service is claimed before anything is sent.
/// Afterwards the row stores the answer, or is released when the request
/// provably did not run, or stays claimed: then no request with this key runs
/// again, and a caller that repeats it is told that the outcome is unknown.
#pragma once

#include "toucanlever/gateway/request_filter.hpp"
#include "toucanlever/gateway/scheduler_pool.hpp"

namespace toucanlever
{

/// Applies to services only; a job's key is claimed when the job is accepted.
class idempotency_filter final : public request_filter
{
public:
    idempotency_filter(event_loop& loop, scheduler_pool& schedulers,
        gateway_settings const& settings)
        : loop(loop)
        , schedulers(schedulers)
        , settings(settings)
    {
    }

    void apply(context_ptr const& context,
        std::function<void()> const& proceed) override;

private:
    void claim(context_ptr const& context, std::function<void()> proceed,
        time_point deadline);
    void on_claim(context_ptr const& context,
        std::function<void()> const& proceed, time_point deadline,
        claim_reply const& reply);
    void record_answer(
        request_context const& context, http_response const& response);
    void send_record(claim_request const& request, int attempts);

    event_loop& loop;
    scheduler_pool& schedulers;
    gateway_settings const& settings;
};

} // namespace toucanlever
