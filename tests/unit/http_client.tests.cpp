/// What the HTTP client, and the clients of workers, of the store and of the
/// external placement policy, conclude when a response is lost: the repetition
/// of the request, if there is one, is refused.
#include "toucanlever/http/client.hpp"

#include "advice_client.hpp"
#include "store_client.hpp"
#include "worker_client.hpp"

#include "toucanlever/platform/http_platform.hpp"
#include "toucanlever/platform/http_workers.hpp"

#include "loopback.hpp"
#include "unreliable_server.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <optional>

using namespace toucanlever;
using namespace toucanlever::strekbod;

namespace
{

/// A client with an idle connection to an `unreliable_server`: the next
/// request reuses that connection, and its response is lost.
class lost_response_fixture
{
public:
    explicit lost_response_fixture(
        later_connections later = later_connections::answered,
        int later_status = 503)
        : server(this->ip, port, later, later_status)
    {
        query_result first;
        http_query warm_up;
        warm_up.url = "http://" + this->address + "/";
        this->client.send(
            warm_up, [&first](query_result const& result) { first = result; });
        cr_assert(run_until(this->loop, [&first] { return first.answered; }));
        cr_assert(this->server.requests() == 1);
    }

    /// Calls `send` with a callback and returns what the callback gets.
    template <typename Result, typename Send>
    Result result_of(Send send)
    {
        std::optional<Result> got;
        send([&got](Result const& result) { got = result; });
        cr_assert(run_until(this->loop, [&got] { return got.has_value(); }));
        return *got;
    }

    command_result send_command()
    {
        http_command command;
        command.url = "http://" + this->address + "/";
        command.body = "{}";
        return this->result_of<command_result>([&](auto done)
            { this->client.send(std::move(command), std::move(done)); });
    }

    static constexpr std::uint16_t port = 7993;
    std::string const ip = own_ip(1);
    std::string const address = this->ip + ":" + std::to_string(port);
    worker_target const worker{"w", this->address};
    steady_clock time;
    event_loop loop{this->time};
    unreliable_server server;
    http_client client{this->loop};
};

/// Answers one request on one connection, and notes when the client closes it.
class single_connection_server
{
public:
    single_connection_server(std::string const& ip, std::uint16_t port)
        : listener(listen_on(ip, port))
        , thread([this] { this->serve(); })
    {
    }

    ~single_connection_server()
    {
        ::shutdown(this->listener, SHUT_RDWR);
        this->thread.join();
        ::close(this->listener);
    }

    single_connection_server(single_connection_server const&) = delete;
    single_connection_server& operator=(
        single_connection_server const&) = delete;

    bool is_closed() const { return this->closed; }

private:
    void serve()
    {
        int const connection = ::accept(this->listener, nullptr, nullptr);
        std::string_view const answer =
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        char received[1024];
        while (::recv(connection, received, sizeof received, 0) > 0)
        {
            ::send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
        }
        this->closed = true;
        ::close(connection);
    }

    int listener;
    std::atomic<bool> closed{false};
    std::thread thread;
};

start_order make_start()
{
    start_order order;
    order.task = {{"5c0e7a2100000001", 0, 0}, 0};
    order.run = 1;
    return order;
}

} // namespace

// Guards against an instance that no longer relays to a worker and shuts others
// out of it with the connections that it keeps.
Test(http_client, a_client_that_is_no_longer_used_closes_its_connections)
{
    std::string const ip = own_ip(3);
    constexpr std::uint16_t port = 7994;
    single_connection_server server(ip, port);
    steady_clock time;
    event_loop loop(time);
    http_client client(loop, std::chrono::seconds(1));
    http_query query;
    query.url = "http://" + ip + ":" + std::to_string(port) + "/";
    bool is_answered = false;
    client.send(query, [&is_answered](query_result const& result)
        { is_answered = result.succeeded(); });
    cr_assert(run_until(loop, [&is_answered] { return is_answered; }));
    cr_assert_not(server.is_closed());
    cr_assert(run_until(loop, [&server] { return server.is_closed(); }));
}

// Guards against a refusal of a repetition that hides that the first request
// was carried out.
Test(http_client, a_command_whose_response_is_lost_is_not_sent_again)
{
    lost_response_fixture fixture;
    command_result result = fixture.send_command();
    cr_assert(result.delivery == http_delivery::in_doubt);
    cr_assert(fixture.server.requests() == 2);
}

Test(http_client, a_command_lost_by_a_peer_that_stops_listening_is_in_doubt)
{
    lost_response_fixture fixture(later_connections::refused);
    command_result result = fixture.send_command();
    cr_assert(result.delivery == http_delivery::in_doubt);
    // The next one finds no connection to send it on.
    cr_assert(fixture.send_command().delivery == http_delivery::not_sent);
}

