#include "gateway/idempotency_filter.hpp"

#include "toucanlever/core/ids.hpp"
#include "toucanlever/core/log.hpp"
#include "toucanlever/core/metrics.hpp"

namespace toucanlever
{
namespace
{

// Interval at which a request polls for the recorded answer of an earlier
// request with the same key.
constexpr milliseconds poll_period{200};
// Added to the service's own time limit, for recording the answer.
constexpr milliseconds record_margin{2000};
constexpr milliseconds record_retry_interval{500};
constexpr int max_record_attempts = 20;
// A longer answer is recorded as status 409 without its body.
constexpr std::size_t max_recorded_bytes = 64U * 1024U;

std::uint64_t hash_of(request_context const& context)
{
    return stable_hash(context.request.method + " " + context.request.path +
                       "\n" + context.request.body);
}

http_response recorded_response(key_record const& record)
{
    http_response response;
    response.status = record.status;
    response.body = record.body;
    response.headers.push_back({"Content-Type", record.content_type});
    response.headers.push_back({"X-Toucan-Replayed", "yes"});
    return response;
}

} // namespace

void idempotency_filter::apply(
    context_ptr const& context, std::function<void()> const& proceed)
{
    if (context->service.empty())
    {
        proceed();
        return;
    }
    service_config const& service =
        this->schedulers.config().find_service(context->service, "idempotency");
    if (context->key.empty())
    {
        if (service.key_required)
        {
            throw error(error_code::bad_request,
                "this service requires an Idempotency-Key header",
                "idempotency");
        }
        proceed();
        return;
    }
    context->body_hash = hash_of(*context);
    context->claimant =
        this->settings.name + "." + random_token() + random_token();
    auto wait_limit = milliseconds(service.timeout_ms) + record_margin;
    this->claim(context, proceed, this->loop.now() + wait_limit);
}

void idempotency_filter::claim(context_ptr const& context,
    std::function<void()> proceed, time_point deadline)
{
    rpc_client* scheduler = this->schedulers.pick();
    if (scheduler == nullptr)
    {
        context->fail(error(
            error_code::unavailable, "no scheduler is ready", "claim-key"));
        return;
    }
    claim_request request;
    request.customer = context->customer.name;
    request.key = context->key;
    request.record.body_hash = context->body_hash;
    request.record.claimant = context->claimant;
    scheduler->request(message_type::claim, pack(request),
        this->settings.submit_timeout,
        [this, context, proceed, deadline, request,
            peer = scheduler->address()](rpc_result const& result)
        {
            try
            {
                this->on_claim(context, proceed, deadline,
                    result.as<claim_reply>(message_type::claim_reply, peer));
            }
            catch (error const& problem)
            {
                if (problem.ran == run_state::unknown)
                {
                    // The claim may be stored now or later, but this request
                    // is never sent to a runner: release the key for a retry.
                    claim_request release_request = request;
                    release_request.record.status = key_released;
                    this->send_record(release_request, 0);
                }
                context->fail(error(error_code::unavailable, problem.what(),
                    "claim-key", peer, run_state::no));
            }
        });
}

void idempotency_filter::on_claim(context_ptr const& context,
    std::function<void()> const& proceed, time_point deadline,
    claim_reply const& reply)
{
    if (reply.claimed)
    {
        context->holds_key = true;
        context->claim_version = reply.version;
        request_context const* raw = context.get();
        context->on_answer.push_back([this, raw](http_response const& response)
            { this->record_answer(*raw, response); });
        proceed();
        return;
    }
    if (reply.existing.body_hash != context->body_hash ||
        !reply.existing.job_id.empty())
    {
        context->fail(error(error_code::key_reused,
            "the key was already used for a different request", "claim-key"));
        return;
    }
    if (reply.existing.status > 0)
    {
        metrics().count("requests_replayed");
        context->answer(recorded_response(reply.existing));
        return;
    }
    if (this->loop.now() >= deadline)
    {
        context->fail(error(error_code::outcome_unknown,
            "an earlier request with this key was sent and its answer is "
            "not known",
            "await-recorded-answer", reply.existing.claimant,
            run_state::unknown));
        return;
    }
    this->loop.after(poll_period, [this, context, proceed, deadline]
        { this->claim(context, proceed, deadline); });
}

void idempotency_filter::record_answer(
    request_context const& context, http_response const& response)
{
    claim_request request;
    request.customer = context.customer.name;
    request.key = context.key;
    request.record.body_hash = context.body_hash;
    request.record.claimant = context.claimant;
    request.version = context.claim_version;
    std::string ran = find_field(response.headers, ran_header).value_or("");
    if (ran == "no")
    {
        request.record.status = key_released;
    }
    else if (ran == "unknown")
    {
        return;
    }
    else
    {
        request.record.status = response.status;
        request.record.content_type =
            find_field(response.headers, "Content-Type").value_or("");
        request.record.body = response.body;
        bool too_long = response.body.size() > max_recorded_bytes;
        if (too_long)
        {
            // A repeated request is told that the first one ran, but not with
            // which result.
            request.record.status = 409;
            request.record.body = "{\"code\":\"conflict\",\"message\":\"ran "
                                  "already; the answer was too long to keep\","
                                  "\"ran\":\"yes\"}";
        }
    }
    this->send_record(request, 0);
}

void idempotency_filter::send_record(claim_request const& request, int attempts)
{
    rpc_client* scheduler = this->schedulers.pick();
    auto retry = [this, request, attempts]
    {
        if (attempts + 1 < max_record_attempts)
        {
            this->loop.after(record_retry_interval, [this, request, attempts]
                { this->send_record(request, attempts + 1); });
            return;
        }
        log_line("answer-not-recorded")
            .with("customer", request.customer)
            .with("key", request.key);
    };
    if (scheduler == nullptr)
    {
        retry();
        return;
    }
    scheduler->request(message_type::claim_result, pack(request),
        this->settings.submit_timeout,
        [retry](rpc_result const& result)
        {
            if (result.problem)
            {
                retry();
            }
        });
}

} // namespace toucanlever
