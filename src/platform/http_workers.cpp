#include "toucanlever/platform/http_workers.hpp"

#include "platform/answer_reader.hpp"

namespace toucanlever
{
namespace
{

constexpr int http_conflict = 409;

/// An answer and its JSON body.
struct parsed_answer
{
    worker_answer answer = worker_answer::in_doubt;
    nlohmann::json body;
};

parsed_answer parse(command_result const& result)
{
    parsed_answer out;
    if (result.delivery != http_delivery::answered)
    {
        return out;
    }
    out.body = nlohmann::json::parse(result.response.body, nullptr, false);
    if (!out.body.is_object())
    {
        return out;
    }
    if (result.succeeded())
    {
        out.answer = worker_answer::accepted;
    }
    else if (result.response.status == http_conflict)
    {
        out.answer = worker_answer::refused;
    }
    return out;
}

control_grant grant_of(parsed_answer const& parsed)
{
    control_grant grant;
    grant.answer = parsed.answer;
    grant.epoch = parsed.body.value("epoch", std::int64_t(0));
    grant.token = parsed.body.value("token", std::int64_t(0));
    grant.incarnation = parsed.body.value("incarnation", std::string());
    grant.capacity = parsed.body.value("capacity", resources{});
    grant.used_by_others = parsed.body.value("foreign", resources{});
    grant.reason = parsed.body.value("reason", std::string());
    return grant;
}

control_grant to_grant(command_result const& result)
{
    parsed_answer parsed = parse(result);
    if (parsed.answer == worker_answer::in_doubt)
    {
        return {};
    }
    return read_answer("control-worker", control_grant{},
        [&parsed] { return grant_of(parsed); });
}

follow_result follow_of(parsed_answer const& parsed)
{
    follow_result out;
    out.answer = parsed.answer;
    out.incarnation = parsed.body.value("incarnation", std::string());
    out.token = parsed.body.value("token", std::int64_t(0));
    out.version = parsed.body.value("version", std::int64_t(0));
    out.changes_only = parsed.body.value("changes_only", false);
    out.tasks = parsed.body.value("tasks", std::vector<task_report>());
    return out;
}

follow_result to_follow(command_result const& result)
{
    parsed_answer parsed = parse(result);
    if (parsed.answer != worker_answer::accepted)
    {
        follow_result out;
        out.answer = parsed.answer;
        return out;
    }
    return read_answer("follow-worker", follow_result{},
        [&parsed] { return follow_of(parsed); });
}

start_result to_start(command_result const& result)
{
    parsed_answer parsed = parse(result);
    start_result out;
    out.answer = parsed.answer;
    if (parsed.answer == worker_answer::in_doubt)
    {
        return out;
    }
    return read_answer("start-task", start_result{},
        [&parsed, out]() mutable
        {
            out.reason = parsed.body.value("reason", std::string());
            return out;
        });
}

} // namespace

void http_workers::post(std::string const& url, nlohmann::json const& body,
    milliseconds extra_time, http_client::command_callback done)
{
    http_repeatable_command call;
    call.url = url;
    call.body = body.dump();
    call.timeout = this->timeout + extra_time;
    call.connect_timeout = this->timeout;
    this->client.send(std::move(call), std::move(done));
}

void http_workers::acquire(std::string const& base, std::string const& holder,
    std::int64_t lease_ms, std::function<void(control_grant)> done)
{
    nlohmann::json body{{"holder", holder}, {"lease_ms", lease_ms}};
    this->post(base + "/control/acquire", body, milliseconds(0),
        [done](command_result const& result) { done(to_grant(result)); });
}

void http_workers::renew(std::string const& base, std::string const& holder,
    std::int64_t epoch, std::int64_t token, std::int64_t lease_ms,
    std::function<void(control_grant)> done)
{
    nlohmann::json body{{"holder", holder}, {"epoch", epoch}, {"token", token},
        {"lease_ms", lease_ms}};
    this->post(base + "/control/renew", body, milliseconds(0),
        [done](command_result const& result) { done(to_grant(result)); });
}

void http_workers::release(
    std::string const& base, std::string const& holder, std::int64_t epoch)
{
    nlohmann::json body{{"holder", holder}, {"epoch", epoch}};
    this->post(base + "/control/release", body, milliseconds(0),
        [](command_result const&) {});
}

void http_workers::start(std::string const& base, task_start const& task,
    std::function<void(start_result)> done)
{
    this->post(base + "/tasks/start", task, milliseconds(0),
        [done](command_result const& result) { done(to_start(result)); });
}

void http_workers::stop(std::string const& base, std::string const& task,
    std::string const& owner, stop_kind how)
{
    nlohmann::json body{{"id", task}, {"owner", owner},
        {"checkpoint", how == stop_kind::at_checkpoint}};
    this->post(base + "/tasks/stop", body, milliseconds(0),
        [](command_result const&) {});
}

void http_workers::follow(std::string const& base,
    follow_request const& request, std::function<void(follow_result)> done)
{
    this->post(base + "/follow", request, milliseconds(request.wait_ms),
        [done](command_result const& result) { done(to_follow(result)); });
}

void http_workers::fence(std::string const& base,
    std::vector<std::string> const& owners, std::string const& successor,
    std::function<void(follow_result)> done)
{
    nlohmann::json body{{"owners", owners}, {"successor", successor}};
    this->post(base + "/owners/fence", body, milliseconds(0),
        [done](command_result const& result) { done(to_follow(result)); });
}

} // namespace toucanlever
