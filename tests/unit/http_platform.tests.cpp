#include "toucanlever/platform/http_platform.hpp"

#include "toucanlever/http/server.hpp"
#include "toucanlever/platform/http_workers.hpp"

#include "loopback.hpp"
#include "trickling_server.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <thread>

using namespace toucanlever;

namespace
{

// Polls at intervals of 1 ms or more, so at least 20 s.
constexpr int max_polls = 20000;

/// Answers with a list of `instances` entries under the tag that a test sets.
class list_handler final : public http_handler
{
public:
    void on_request(
        http_request request, std::shared_ptr<http_exchange> exchange) override
    {
        http_response response;
        if (!this->fixed_body.empty())
        {
            response.status = this->status;
            response.body = this->fixed_body;
            exchange->answer(std::move(response));
            return;
        }
        if (!this->tag.empty())
        {
            response.headers.push_back({"ETag", this->tag});
        }
        bool known = find_field(request.headers, "If-None-Match") == this->tag;
        if (known && !this->tag.empty())
        {
            ++this->not_modified;
            response.status = 304;
            exchange->answer(std::move(response));
            return;
        }
        std::vector<instance> list(this->instances);
        response.body = nlohmann::json{{"instances", list}}.dump();
        exchange->answer(std::move(response));
    }

    std::size_t instances = 2;
    std::string tag = "\"one\"";
    /// Answers everything with this instead, when set.
    std::string fixed_body;
    int status = 200;
    int not_modified = 0;
};

class platform_fixture
{
public:
    platform_fixture()
        : server(this->loop, this->address, this->handler, http_limits{})
        , platform(this->client, this->address, milliseconds(5000))
    {
    }

    instance_list list()
    {
        instance_list got;
        bool answered = false;
        this->platform.list(
            [&got, &answered](instance_list const& fresh)
            {
                got = fresh;
                answered = true;
            });
        for (int i = 0; i < max_polls && !answered; ++i)
        {
            this->loop.run_ready();
            std::this_thread::sleep_for(milliseconds(1));
        }
        return got;
    }

    std::string const address = own_ip(1) + ":7990";
    steady_clock time;
    event_loop loop{this->time};
    list_handler handler;
    http_server server;
    http_client client{this->loop};
    http_platform platform;
};

/// A scan whose service sends its answer slowly, on a manual clock.
class slow_scan
{
public:
    explicit slow_scan(std::size_t bytes)
    {
        nlohmann::json row{
            {"key", "a"}, {"value", std::string(bytes, 'x')}, {"version", 7}};
        this->server.body =
            nlohmann::json{{"rows", nlohmann::json::array({row})}}.dump();
        this->platform.scan("a",
            [this](std::optional<std::vector<table_row>> const& found)
            {
                this->rows = found;
                this->ended = true;
            });
    }

    void run_for(milliseconds duration, std::size_t piece)
    {
        trickle(this->server, this->time, this->loop, duration, piece,
            [this] { return this->ended; });
    }

    std::string const ip = own_ip(1);
    manual_clock time;
    event_loop loop{this->time};
    trickling_server server{this->ip, 7989};
    http_client client{this->loop};
    http_platform platform{this->client, this->ip + ":7989", milliseconds(300)};
    std::optional<std::vector<table_row>> rows;
    bool ended = false;
};

} // namespace

Test(http_platform, returns_the_same_list_while_its_tag_is_unchanged)
{
    platform_fixture fixture;

    auto first = fixture.list();
    auto second = fixture.list();

    cr_assert(eq(sz, first->size(), 2));
    cr_assert(first == second);
    cr_assert(eq(int, fixture.handler.not_modified, 1));
}

Test(http_platform, reads_the_list_again_when_its_tag_has_changed)
{
    platform_fixture fixture;

    fixture.list();
    fixture.handler.tag = "\"two\"";
    fixture.handler.instances = 3;

    cr_assert(eq(sz, fixture.list()->size(), 3));
}

Test(http_platform, requests_the_complete_list_each_time_when_it_has_no_tag)
{
    platform_fixture fixture;
    fixture.handler.tag.clear();

    fixture.list();
    fixture.handler.instances = 3;

    cr_assert(eq(sz, fixture.list()->size(), 3));
}

