#include "toucanlever/gateway/request_filter.hpp"

#include <nlohmann/json.hpp>

namespace toucanlever
{
namespace
{

int status_of(error_code code)
{
    switch (code)
    {
    case error_code::bad_request:
        return 400;
    case error_code::unauthenticated:
        return 401;
    case error_code::not_found:
        return 404;
    case error_code::conflict:
        return 409;
    case error_code::key_reused:
    case error_code::rejected:
        return 422;
    case error_code::too_large:
        return 413;
    case error_code::timeout:
        return 504;
    case error_code::limited:
        return 429;
    case error_code::unavailable:
        return 503;
    case error_code::outcome_unknown:
        return 502;
    default:
        return 500;
    }
}

char const* const retry_after_s = "1";

} // namespace

http_response error_response(error const& problem)
{
    nlohmann::json body{{"code", name_of(problem.code)},
        {"message", problem.what()}, {"step", problem.step},
        {"peer", problem.peer}, {"ran", name_of(problem.ran)}};
    http_response response = json_response(status_of(problem.code),
        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    response.headers.push_back({ran_header, std::string(name_of(problem.ran))});
    if (response.status == 429 || response.status == 503)
    {
        response.headers.push_back({"Retry-After", retry_after_s});
    }
    return response;
}

void request_context::answer(http_response response)
{
    if (this->answered)
    {
        return;
    }
    this->answered = true;
    for (auto const& handler : this->on_answer)
    {
        handler(response);
    }
    response.headers.push_back({request_id_header, this->id});
    this->exchange->answer(std::move(response));
}

void request_context::fail(error const& problem)
{
    if (!this->answered)
    {
        this->failure = problem;
    }
    this->answer(error_response(problem));
}

void filter_chain::add(std::unique_ptr<request_filter> filter)
{
    this->filters.push_back(std::move(filter));
}

void filter_chain::run(context_ptr const& context) const
{
    this->step(context, 0);
}

void filter_chain::step(context_ptr const& context, std::size_t index) const
{
    if (index == this->filters.size())
    {
        context->fail(
            error(error_code::not_found, "no resource has this path", "route"));
        return;
    }
    try
    {
        this->filters[index]->apply(context,
            [this, context, index] { this->step(context, index + 1); });
    }
    catch (error const& problem)
    {
        context->fail(problem);
    }
}

} // namespace toucanlever
