#include "gateway/entry_filters.hpp"

#include "toucanlever/core/metrics.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

constexpr std::size_t max_key_bytes = 200;
std::string const services_prefix = "/v1/services/";
std::string const bearer = "Bearer ";

bool is_printable(std::string const& text)
{
    return std::all_of(text.begin(), text.end(),
        [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

void parse_service(request_context& context)
{
    std::string const& path = context.request.path;
    if (path.compare(0, services_prefix.size(), services_prefix) != 0)
    {
        return;
    }
    std::string rest = path.substr(services_prefix.size());
    auto slash = rest.find('/');
    context.service = rest.substr(0, slash);
    context.service_path =
        slash == std::string::npos ? "/" : rest.substr(slash);
    if (context.service.empty())
    {
        throw error(error_code::not_found, "no service named", "parse");
    }
}

} // namespace

void parse_filter::apply(
    context_ptr const& context, std::function<void()> const& proceed)
{
    metrics().count("requests");
    std::string const& path = context->request.path;
    if (!is_printable(path) || path.find("..") != std::string::npos)
    {
        throw error(error_code::bad_request,
            "the path holds characters that are not allowed", "parse");
    }
    context->key =
        find_field(context->request.headers, "Idempotency-Key").value_or("");
    if (context->key.size() > max_key_bytes || !is_printable(context->key) ||
        context->key.find('/') != std::string::npos)
    {
        throw error(error_code::bad_request,
            "Idempotency-Key: expected up to 200 printable characters "
            "without spaces and slashes",
            "parse");
    }
    parse_service(*context);
    proceed();
}

void authenticate_filter::apply(
    context_ptr const& context, std::function<void()> const& proceed)
{
    if (!this->schedulers.is_ready())
    {
        throw error(error_code::unavailable,
            "the configuration is not known yet", "authenticate");
    }
    std::string header =
        find_field(context->request.headers, "Authorization").value_or("");
    if (header.compare(0, bearer.size(), bearer) != 0)
    {
        throw error(error_code::unauthenticated,
            "expected Authorization: Bearer TOKEN", "authenticate");
    }
    customer_config const* customer =
        this->schedulers.config().find_customer_by_token(
            header.substr(bearer.size()));
    if (customer == nullptr)
    {
        throw error(error_code::unauthenticated, "the token is not known",
            "authenticate");
    }
    context->customer = *customer;
    proceed();
}

void limit_filter::apply(
    context_ptr const& context, std::function<void()> const& proceed)
{
    std::string const& name = context->customer.name;
    std::int64_t& count = this->open_requests[name];
    if (count >= context->customer.max_open_requests)
    {
        metrics().count("requests_limited");
        throw error(
            error_code::limited, "too many requests in progress", "limits");
    }
    ++count;
    context->on_answer.push_back(
        [this, name](http_response const&) { --this->open_requests[name]; });
    proceed();
}

} // namespace toucanlever