namespace
{

/// Calls `send` with a callback and waits until the callback is called.
template <typename Result, typename Send>
Result answer_of(event_loop& loop, Send send)
{
    std::optional<Result> got;
    send([&got](Result const& result) { got = result; });
    for (int i = 0; i < max_polls && !got; ++i)
    {
        loop.run_ready();
        std::this_thread::sleep_for(milliseconds(1));
    }
    cr_assert(got.has_value());
    return *got;
}

char const* const malformed_bodies[] = {"", "nul", "7", "[]", "{}", "\xff\xfe",
    R"({"instances":7,"rows":7,"epoch":"x","tasks":{},"key":1})",
    R"({"instances":[{"id":5}],"rows":[7],"epoch":[],"tasks":[3],"key":{}})"};

} // namespace

Test(http_platform, treats_a_malformed_answer_as_no_answer)
{
    platform_fixture fixture;
    for (char const* body : malformed_bodies)
    {
        // An empty body is sent as one space: empty means that no fixed body
        // is set.
        fixture.handler.fixed_body = *body == '\0' ? " " : body;
        fixture.handler.status = 200;
        cr_assert(fixture.list() == nullptr, "%s", body);
        auto rows =
            answer_of<std::optional<std::vector<table_row>>>(fixture.loop,
                [&fixture](auto done) { fixture.platform.scan("p", done); });
        cr_assert(not rows.has_value(), "%s", body);
        fixture.handler.status = 409;
        auto commit = answer_of<commit_result>(fixture.loop,
            [&fixture](auto done) { fixture.platform.commit({}, done); });
        cr_assert(commit.outcome == commit_outcome::in_doubt, "%s", body);
    }
}

Test(http_workers, treats_a_malformed_answer_as_no_answer)
{
    platform_fixture fixture;
    http_workers workers(fixture.client, milliseconds(5000));
    std::string address = "http://" + fixture.address + "/w/w1";
    for (char const* body : malformed_bodies)
    {
        if (body == std::string("{}"))
        {
            continue;
        }
        fixture.handler.fixed_body = *body == '\0' ? " " : body;
        auto grant = answer_of<control_grant>(fixture.loop,
            [&](auto done) { workers.acquire(address, "s", 1000, done); });
        cr_assert(grant.answer == worker_answer::in_doubt, "%s", body);
        auto follow = answer_of<follow_result>(fixture.loop,
            [&](auto done) { workers.follow(address, {}, done); });
        cr_assert(follow.answer == worker_answer::in_doubt, "%s", body);
    }
}

Test(http_platform, is_silent_after_two_calls_without_an_answer_until_the_next)
{
    platform_fixture fixture;
    cr_assert(fixture.list() != nullptr);
    fixture.handler.fixed_body = "out of order";
    fixture.handler.status = 503;

    fixture.list();
    cr_assert(not fixture.platform.is_silent());
    fixture.list();
    cr_assert(fixture.platform.is_silent());

    fixture.handler.fixed_body.clear();
    fixture.list();
    cr_assert(not fixture.platform.is_silent());
}

Test(http_platform, reads_an_unknown_role_as_other)
{
    platform_fixture fixture;
    fixture.handler.fixed_body =
        R"({"instances":[{"id":"x","role":"archive"},{"id":"w","role":"worker"}]})";

    auto list = fixture.list();

    cr_assert(eq(sz, list->size(), 2));
    cr_assert(list->at(0).role == instance_role::other);
    cr_assert(list->at(1).role == instance_role::worker);
}

Test(http_platform, a_row_that_arrives_slowly_is_not_given_up_midway)
{
    constexpr std::size_t bytes = 300'000;
    slow_scan call(bytes);
    call.run_for(milliseconds(5000), 8000);
    cr_assert(call.rows.has_value());
    cr_assert(call.rows->at(0).value.size() == bytes);
    cr_assert(call.server.requests == 1);
}

Test(http_platform, a_scan_that_stops_in_the_middle_of_a_row_is_given_up)
{
    slow_scan call(300'000);
    call.run_for(milliseconds(500), 8000);
    cr_assert_not(call.ended);
    call.run_for(milliseconds(3000), 0);
    cr_assert(call.ended);
    cr_assert_not(call.rows.has_value());
}
