/// The client of the platform's store, against an HTTP server on loopback.
#include "store_client.hpp"

#include "base64.hpp"
#include "json_reader.hpp"
#include "loopback.hpp"
#include "trickling_server.hpp"

#include "toucanlever/cell/record_follower.hpp"
#include "toucanlever/http/server.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <set>
#include <thread>

using namespace toucanlever;
using namespace toucanlever::strekbod;

namespace
{

// Polls at intervals of 1 ms or more, so at least 5 s.
constexpr int max_polls = 5000;

/// Serves the rows of one table in pages of one row.
class table_handler final : public http_handler
{
public:
    void on_request(
        http_request request, std::shared_ptr<http_exchange> exchange) override
    {
        ++this->calls;
        std::string from = find_field(request.query, "From").value_or("");
        auto first = this->values.lower_bound(from);
        json rows = json::array();
        if (first != this->values.end())
        {
            rows.push_back({{"Table", "t"}, {"part", ""}, {"Key", first->first},
                {"RowVersion", 1}, {"Value", first->second}});
            ++first;
        }
        json body{{"rows", rows}, {"RowVersion", 1},
            {"HasMore", first != this->values.end()}};
        exchange->answer(json_response(200, body.dump()));
    }

    // Encoded values by key.
    std::map<std::string, std::string> values;
    int calls = 0;
};

class store_client_fixture
{
public:
    /// Waits until `done` returns true; false when it never does.
    template <typename Condition>
    bool wait_until(Condition done)
    {
        for (int i = 0; i < max_polls && !done(); ++i)
        {
            this->loop.run_ready();
            std::this_thread::sleep_for(milliseconds(1));
        }
        return done();
    }

    /// The keys of all readable rows.
    std::set<std::string> scan()
    {
        std::optional<std::set<std::string>> keys;
        record_scan scan(this->loop, this->store, "t", "",
            [&keys](std::vector<record> const& rows, std::int64_t)
            {
                keys.emplace();
                for (record const& row : rows)
                {
                    keys->insert(row.at.key);
                }
            });
        this->wait_until([this, &keys]
            { return keys.has_value() || this->handler.calls > 20; });
        return keys.value_or(std::set<std::string>{"not read"});
    }

    std::string const address = own_ip(1) + ":7991";
    steady_clock time;
    event_loop loop{this->time};
    table_handler handler;
    http_server server{this->loop, this->address, this->handler, http_limits{}};
    http_client client{this->loop};
    store_client store{this->client, this->address};
};

/// A client whose store sends its answers slowly, on a manual clock.
class slow_answer
{
public:
    explicit slow_answer(std::size_t bytes)
    {
        json row{{"Table", "t"}, {"part", ""}, {"Key", "a"}, {"RowVersion", 7},
            {"Value", encode_base64(std::string(bytes, 'x'))}};
        this->server.body =
            json{{"rows", json::array({row})}, {"RowVersion", 7}}.dump();
        this->store.changes("t", 0, milliseconds(0),
            [this](read_result const& read) { this->result = read; });
    }

    void run_for(milliseconds duration, std::size_t piece)
    {
        trickle(this->server, this->time, this->loop, duration, piece,
            [this] { return this->result.has_value(); });
    }

    std::string const ip = own_ip(1);
    manual_clock time;
    event_loop loop{this->time};
    trickling_server server{this->ip, 7992};
    http_client client{this->loop};
    store_client store{this->client, this->ip + ":7992"};
    std::optional<read_result> result;
};

} // namespace

Test(store_client, keys_with_odd_characters_do_not_keep_a_table_from_being_read)
{
    for (char const* odd : {"b c", "b#c", "b&Limit=1", "b%41", "b\r\nX: y",
             "b\xc3\xa9", "b+c", "b?c"})
    {
        store_client_fixture fixture;
        std::string const value = encode_base64("v");
        fixture.handler.values = {{"a", value}, {odd, value}, {"z", value}};
        std::set<std::string> const expected{"a", odd, "z"};
        cr_assert(fixture.scan() == expected, "key %s", odd);
    }
}

Test(store_client, an_unreadable_row_does_not_hide_the_rows_after_it)
{
    store_client_fixture fixture;
    std::string const value = encode_base64("v");
    fixture.handler.values = {{"a", value}, {"b", "===="}, {"c", value}};
    std::set<std::string> const expected{"a", "c"};
    cr_assert(fixture.scan() == expected);
}

Test(store_client, a_row_that_becomes_unreadable_counts_as_removed)
{
    store_client_fixture fixture;
    fixture.handler.values = {{"a", "YQ==\n"}};
    std::optional<read_result> result;
    fixture.store.changes("t", 0, milliseconds(0),
        [&result](read_result const& read) { result = read; });
    cr_assert(fixture.wait_until([&result] { return result.has_value(); }));
    cr_assert(result->rows.size() == 1U);
    cr_assert(result->rows[0].at.key == "a");
    cr_assert(result->rows[0].removed);
}

Test(store_client, a_row_that_arrives_slowly_is_not_read_from_its_start_again)
{
    constexpr std::size_t bytes = 300'000;
    slow_answer call(bytes);
    call.run_for(milliseconds(5000), 8000);
    cr_assert(call.result.has_value());
    cr_assert(call.result->outcome == read_outcome::answered);
    cr_assert(call.result->rows.at(0).value.size() == bytes);
    cr_assert(call.server.requests == 1);
}

Test(store_client, a_store_that_stops_in_the_middle_of_a_row_is_given_up)
{
    slow_answer call(300'000);
    call.run_for(milliseconds(500), 8000);
    cr_assert_not(call.result.has_value());
    call.run_for(milliseconds(3000), 0);
    cr_assert(call.result.has_value());
    cr_assert(call.result->outcome == read_outcome::failed);
}

Test(store_client, an_answer_that_arrived_while_the_process_was_paused_is_read)
{
    slow_answer call(300'000);
    call.run_for(milliseconds(500), 8000);
    call.server.send_piece(8000);
    call.time.advance(milliseconds(5000));
    call.run_for(milliseconds(5000), 8000);
    cr_assert(call.result.has_value());
    cr_assert(call.result->outcome == read_outcome::answered);
    cr_assert(call.server.requests == 1);
}
