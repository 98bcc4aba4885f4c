#include "gateway/job_api.hpp"

#include "toucanlever/core/ids.hpp"
#include "toucanlever/core/log.hpp"

#include <charconv>

namespace toucanlever
{
namespace
{

constexpr std::int64_t max_wait_s = 60;
// Hand-overs that are followed to find who answers for a job.
constexpr int max_hops = 32;
std::string const jobs_path = "/v1/jobs";
std::string const result_suffix = "/result";

std::int64_t wait_ms_of(http_request const& request)
{
    auto text = find_field(request.query, "wait");
    if (!text)
    {
        return 0;
    }
    std::int64_t seconds = -1;
    auto [end, problem] =
        std::from_chars(text->data(), text->data() + text->size(), seconds);
    bool whole = problem == std::errc() && end == text->data() + text->size();
    if (!whole || seconds < 0 || seconds > max_wait_s)
    {
        throw error(error_code::bad_request,
            "wait: expected seconds from 0 to " + std::to_string(max_wait_s),
            "parse");
    }
    return seconds * 1000;
}

void answer_view(
    request_context& context, job_view const& view, bool want_result)
{
    if (!want_result)
    {
        context.answer(json_response(200, view_to_json(view)));
        return;
    }
    if (view.state != job_state::succeeded)
    {
        context.fail(error(error_code::conflict,
            "the job has no result: it is " + std::string(name_of(view.state)),
            "read-result"));
        return;
    }
    http_response response;
    response.headers.push_back({"Content-Type", "application/octet-stream"});
    response.body = view.result;
    context.answer(std::move(response));
}

} // namespace

void job_api::apply(
    context_ptr const& context, std::function<void()> const& proceed)
{
    http_request const& request = context->request;
    if (request.path == jobs_path && request.method == "POST")
    {
        this->submit(context);
        return;
    }
    std::string prefix = jobs_path + "/";
    if (request.path.compare(0, prefix.size(), prefix) != 0)
    {
        proceed();
        return;
    }
    std::string id = request.path.substr(prefix.size());
    bool want_result = id.size() > result_suffix.size() &&
                       id.compare(id.size() - result_suffix.size(),
                           result_suffix.size(), result_suffix) == 0;
    if (want_result)
    {
        id.resize(id.size() - result_suffix.size());
    }
    this->handle_job_request(context, id, want_result);
}

void job_api::submit(context_ptr const& context)
{
    submit_request submit;
    submit.key = context->key;
    submit.body_hash = stable_hash(context->request.body);
    submit.spec = parse_job_spec(context->request.body);
    submit.spec.customer = context->customer.name;
    rpc_client* scheduler = this->schedulers.pick();
    if (scheduler == nullptr)
    {
        throw error(
            error_code::unavailable, "no scheduler is ready", "hand-over");
    }
    if (this->settings.log_decisions)
    {
        log_line("hand-over")
            .with("request", context->id)
            .with("customer", submit.spec.customer)
            .with("kind", name_of(submit.spec.kind))
            .with("scheduler", scheduler->address())
            .with("reason", "less-queued-of-two");
    }
    scheduler->request(message_type::submit, pack(submit),
        this->settings.submit_timeout,
        [context, peer = scheduler->address()](rpc_result const& result)
        {
            try
            {
                auto reply =
                    result.as<submit_reply>(message_type::submit_reply, peer);
                log_line("job-accepted")
                    .with("request", context->id)
                    .with("job", reply.job_id)
                    .with("scheduler", peer)
                    .with("duplicate", reply.duplicate ? "yes" : "no")
                    .with("durable", reply.durable ? "yes" : "no");
                nlohmann::json json{{"id", reply.job_id},
                    {"duplicate", reply.duplicate}, {"durable", reply.durable}};
                context->answer(json_response(202, json.dump()));
            }
            catch (error const& problem)
            {
                context->fail(problem);
            }
        });
}

void job_api::handle_job_request(
    context_ptr const& context, std::string const& id, bool want_result)
{
    job_request request;
    request.job_id = id;
    request.customer =
        context->customer.is_operator ? "" : context->customer.name;
    std::string const& method = context->request.method;
    bool cancels = method == "DELETE" && !want_result;
    if (method != "GET" && !cancels)
    {
        throw error(error_code::bad_request, "expected GET or DELETE", "route");
    }
    request.wait_ms = wait_ms_of(context->request);
    std::string incarnation = incarnation_of_job(id);
    if (incarnation.empty())
    {
        throw error(error_code::not_found, "no such job: " + id, "find-job");
    }
    this->forward(context,
        cancels ? message_type::job_cancel : message_type::job_query, request,
        incarnation, want_result, 0);
}

void job_api::forward(context_ptr const& context, message_type type,
    job_request const& request, std::string const& incarnation,
    bool want_result, int hops)
{
    rpc_client* scheduler = this->schedulers.find_serving(incarnation);
    if (scheduler == nullptr || hops > max_hops)
    {
        throw error(error_code::unavailable,
            "the scheduler that answers for this job cannot be reached now",
            "find-job", incarnation, run_state::unknown);
    }
    auto timeout =
        this->settings.scheduler_timeout + milliseconds(request.wait_ms);
    scheduler->request(type, pack(request), timeout,
        [this, context, type, request, want_result, hops,
            peer = scheduler->address()](rpc_result const& result)
        {
            try
            {
                auto view = result.as<job_view>(message_type::job_reply, peer);
                if (view.moved_to.empty())
                {
                    answer_view(*context, view, want_result);
                    return;
                }
                this->forward(context, type, request, view.moved_to,
                    want_result, hops + 1);
            }
            catch (error const& problem)
            {
                bool asked_only = problem.code == error_code::timeout ||
                                  problem.code == error_code::unavailable;
                context->fail(
                    asked_only ? error(error_code::unavailable, problem.what(),
                                     problem.step, peer, run_state::unknown)
                               : problem);
            }
        });
}

} // namespace toucanlever
