#include "toucanlever/gateway/gateway.hpp"

#include "gateway/entry_filters.hpp"
#include "gateway/idempotency_filter.hpp"
#include "gateway/job_api.hpp"
#include "gateway/operator_api.hpp"
#include "gateway/runner_router.hpp"
#include "toucanlever/core/ids.hpp"
#include "toucanlever/core/log.hpp"
#include "toucanlever/core/metrics.hpp"

namespace toucanlever
{
namespace
{

constexpr milliseconds leave_poll{50};
// The balancer needs this long to see /readyz and look elsewhere.
constexpr milliseconds accept_while_leaving{1000};
constexpr milliseconds longest_leave{70000};
// Bytes of a text that a caller chose; the longest valid key is this long.
constexpr std::size_t max_logged_text = 200;

http_response text_response(int status, std::string body)
{
    http_response response;
    response.status = status;
    response.headers.push_back({"Content-Type", "text/plain"});
    response.body = std::move(body);
    return response;
}

} // namespace

gateway::gateway(
    event_loop& loop, http_client& client, gateway_settings const& settings)
    : loop(loop)
    , name(settings.name)
    , schedulers(loop, settings)
{
    this->chain.add(std::make_unique<parse_filter>());
    this->chain.add(std::make_unique<authenticate_filter>(this->schedulers));
    this->chain.add(std::make_unique<limit_filter>());
    this->chain.add(
        std::make_unique<idempotency_filter>(loop, this->schedulers, settings));
    this->chain.add(std::make_unique<runner_router>(
        loop, client, this->schedulers, settings));
    this->chain.add(std::make_unique<job_api>(this->schedulers, settings));
    this->chain.add(std::make_unique<operator_api>(this->schedulers, settings));
    this->server = std::make_unique<http_server>(
        loop, settings.http_address, *this, settings.limits);
}

gateway::~gateway() = default;

void gateway::on_request(
    http_request request, std::shared_ptr<http_exchange> exchange)
{
    if (this->answer_probe(request, *exchange))
    {
        return;
    }
    auto context = std::make_shared<request_context>();
    context->id = this->name + "." + random_token() + random_token();
    context->request = std::move(request);
    context->exchange = std::move(exchange);
    context->arrived = this->loop.now();
    context->on_answer.push_back(
        [this, context = context.get()](http_response const& response)
        { this->log_failure(*context, response); });
    this->chain.run(context);
}

void gateway::log_failure(
    request_context const& context, http_response const& response) const
{
    if (!context.failure)
    {
        return;
    }
    error const& problem = *context.failure;
    auto age = std::chrono::duration_cast<milliseconds>(
        this->loop.now() - context.arrived);
    metrics().count("requests_failed");
    log_line("request-failed")
        .with("request", context.id)
        .with("customer", context.customer.name)
        .with("method", context.request.method)
        .with("path", context.request.path.substr(0, max_logged_text))
        .with("key", context.key.substr(0, max_logged_text))
        .with("status", response.status)
        .with("code", name_of(problem.code))
        .with("step", problem.step)
        .with("peer", problem.peer)
        .with("ran", name_of(problem.ran))
        .with("age_ms", age.count())
        .with("reason", problem.what());
}

bool gateway::answer_probe(http_request const& request, http_exchange& exchange)
{
    if (request.path == "/healthz")
    {
        exchange.answer(text_response(200, "ok\n"));
        return true;
    }
    if (request.path == "/readyz")
    {
        bool ready = this->schedulers.is_ready() && !this->shutting_down &&
                     this->schedulers.pick() != nullptr;
        exchange.answer(ready ? text_response(200, "ready\n")
                              : text_response(503, "not ready\n"));
        return true;
    }
    if (request.path == "/metrics")
    {
        exchange.answer(text_response(200, metrics().prometheus()));
        return true;
    }
    return false;
}

void gateway::shut_down(std::function<void()> done)
{
    if (this->shutting_down)
    {
        return;
    }
    this->shutting_down = true;
    log_line("gateway-leaving");
    this->accept_until = this->loop.now() + accept_while_leaving;
    this->shutdown_deadline = this->loop.now() + longest_leave;
    this->finish_shutdown(std::move(done));
}

void gateway::finish_shutdown(std::function<void()> done)
{
    auto now = this->loop.now();
    if (now >= this->accept_until)
    {
        this->server->stop_accepting();
    }
    bool idle = now >= this->accept_until && this->server->in_progress() == 0;
    if (idle || now >= this->shutdown_deadline)
    {
        done();
        return;
    }
    this->loop.after(leave_poll, [this, done] { this->finish_shutdown(done); });
}

} // namespace toucanlever
