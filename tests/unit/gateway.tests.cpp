/// What callers get from a gateway before anything is run for them: refusals
/// say so at once, name the request, and never claim that work ran.
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

/// A scheduler that is ready and never answers a submission.
class silent_scheduler final : public rpc_handler
{
public:
    void on_request(frame const& request, std::string const&,
        rpc_responder respond) override
    {
        if (request.type != message_type::state_request)
        {
            this->held.push_back(std::move(respond));
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

    std::vector<rpc_responder> held;
};

class caught_exchange final : public http_exchange
{
public:
    void answer(http_response response) override
    {
        this->response = std::move(response);
    }

    std::optional<http_response> response;
};

class gateway_bench
{
public:
    gateway_bench()
        : server(this->loop, own_ip(2) + ":7300", this->scheduler, rpc_timing{})
    {
        this->settings.name = "g";
        this->settings.domain = "a";
        this->settings.http_address = own_ip(1) + ":7400";
        this->settings.schedulers = {own_ip(2) + ":7300"};
        this->front =
            std::make_unique<gateway>(this->loop, this->client, this->settings);
    }

    void pass(milliseconds span)
    {
        for (auto done = milliseconds(0); done < span; done += milliseconds(50))
        {
            this->time.advance(milliseconds(50));
            this->loop.run_ready();
        }
    }

    std::shared_ptr<caught_exchange> send(std::string const& method,
        std::string const& path, std::string const& body = "",
        http_fields headers = {{"Authorization", "Bearer t"}})
    {
        http_request request;
        request.method = method;
        request.path = path;
        request.body = body;
        request.headers = std::move(headers);
        auto exchange = std::make_shared<caught_exchange>();
        this->front->on_request(std::move(request), exchange);
        return exchange;
    }

    /// The answer, which is expected at once, and says that nothing ran.
    http_response refused(std::string const& method, std::string const& path,
        std::string const& body = "",
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
    std::unique_ptr<gateway> front;
};

} // namespace

Test(gateway, says_when_to_come_back_while_it_knows_no_configuration)
{
    gateway_bench bench;

    http_response response = bench.refused("POST", "/v1/jobs", "{}");

    cr_assert(eq(int, response.status, 503));
    cr_assert(find_field(response.headers, "Retry-After").has_value());
}

Test(gateway, refuses_callers_whose_token_is_missing_or_not_known)
{
    gateway_bench bench;
    bench.pass(milliseconds(2000));

    cr_assert(eq(int, bench.refused("POST", "/v1/jobs", "{}", {}).status, 401));
    for (char const* header : {"t", "Bearer", "Bearer ", "Bearer x", "Basic t"})
    {
        http_response response = bench.refused(
            "POST", "/v1/jobs", "{}", {{"Authorization", header}});
        cr_assert(eq(int, response.status, 401), "%s", header);
    }
}

Test(gateway, refuses_what_it_does_not_know)
{
    gateway_bench bench;
    bench.pass(milliseconds(2000));

    cr_assert(
        eq(int, bench.refused("POST", "/v1/services/none/x").status, 404));
    cr_assert(eq(int, bench.refused("POST", "/v1/services/").status, 404));
    cr_assert(eq(int, bench.refused("GET", "/v1/jobs/nonsense").status, 404));
    cr_assert(eq(int, bench.refused("GET", "/nowhere").status, 404));
    cr_assert(eq(int, bench.refused("GET", "/v1/operator/jobs").status, 401));
}

Test(gateway, refuses_bodies_and_keys_that_it_cannot_read)
{
    gateway_bench bench;
    bench.pass(milliseconds(2000));

    for (char const* body : {"", "{", "\xff\xfe", R"({"kind":"none"})",
             R"({"cpu_millis":-1})", R"({"tasks":99999999999999999999})"})
    {
        http_response response = bench.refused("POST", "/v1/jobs", body);
        cr_assert(eq(int, response.status, 400), "%s", body);
    }
    for (char const* key : {"two words", "a/b", "\x01"})
    {
        http_response response = bench.refused("POST", "/v1/jobs", "{}",
            {{"Authorization", "Bearer t"}, {"Idempotency-Key", key}});
        cr_assert(eq(int, response.status, 400), "%s", key);
    }
    cr_assert(
        eq(int, bench.refused("POST", "/v1/services/payout/x").status, 400));
}

Test(gateway, refuses_a_customer_at_its_limit_until_a_request_has_ended)
{
    gateway_bench bench;
    bench.pass(milliseconds(2000));
    auto first = bench.send("POST", "/v1/jobs", "{}");
    cr_assert(not first->response.has_value());

    http_response second = bench.refused("POST", "/v1/jobs", "{}");
    cr_assert(eq(int, second.status, 429));
    cr_assert(find_field(second.headers, "Retry-After").has_value());

    bench.pass(milliseconds(6000));
    cr_assert(first->response.has_value());
    cr_assert(not bench.send("POST", "/v1/jobs", "{}")->response.has_value());
}

Test(gateway, does_not_say_not_run_of_a_submission_that_was_not_answered)
{
    gateway_bench bench;
    bench.pass(milliseconds(2000));
    auto exchange = bench.send("POST", "/v1/jobs", "{}");

    bench.pass(milliseconds(6000));

    cr_assert(exchange->response.has_value());
    cr_assert(exchange->response->status >= 500);
    cr_assert(find_field(exchange->response->headers, ran_header) == "unknown");
}
