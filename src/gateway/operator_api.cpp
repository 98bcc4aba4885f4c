#include "gateway/operator_api.hpp"

#include "toucanlever/core/ids.hpp"
#include "toucanlever/core/job.hpp"

namespace toucanlever
{
namespace
{

std::string const prefix = "/v1/operator/";
std::string const explain_prefix = "explain/";

/// The answers of several schedulers, collected for one response. `silent`
/// lists the schedulers that did not answer or answered with an error.
struct collected_answers
{
    std::size_t awaited = 0;
    nlohmann::json items = nlohmann::json::array();
    nlohmann::json silent = nlohmann::json::array();
};

std::string string_at(nlohmann::json const& json, char const* key)
{
    if (!json.contains(key))
    {
        return {};
    }
    if (!json[key].is_string())
    {
        throw error(error_code::bad_request,
            std::string(key) + ": expected a string", "parse");
    }
    return json[key].get<std::string>();
}

/// Answers with one scheduler's reply.
void answer_with_reply(
    request_context& context, rpc_result const& result, std::string const& peer)
{
    try
    {
        auto reply =
            result.as<operator_reply>(message_type::operator_reply, peer);
        context.answer(json_response(200, reply.json));
    }
    catch (error const& problem)
    {
        context.fail(problem);
    }
}

} // namespace

void operator_api::apply(
    context_ptr const& context, std::function<void()> const& proceed)
{
    http_request const& request = context->request;
    if (request.path.compare(0, prefix.size(), prefix) != 0)
    {
        proceed();
        return;
    }
    if (!context->customer.is_operator)
    {
        throw error(error_code::unauthenticated,
            "only operators may use this path", "authorise");
    }
    std::string what = request.path.substr(prefix.size());
    bool changes = what == "preset" || what == "config" || what == "drain";
    if (request.method == "POST" && changes)
    {
        this->submit_change(context);
        return;
    }
    if (request.method != "GET")
    {
        throw error(error_code::bad_request, "expected GET", "route");
    }
    if (what == "config")
    {
        this->show_config(*context);
        return;
    }
    if (what.compare(0, explain_prefix.size(), explain_prefix) == 0)
    {
        this->explain(context, what.substr(explain_prefix.size()));
        return;
    }
    this->list_from_all(context, what);
}

void operator_api::list_from_all(
    context_ptr const& context, std::string const& what)
{
    auto state = std::make_shared<collected_answers>();
    auto connected = this->schedulers.connected_schedulers();
    state->awaited = connected.size();
    if (connected.empty())
    {
        throw error(
            error_code::unavailable, "no scheduler is connected", "list");
    }
    for (rpc_client* scheduler : connected)
    {
        scheduler->request(message_type::operator_query,
            pack(operator_query{what, ""}), this->settings.scheduler_timeout,
            [context, state, peer = scheduler->address()](
                rpc_result const& result)
            {
                try
                {
                    auto reply = result.as<operator_reply>(
                        message_type::operator_reply, peer);
                    auto parsed = nlohmann::json::parse(reply.json);
                    if (parsed.is_array())
                    {
                        state->items.insert(
                            state->items.end(), parsed.begin(), parsed.end());
                    }
                    else
                    {
                        state->items.push_back(parsed);
                    }
                }
                catch (error const& problem)
                {
                    if (problem.code == error_code::not_found)
                    {
                        context->fail(problem);
                    }
                    state->silent.push_back(peer);
                }
                if (--state->awaited == 0)
                {
                    nlohmann::json body{
                        {"items", state->items}, {"silent", state->silent}};
                    context->answer(json_response(200, body.dump()));
                }
            });
    }
}

void operator_api::explain(context_ptr const& context, std::string const& job)
{
    rpc_client* scheduler =
        this->schedulers.find_serving(incarnation_of_job(job));
    if (scheduler == nullptr)
    {
        throw error(error_code::unavailable,
            "the scheduler responsible for this job is unreachable", "find-job",
            job, run_state::unknown);
    }
    scheduler->request(message_type::operator_query,
        pack(operator_query{"explain", job}), this->settings.scheduler_timeout,
        [context, peer = scheduler->address()](rpc_result const& result)
        { answer_with_reply(*context, result, peer); });
}

void operator_api::show_config(request_context& context) const
{
    config_snapshot const& snapshot = this->schedulers.snapshot();
    nlohmann::json body{{"revision", snapshot.revision},
        {"preset", snapshot.preset}, {"author", snapshot.author},
        {"change_id", snapshot.change_id}, {"yaml", snapshot.yaml},
        {"drained", snapshot.drained}};
    nlohmann::json names = nlohmann::json::array();
    for (auto const& entry : this->schedulers.config().presets)
    {
        names.push_back(entry.first);
    }
    body["presets"] = names;
    context.answer(json_response(200, body.dump()));
}

void operator_api::submit_change(context_ptr const& context)
{
    nlohmann::json json = parse_json(context->request.body, "parse-change");
    if (!json.is_object())
    {
        throw error(error_code::bad_request,
            "request body: expected a JSON object", "parse");
    }
    config_change change;
    change.author = context->customer.name;
    std::string given_author = string_at(json, "author");
    if (!given_author.empty())
    {
        change.author += "/" + given_author;
    }
    change.change_id = string_at(json, "change_id");
    if (change.change_id.empty())
    {
        change.change_id = random_token() + random_token();
    }
    change.preset = string_at(json, "preset");
    change.yaml = string_at(json, "yaml");
    change.drain = string_at(json, "drain");
    change.undrain = string_at(json, "undrain");
    bool base_given = json.contains("base_revision") &&
                      json["base_revision"].is_number_integer();
    change.base_revision = base_given
                               ? json["base_revision"].get<std::int64_t>()
                               : this->schedulers.snapshot().revision;
    bool empty = change.preset.empty() && change.yaml.empty() &&
                 change.drain.empty() && change.undrain.empty();
    if (empty)
    {
        throw error(error_code::bad_request,
            "expected preset, yaml, drain or undrain", "parse");
    }
    rpc_client* scheduler = this->schedulers.pick();
    if (scheduler == nullptr)
    {
        throw error(error_code::unavailable, "no scheduler is ready", "change");
    }
    scheduler->request(message_type::config_change, pack(change),
        this->settings.submit_timeout,
        [context, peer = scheduler->address()](rpc_result const& result)
        { answer_with_reply(*context, result, peer); });
}

} // namespace toucanlever
