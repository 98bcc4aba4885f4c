/// Errors that a gateway returns before anything runs for the caller. A refusal
/// comes at once, carries the request id, and never claims that work ran.
#include "toucanlever/gateway/gateway.hpp"

#include "loopback.hpp"
#include "toucanlever/wire/rpc.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

char const* const config_yaml =
    "customers:\n"
    "  - {name: c, token: t, max_open_requests: 1}\n"
    "services:\n"
    "  - {name: booking}\n"
    "  - {name: payout, key_required: true}\n"
    "presets: [{name: ordinary}]\n";

/// A scheduler that is ready but never answers a submission.
class silent_scheduler final : public rpc_handler
{
public:
    void on_request(frame const& request, std::string const&,
        rpc_responder respond) override
    {
        if (request.type != message_type::state_request)
        {
            this->unanswered.push_back(std::move(respond));
            return;
        }
        state_reply reply;
        reply.state.incarnation = "a.s.1";
        reply.state.domain = "a";
        reply.state.ready = true;
        reply.config.revision = 1;
        reply.config.preset = "ordinary";
        reply.config.yaml = config_yaml;
        respond(message_type::state_reply, pack(reply));
    }

    std::vector<rpc_responder> unanswered;
};

class recorded_exchange final : public http_exchange
{
public:
    void answer(http_response response) override
    {
        this->response = std::move(response);
    }

    std::optional<http_response> response;
};

class gateway_fixture
{
public:
    gateway_fixture()
        : server(this->loop, own_ip(2) + ":7300", this->scheduler, rpc_timing{})
    {
        this->settings.name = "g";
        this->settings.domain = "a";
        this->settings.http_address = own_ip(1) + ":7400";
        this->settings.schedulers = {own_ip(2) + ":7300"};
        this->tested_gateway =
            std::make_unique<gateway>(this->loop, this->client, this->settings);
    }

    void advance(milliseconds span)
    {
        for (auto elapsed = milliseconds(0); elapsed < span;
             elapsed += milliseconds(50))
        {
            this->time.advance(milliseconds(50));
            this->loop.run_ready();
        }
    }

    std::shared_ptr<recorded_exchange> send(std::string const& method,
        std::string const& path, std::string const& body = "",
        http_fields headers = {{"Authorization", "Bearer t"}})
    {
        http_request request;
        request.method = method;
        request.path = path;
        request.body = body;
        request.headers = std::move(headers);
        auto exchange = std::make_shared<recorded_exchange>();
        this->tested_gateway->on_request(std::move(request), exchange);
        return exchange;
    }

    /// Sends a request and returns its answer, which must come at once and say
    /// that nothing ran.
    http_response send_refused(std::string const& method,
        std::string const& path, std::string const& body = "",
        http_fields headers = {{"Authorization", "Bearer t"}})
    {
        auto exchange = this->send(method, path, body, std::move(headers));
        cr_assert(exchange->response.has_value(), "%s", path.c_str());
        http_response response = *exchange->response;
        cr_assert(find_field(response.headers, ran_header) == "no");
        cr_assert(not find_field(response.headers, request_id_header)
                          .value_or("")
                          .empty());
        return response;
    }

    manual_clock time;
    event_loop loop{this->time};
    silent_scheduler scheduler;
    rpc_server server;
    http_client client{this->loop};
    gateway_settings settings;
    std::unique_ptr<gateway> tested_gateway;
};

} // namespace

Test(gateway, sends_retry_after_while_it_has_no_configuration)
{
    gateway_fixture fixture;

    http_response response = fixture.send_refused("POST", "/v1/jobs", "{}");

    cr_assert(eq(int, response.status, 503));
    cr_assert(find_field(response.headers, "Retry-After").has_value());
}

Test(gateway, refuses_callers_whose_token_is_missing_or_not_known)
{
    gateway_fixture fixture;
    fixture.advance(milliseconds(2000));

    cr_assert(eq(
        int, fixture.send_refused("POST", "/v1/jobs", "{}", {}).status, 401));
    for (char const* header : {"t", "Bearer", "Bearer ", "Bearer x", "Basic t"})
    {
        http_response response = fixture.send_refused(
            "POST", "/v1/jobs", "{}", {{"Authorization", header}});
        cr_assert(eq(int, response.status, 401), "%s", header);
    }
}

Test(gateway, refuses_unknown_services_jobs_and_paths)
{
    gateway_fixture fixture;
    fixture.advance(milliseconds(2000));

    cr_assert(eq(
        int, fixture.send_refused("POST", "/v1/services/none/x").status, 404));
    cr_assert(
        eq(int, fixture.send_refused("POST", "/v1/services/").status, 404));
    cr_assert(
        eq(int, fixture.send_refused("GET", "/v1/jobs/nonsense").status, 404));
    cr_assert(eq(int, fixture.send_refused("GET", "/nowhere").status, 404));
    cr_assert(
        eq(int, fixture.send_refused("GET", "/v1/operator/jobs").status, 401));
}

Test(gateway, refuses_bodies_and_keys_that_it_cannot_read)
{
    gateway_fixture fixture;
    fixture.advance(milliseconds(2000));

    for (char const* body : {"", "{", "\xff\xfe", R"({"kind":"none"})",
             R"({"cpu_millis":-1})", R"({"tasks":99999999999999999999})"})
    {
        http_response response = fixture.send_refused("POST", "/v1/jobs", body);
        cr_assert(eq(int, response.status, 400), "%s", body);
    }
    for (char const* key : {"two words", "a/b", "\x01"})
    {
        http_response response = fixture.send_refused("POST", "/v1/jobs", "{}",
            {{"Authorization", "Bearer t"}, {"Idempotency-Key", key}});
        cr_assert(eq(int, response.status, 400), "%s", key);
    }
    cr_assert(eq(int,
        fixture.send_refused("POST", "/v1/services/payout/x").status, 400));
}

Test(gateway, refuses_a_customer_at_its_limit_until_a_request_has_ended)
{
    gateway_fixture fixture;
    fixture.advance(milliseconds(2000));
    auto first = fixture.send("POST", "/v1/jobs", "{}");
    cr_assert(not first->response.has_value());

    http_response second = fixture.send_refused("POST", "/v1/jobs", "{}");
    cr_assert(eq(int, second.status, 429));
    cr_assert(find_field(second.headers, "Retry-After").has_value());

    fixture.advance(milliseconds(6000));
    cr_assert(first->response.has_value());
    cr_assert(not fixture.send("POST", "/v1/jobs", "{}")->response.has_value());
}

Test(gateway, reports_an_unanswered_submission_as_possibly_run)
{
    gateway_fixture fixture;
    fixture.advance(milliseconds(2000));
    auto exchange = fixture.send("POST", "/v1/jobs", "{}");

    fixture.advance(milliseconds(6000));

    cr_assert(exchange->response.has_value());
    cr_assert(exchange->response->status >= 500);
    cr_assert(find_field(exchange->response->headers, ran_header) == "unknown");
}
