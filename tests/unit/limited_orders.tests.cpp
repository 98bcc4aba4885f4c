/// The limit on orders in flight to one worker.
#include "toucanlever/cell/limited_orders.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#include <vector>

using namespace toucanlever;

namespace
{

/// Workers that answer when the test says so.
class slow_workers final : public worker_orders
{
public:
    void start(worker_target const&, start_order const& order,
        order_callback done) override
    {
        this->started.push_back(order.task.index);
        this->unanswered.push_back(std::move(done));
    }

    void stop(
        worker_target const&, stop_order const&, order_callback done) override
    {
        this->unanswered.push_back(std::move(done));
    }

    void watch(
        worker_target const&, watch_order const&, watch_callback) override
    {
        ++this->polls;
    }

    void answer_one()
    {
        order_callback done = std::move(this->unanswered.front());
        this->unanswered.erase(this->unanswered.begin());
        done({order_outcome::done, 1, {}});
    }

    std::vector<std::uint32_t> started;
    std::vector<order_callback> unanswered;
    int polls = 0;
};

class limit_fixture
{
public:
    void start(std::uint32_t index, std::string const& worker = "w")
    {
        start_order order;
        order.task = {{"a", 0, 0}, index};
        this->orders.start({worker, worker}, order,
            [this](order_result const& result)
            { this->outcomes.push_back(result.outcome); });
    }

    void run_for(milliseconds duration)
    {
        this->time.advance(duration);
        this->loop.run_ready();
    }

    manual_clock time;
    event_loop loop{this->time};
    slow_workers workers;
    std::size_t connection_limit = 64;
    limited_orders orders{
        this->loop, this->workers, [this] { return this->connection_limit; }};
    std::vector<order_outcome> outcomes;
};

} // namespace

// Guards against one instance that takes up all connections that a worker
// accepts, with the orders of one wide step.
Test(limited_orders, a_wide_step_uses_a_small_part_of_a_workers_connections)
{
    limit_fixture fixture;
    constexpr std::uint32_t tasks = 63;
    for (std::uint32_t i = 0; i < tasks; ++i)
    {
        fixture.start(i);
    }
    constexpr std::size_t expected = 3;
    cr_assert(fixture.workers.unanswered.size() == expected);
    while (!fixture.workers.unanswered.empty())
    {
        cr_assert(fixture.workers.unanswered.size() <= expected);
        fixture.workers.answer_one();
    }
    cr_assert(fixture.outcomes.size() == tasks);
    for (std::uint32_t i = 0; i < tasks; ++i)
    {
        cr_assert(fixture.workers.started[i] == i);
        cr_assert(fixture.outcomes[i] == order_outcome::done);
    }
}

Test(limited_orders, workers_have_limits_of_their_own_and_polls_do_not_wait)
{
    limit_fixture fixture;
    for (std::uint32_t i = 0; i < 9; ++i)
    {
        fixture.start(i, "a");
    }
    fixture.start(0, "b");
    cr_assert(fixture.workers.unanswered.size() == 4U);
    fixture.orders.watch({"a", "a"}, {}, [](watch_result const&) {});
    cr_assert(fixture.workers.polls == 1);
}

// Guards against orders that wait without end for a worker that answers none.
Test(limited_orders, an_order_that_waits_for_too_long_is_reported_once)
{
    limit_fixture fixture;
    for (std::uint32_t i = 0; i < 5; ++i)
    {
        fixture.start(i);
    }
    fixture.run_for(limited_orders::max_wait - milliseconds(1));
    cr_assert(fixture.outcomes.empty());
    fixture.run_for(milliseconds(2));
    cr_assert(fixture.outcomes.size() == 2U);
    cr_assert(fixture.outcomes.front() == order_outcome::not_sent);
    // The others are unanswered, and the two are not sent any more.
    while (!fixture.workers.unanswered.empty())
    {
        fixture.workers.answer_one();
    }
    cr_assert(fixture.workers.started.size() == 3U);
    cr_assert(fixture.outcomes.size() == 5U);
}

Test(limited_orders, the_share_follows_the_configured_limit)
{
    limit_fixture fixture;
    fixture.connection_limit = 160;
    cr_assert(fixture.orders.max_orders() == 9U);
    // One connection remains for polls, however low the limit is.
    fixture.connection_limit = 4;
    cr_assert(fixture.orders.max_orders() == 1U);
    fixture.connection_limit = 0;
    cr_assert(fixture.orders.max_orders() == 3U);
}