Test(http_client, a_repeatable_command_is_sent_again_and_only_success_counts)
{
    for (int status : {200, 409, 412, 429, 503})
    {
        lost_response_fixture fixture(later_connections::answered, status);
        http_repeatable_command command;
        command.url = "http://" + fixture.address + "/";
        auto result = fixture.result_of<command_result>([&](auto done)
            { fixture.client.send(std::move(command), std::move(done)); });
        cr_assert(fixture.server.requests() == 3);
        cr_assert(result.delivery == (status == 200 ? http_delivery::answered
                                                    : http_delivery::in_doubt));
    }
}

Test(http_client, a_query_whose_response_is_lost_is_sent_again)
{
    lost_response_fixture fixture;
    http_query query;
    query.url = "http://" + fixture.address + "/";
    auto result = fixture.result_of<query_result>([&](auto done)
        { fixture.client.send(std::move(query), std::move(done)); });
    cr_assert(result.answered);
    cr_assert(result.response.status == 503);
    cr_assert(fixture.server.requests() == 3);
}

// Guards against a task that is started on a second worker while the first
// one runs it.
Test(worker_client, a_start_whose_response_is_lost_is_in_doubt)
{
    lost_response_fixture fixture;
    worker_client workers(fixture.client);
    auto result = fixture.result_of<order_result>([&](auto done)
        { workers.start(fixture.worker, make_start(), std::move(done)); });
    cr_assert(result.outcome == order_outcome::in_doubt);
    cr_assert(fixture.server.requests() == 3);
}

Test(worker_client, a_stop_whose_response_is_lost_is_in_doubt)
{
    lost_response_fixture fixture;
    worker_client workers(fixture.client);
    auto result = fixture.result_of<order_result>([&](auto done)
        { workers.stop(fixture.worker, stop_order{}, std::move(done)); });
    cr_assert(result.outcome == order_outcome::in_doubt);
    cr_assert(fixture.server.requests() == 3);
}

// A repetition could acknowledge completions of the next incarnation.
Test(worker_client, a_poll_whose_response_is_lost_is_not_sent_again)
{
    lost_response_fixture fixture;
    worker_client workers(fixture.client);
    auto result = fixture.result_of<watch_result>([&](auto done)
        { workers.watch(fixture.worker, watch_order{}, std::move(done)); });
    cr_assert(result.outcome == order_outcome::in_doubt);
    cr_assert(fixture.server.requests() == 2);
}

Test(advice_client, a_call_whose_repetition_is_refused_is_not_answered)
{
    lost_response_fixture fixture;
    advice_client advice(fixture.client, fixture.address);
    auto result = fixture.result_of<advice_result>(
        [&](auto done) {
            advice.request_advice({"a", 0, 0}, {"w"}, std::move(done));
        });
    cr_assert_not(result.answered);
    cr_assert(fixture.server.requests() == 3);
}

// Guards against a job that is refused and runs.
Test(store_client, a_transaction_whose_response_is_lost_is_in_doubt)
{
    for (later_connections later :
        {later_connections::answered, later_connections::refused})
    {
        lost_response_fixture fixture(later);
        store_client store(fixture.client, fixture.address);
        auto result = fixture.result_of<change_result>(
            [&](auto done) {
                store.commit(
                    record_change{}, milliseconds(1000), std::move(done));
            });
        cr_assert(result.outcome == change_outcome::in_doubt);
    }
}

Test(http_platform, a_transaction_whose_repetition_is_refused_is_in_doubt)
{
    lost_response_fixture fixture;
    http_platform platform(fixture.client, fixture.address, milliseconds(1000));
    auto result = fixture.result_of<commit_result>(
        [&](auto done) { platform.commit(transaction{}, std::move(done)); });
    cr_assert(result.outcome == commit_outcome::in_doubt);
    cr_assert(fixture.server.requests() == 3);
}

Test(http_workers, a_start_whose_repetition_is_refused_is_in_doubt)
{
    lost_response_fixture fixture;
    http_workers workers(fixture.client, milliseconds(1000));
    auto result = fixture.result_of<start_result>(
        [&](auto done) {
            workers.start(
                "http://" + fixture.address, task_start{}, std::move(done));
        });
    cr_assert(result.answer == worker_answer::in_doubt);
    cr_assert(fixture.server.requests() == 3);
}

// Guards against a job that is refused and runs.
Test(store_client, a_transaction_that_fails_with_no_promise_is_in_doubt)
{
    for (auto [status, outcome] : {std::pair(500, change_outcome::in_doubt),
             std::pair(502, change_outcome::in_doubt),
             std::pair(504, change_outcome::in_doubt),
             std::pair(503, change_outcome::not_done),
             std::pair(429, change_outcome::not_done)})
    {
        lost_response_fixture fixture(later_connections::answered, status);
        fixture.send_command();
        store_client store(fixture.client, fixture.address);
        auto result = fixture.result_of<change_result>(
            [&](auto done) {
                store.commit(
                    record_change{}, milliseconds(1000), std::move(done));
            });
        cr_assert(result.outcome == outcome, "status %d", status);
    }
}
