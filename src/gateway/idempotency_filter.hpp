/// At most one execution per caller's key.
///
/// The key's row in the table service is taken before anything is sent. It
/// then holds the answer, is given back when the request provably did not
/// run, or stays taken: then nobody runs it again, and a caller who asks is
/// told that the outcome is unknown.
#pragma once

#include "toucanlever/gateway/request_filter.hpp"
#include "toucanlever/gateway/scheduler_pool.hpp"

namespace toucanlever
{

/// Only for services; jobs take their keys with their acceptance.
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
        time_point give_up);
    void on_claim(context_ptr const& context,
        std::function<void()> const& proceed, time_point give_up,
        claim_reply const& reply);
    void record_answer(
        request_context const& context, http_response const& response);
    void send_record(claim_request const& request, int attempts);

    event_loop& loop;
    scheduler_pool& schedulers;
    gateway_settings const& settings;
};

} // namespace toucanlever
