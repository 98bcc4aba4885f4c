#include "gateway/runner_router.hpp"

#include "toucanlever/core/ids.hpp"
#include "toucanlever/core/log.hpp"
#include "toucanlever/core/metrics.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

constexpr milliseconds dispatch_interval{50};
constexpr milliseconds avoid_after_refusal{1000};
// Wait for a slot in the own domain before other domains are tried.
constexpr milliseconds other_domains_after{300};
// Polls of another domain's schedulers in a row that may go unanswered before
// no request is sent there.
constexpr int max_unanswered_polls = 2;
// Permits for one runner that one permit request asks for.
constexpr std::uint32_t permits_per_request = 2;
// Runners for which permits are requested when one request finds no slot.
constexpr std::size_t runners_per_request = 4;
constexpr std::size_t max_waiting_per_service = 10000;

error not_run_error(error_code code, std::string const& message)
{
    return error(code, message, "route", {}, run_state::no);
}

bool is_forwarded(std::string const& name)
{
    static std::set<std::string> const dropped{"host", "connection",
        "content-length", "transfer-encoding", "authorization", "expect",
        "keep-alive", "upgrade", "te", "trailer", "x-customer", "x-request-id",
        "x-deadline-ms"};
    std::string lower = name;
    std::transform(lower.begin(), lower.end(), lower.begin(),
        [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return dropped.count(lower) == 0;
}

} // namespace

runner_router::runner_router(event_loop& loop, http_client& client,
    scheduler_pool& schedulers, gateway_settings const& settings)
    : loop(loop)
    , client(client)
    , schedulers(schedulers)
    , settings(settings)
    , permits(loop, schedulers, settings.name + "." + random_token())
    , budget(settings.retry_percent)
    , random(std::random_device{}())
{
    this->permits.on_granted([this] { this->dispatch_waiting(); });
    this->timer =
        loop.every(dispatch_interval, [this] { this->dispatch_waiting(); });
}

runner_router::~runner_router()
{
    *this->alive = false;
    this->loop.cancel(this->timer);
}

void runner_router::apply(
    context_ptr const& context, std::function<void()> const& proceed)
{
    if (context->service.empty())
    {
        proceed();
        return;
    }
    service_config const& service =
        this->schedulers.config().find_service(context->service, "route");
    auto request = std::make_shared<routed_request>();
    request->context = context;
    request->service = service;
    request->deadline = this->loop.now() + milliseconds(service.timeout_ms);
    this->budget.on_request();
    if (this->try_send(request))
    {
        return;
    }
    auto& queue = this->waiting[context->service];
    if (queue.size() >= max_waiting_per_service)
    {
        throw not_run_error(error_code::limited,
            "too many requests are waiting for this service");
    }
    queue.push_back(request);
}

bool runner_router::is_avoided(std::string const& runner) const
{
    auto found = this->avoided_until.find(runner);
    return found != this->avoided_until.end() &&
           this->loop.now() < found->second;
}

std::vector<instance const*> runner_router::candidates(
    routed_request const& request, bool in_own_domain) const
{
    // A domain that has not answered since the request arrived, or lately, may
    // be on the other side of a network partition: a request sent there is lost
    // without an error.
    auto max_age = this->settings.heartbeat * max_unanswered_polls;
    auto since = std::max(request.context->arrived, this->loop.now() - max_age);
    std::vector<instance const*> list;
    for (instance const& each : this->schedulers.endpoints())
    {
        bool fits = each.role == instance_role::runner && !each.leaving &&
                    each.service == request.service.name &&
                    (each.domain == this->settings.domain) == in_own_domain &&
                    request.tried.count(each.id) == 0 &&
                    !this->is_avoided(each.id);
        bool reachable = in_own_domain || this->schedulers.has_answered_since(
                                              each.domain, since);
        if (fits && reachable)
        {
            list.push_back(&each);
        }
    }
    return list;
}

instance const* runner_router::choose_runner(
    std::vector<instance const*> const& from, milliseconds span)
{
    std::vector<instance const*> usable;
    for (instance const* each : from)
    {
        if (this->permits.available(each->id, span) > 0)
        {
            usable.push_back(each);
        }
    }
    if (usable.empty())
    {
        return nullptr;
    }
    std::uniform_int_distribution<std::size_t> random_index(
        0, usable.size() - 1);
    instance const* first = usable[random_index(this->random)];
    instance const* second = usable[random_index(this->random)];
    return this->permits.in_use(first->id) <= this->permits.in_use(second->id)
               ? first
               : second;
}

void runner_router::request_permits(std::vector<instance const*> const& from)
{
    if (from.empty())
    {
        return;
    }
    std::uniform_int_distribution<std::size_t> random_index(0, from.size() - 1);
    std::size_t start = random_index(this->random);
    std::size_t count = std::min(runners_per_request, from.size());
    for (std::size_t i = 0; i < count; ++i)
    {
        this->permits.request_permits(
            *from[(start + i) % from.size()], permits_per_request);
    }
}

bool runner_router::try_send(routed_ptr const& request)
{
    auto own_runners = this->candidates(*request, true);
    if (this->try_send_to(request, own_runners))
    {
        return true;
    }
    // Other domains' runners are used only after the own ones have had no free
    // capacity for some time: a request sent across a network partition is lost
    // without an error.
    auto waited = this->loop.now() - request->context->arrived;
    this->request_permits(own_runners);
    if (!own_runners.empty() && waited < other_domains_after)
    {
        return false;
    }
    auto other_runners = this->candidates(*request, false);
    if (this->try_send_to(request, other_runners))
    {
        return true;
    }
    this->request_permits(other_runners);
    return false;
}

bool runner_router::try_send_to(
    routed_ptr const& request, std::vector<instance const*> const& from)
{
    instance const* runner =
        this->choose_runner(from, milliseconds(request->service.timeout_ms));
    if (runner == nullptr)
    {
        return false;
    }
    this->send(request, *runner);
    return true;
}

void runner_router::send(routed_ptr const& request, instance const& runner)
{
    http_request const& original = request->context->request;
    // Also for services that are idempotent: the router itself retries, on
    // another runner.
    http_command call;
    call.method = original.method;
    call.url = runner.address + request->context->service_path;
    for (http_field const& field : original.headers)
    {
        if (is_forwarded(field.name))
        {
            call.headers.push_back(field);
        }
    }
    call.headers.push_back({"X-Customer", request->context->customer.name});
    call.headers.push_back({request_id_header, request->context->id});
    call.headers.push_back(
        {"X-Deadline-Ms", std::to_string(request->service.timeout_ms)});
    call.body = original.body;
    call.timeout = milliseconds(request->service.timeout_ms);
    call.connect_timeout = this->settings.connect_timeout;
    ++request->attempts;
    this->permits.take_permit(runner.id);
    if (this->settings.log_decisions)
    {
        auto spent = this->loop.now() - request->context->arrived;
        log_line("routing")
            .with("request", request->context->id)
            .with("customer", request->context->customer.name)
            .with("service", request->service.name)
            .with("runner", runner.id)
            .with("domain", runner.domain)
            .with("attempt", request->attempts)
            .with("in_use", this->permits.in_use(runner.id))
            .with("reason", "least-outstanding-of-two")
            .with("spent_us", spent.count());
    }
    auto still_alive = this->alive;
    this->client.send(std::move(call),
        [this, still_alive, request, id = runner.id](
            command_result const& result)
        {
            if (*still_alive)
            {
                this->on_result(request, id, result);
            }
        });
}

void runner_router::on_result(routed_ptr const& request,
    std::string const& runner, command_result const& result)
{
    if (result.delivery == http_delivery::in_doubt)
    {
        // The runner may work on the request until its time limit.
        auto still_alive = this->alive;
        this->loop.after(milliseconds(request->service.timeout_ms),
            [this, still_alive, runner]
            {
                if (*still_alive)
                {
                    this->permits.return_permit(runner);
                }
            });
    }
    else
    {
        this->permits.return_permit(runner);
    }
    if (result.delivery == http_delivery::answered)
    {
        this->forward_response(*request, runner, result);
    }
    else
    {
        this->retry_or_fail(request, runner, result);
    }
    this->dispatch_waiting();
}

void runner_router::forward_response(routed_request& request,
    std::string const& runner, command_result const& result)
{
    auto spent = this->loop.now() - request.context->arrived;
    metrics().observe("request_us", spent.count());
    http_response response;
    response.status = result.response.status;
    response.body = result.response.body;
    auto type = find_field(result.response.headers, "Content-Type");
    if (type)
    {
        response.headers.push_back({"Content-Type", *type});
    }
    response.headers.push_back({"X-Toucan-Runner", runner});
    request.context->answer(std::move(response));
}

void runner_router::retry_or_fail(routed_ptr const& request,
    std::string const& runner, command_result const& result)
{
    bool not_sent = result.delivery == http_delivery::not_sent;
    log_line("request-not-answered")
        .with("request", request->context->id)
        .with("runner", runner)
        .with("sent", not_sent ? "no" : "maybe")
        .with("reason", result.problem);
    if (not_sent)
    {
        this->avoided_until[runner] = this->loop.now() + avoid_after_refusal;
    }
    request->may_have_run = request->may_have_run || !not_sent;
    bool safe = not_sent || request->service.idempotent;
    bool in_time = this->loop.now() < request->deadline;
    if (safe && in_time && this->budget.take_retry())
    {
        metrics().count("requests_retried");
        request->tried.insert(runner);
        if (!this->try_send(request))
        {
            this->waiting[request->service.name].push_back(request);
        }
        return;
    }
    request->context->fail(
        request->may_have_run
            ? error(error_code::outcome_unknown,
                  "the runner did not answer: " + result.problem,
                  "await-runner", runner, run_state::unknown)
            : error(error_code::unavailable, "the runner is unreachable",
                  "connect-runner", runner, run_state::no));
}

void runner_router::dispatch_waiting()
{
    auto now = this->loop.now();
    for (auto& entry : this->waiting)
    {
        auto& queue = entry.second;
        while (!queue.empty())
        {
            routed_ptr next = queue.front();
            if (now >= next->deadline)
            {
                queue.pop_front();
                next->context->fail(
                    next->may_have_run
                        ? error(error_code::outcome_unknown,
                              "the runner did not answer", "await-runner", {},
                              run_state::unknown)
                        : not_run_error(error_code::unavailable,
                              "no runner had a free slot in time"));
                continue;
            }
            queue.pop_front();
            if (!this->try_send(next))
            {
                queue.push_front(next);
                break;
            }
        }
    }
}

} // namespace toucanlever
