/// Orders that are relayed by another instance, over real links on loopback.
#include "toucanlever/cell/relayed_orders.hpp"

#include "toucanlever/cell/order_relay.hpp"

#include "fake_workers.hpp"
#include "loopback.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

constexpr milliseconds connect_time{400};

/// An instance that relays orders, or drops them without a reply.
class relaying_instance final : public rpc_handler
{
public:
    relaying_instance(event_loop& loop, worker_orders& workers)
        : relay(loop, workers)
    {
    }

    void on_request(frame const& request, std::string const& peer,
        rpc_responder respond) override
    {
        ++this->requests;
        if (!this->drop_requests)
        {
            this->relay.handle_request(request, peer, std::move(respond));
        }
    }

    order_relay relay;
    int requests = 0;
    bool drop_requests = false;
};

/// An active scheduler that sends orders, and one other instance that relays
/// them.
class relay_fixture
{
public:
    /// The other instance has been up since then when its first hello arrives.
    explicit relay_fixture(milliseconds age = std::chrono::hours(1))
        : other_started_at(this->time.now() - age)
    {
        this->say_hello();
        this->run_for(connect_time);
    }

    void say_hello()
    {
        member_hello hello{"other", this->address};
        hello.up_ms = std::chrono::duration_cast<milliseconds>(
            this->time.now() - this->other_started_at)
                          .count();
        this->members.handle_hello(hello);
    }

    void run_for(milliseconds duration)
    {
        constexpr milliseconds step{20};
        for (milliseconds elapsed{0}; elapsed < duration; elapsed += step)
        {
            this->time.advance(step);
            this->say_hello();
            this->loop.run_ready();
        }
    }

    void run_without_hellos(milliseconds duration)
    {
        constexpr milliseconds step{20};
        for (milliseconds elapsed{0}; elapsed < duration; elapsed += step)
        {
            this->time.advance(step);
            this->loop.run_ready();
        }
    }

    /// Starts task 0 of job "a" on a worker.
    void start(std::string const& worker)
    {
        start_order order;
        order.task = {{"a", 0, 0}, 0};
        order.run = 1;
        order.fencing_token = 7;
        order.payload = "payload";
        this->orders.start({worker, worker}, order,
            [this](order_result const& result)
            { this->outcomes.push_back(result.outcome); });
    }

    /// How many of 40 orders to different workers the other instance relays.
    int count_relayed()
    {
        constexpr int workers = 40;
        int const before = this->other.requests;
        for (int i = 0; i < workers; ++i)
        {
            std::string const worker = "w" + std::to_string(i);
            this->orders.stop({worker, worker}, {}, [](order_result const&) {});
        }
        this->run_for(milliseconds(60));
        return this->other.requests - before;
    }

    /// Finds a worker whose orders are relayed by the other instance.
    std::string relayed_worker()
    {
        for (int i = 0;; ++i)
        {
            std::string worker = "w" + std::to_string(i);
            int before = this->other.requests;
            this->orders.stop({worker, worker}, {}, [](order_result const&) {});
            this->run_for(milliseconds(60));
            if (this->other.requests > before)
            {
                return worker;
            }
        }
    }

    manual_clock time;
    time_point other_started_at;
    event_loop loop{this->time};
    fake_workers local_workers{this->loop};
    fake_workers remote_workers{this->loop};
    std::string address = own_ip(4) + ":7500";
    relaying_instance other{this->loop, this->remote_workers};
    rpc_server server{this->loop, this->address, this->other, rpc_timing{}};
    member_links members{this->loop, "self"};
    relayed_orders orders{this->loop, this->local_workers, this->members};
    std::vector<order_outcome> outcomes;
};

} // namespace

Test(relayed_orders, workers_are_shared_among_the_instances)
{
    relay_fixture fixture;
    constexpr int workers = 40;
    for (int i = 0; i < workers; ++i)
    {
        fixture.start("w" + std::to_string(i));
    }
    fixture.run_for(milliseconds(100));
    cr_assert(fixture.outcomes.size() == std::size_t{workers});
    cr_assert(fixture.local_workers.running_count() > 10U);
    cr_assert(fixture.remote_workers.running_count() > 10U);
    cr_assert(fixture.local_workers.running_count() +
                  fixture.remote_workers.running_count() ==
              40U);
}

Test(relayed_orders, an_order_arrives_unchanged)
{
    relay_fixture fixture;
    std::string worker = fixture.relayed_worker();
    fixture.start(worker);
    fixture.run_for(milliseconds(100));
    cr_assert(fixture.outcomes.size() == 1U);
    cr_assert(fixture.outcomes.front() == order_outcome::done);
    start_order const& received =
        fixture.remote_workers.workers.at(worker).starts.front();
    cr_assert(received.run == 1U);
    cr_assert(received.fencing_token == 7U);
    cr_assert(received.payload == "payload");
}

Test(relayed_orders, a_report_is_returned_complete)
{
    relay_fixture fixture;
    std::string worker = fixture.relayed_worker();
    fixture.start(worker);
    fixture.run_for(milliseconds(60));
    fixture.remote_workers.end_run(
        worker, {{"a", 0, 0}, 0}, run_outcome::failed);
    watch_result report;
    fixture.orders.watch({worker, worker}, {7, 0, 0, 0},
        [&report](watch_result const& result) { report = result; });
    fixture.run_for(milliseconds(60));
    cr_assert(report.outcome == order_outcome::done);
    cr_assert(report.completions.size() == 1U);
    cr_assert(report.completions.front().outcome == run_outcome::failed);
    cr_assert(report.started_ms == 1);
}

Test(relayed_orders,
    a_dropped_order_is_in_doubt_and_the_next_avoids_the_instance)
{
    relay_fixture fixture;
    std::string worker = fixture.relayed_worker();
    fixture.other.drop_requests = true;
    fixture.start(worker);
    fixture.run_for(milliseconds(1200));
    cr_assert(fixture.outcomes.size() == 1U);
    cr_assert(fixture.outcomes.front() == order_outcome::in_doubt);
    fixture.start(worker);
    fixture.run_for(milliseconds(100));
    cr_assert(fixture.outcomes.back() == order_outcome::done);
    cr_assert(fixture.local_workers.workers.at(worker).starts.size() == 1U);
}

Test(relayed_orders, an_instance_without_a_link_is_skipped_at_once)
{
    relay_fixture fixture;
    std::string worker = fixture.relayed_worker();
    // The member is known, but its new address is not connected.
    fixture.members.handle_hello({"other", own_ip(5) + ":7500"});
    fixture.start(worker);
    cr_assert(fixture.outcomes.size() == 1U);
    cr_assert(fixture.outcomes.front() == order_outcome::done);
}

Test(relayed_orders, open_orders_of_a_removed_instance_are_in_doubt)
{
    relay_fixture fixture;
    std::string worker = fixture.relayed_worker();
    fixture.other.drop_requests = true;
    // Exactly 1 when one reply arrives and it is in doubt.
    int answers = 0;
    fixture.orders.watch({worker, worker}, {7, 0, 0, 2000},
        [&answers](watch_result const& result)
        { answers += result.outcome == order_outcome::in_doubt ? 1 : 100; });
    // The link stays connected, but no hellos arrive.
    fixture.run_without_hellos(milliseconds(2200));
    cr_assert(answers == 1);
    fixture.run_without_hellos(milliseconds(2000));
    cr_assert(answers == 1);
}

// Guards against an instance that loses power again and again, and leaves
// connections behind at all workers that it relays to each time.
Test(relayed_orders, an_instance_relays_once_it_has_been_up_for_some_time)
{
    relay_fixture fixture(milliseconds(1000));
    cr_assert(fixture.count_relayed() == 0);
    fixture.run_for(milliseconds(10000));
    cr_assert(fixture.count_relayed() > 10);
}

Test(relayed_orders, an_instance_that_restarts_often_has_to_be_up_for_longer)
{
    relay_fixture fixture;
    constexpr int restarts = 3;
    for (int i = 0; i < restarts; ++i)
    {
        fixture.other_started_at = fixture.time.now();
        fixture.run_for(milliseconds(6000));
        cr_assert(fixture.count_relayed() == 0);
    }
    // 10 s after a first start, and twice as long for each restart.
    fixture.run_for(milliseconds(70000));
    cr_assert(fixture.count_relayed() == 0);
    fixture.run_for(milliseconds(10000));
    cr_assert(fixture.count_relayed() > 10);
}

// Guards against a leader that does the work of a whole cell, right after that
// was started.
Test(relayed_orders, instances_relay_at_once_while_most_of_the_cell_is_new)
{
    relay_fixture fixture(milliseconds(1000));
    for (char const* name : {"b", "c"})
    {
        member_hello hello{name, own_ip(6) + ":7500"};
        hello.up_ms = 1000;
        fixture.members.handle_hello(hello);
    }
    cr_assert(fixture.count_relayed() > 5);
}

Test(order_relay, an_instance_that_shuts_down_refuses_orders)
{
    relay_fixture fixture;
    std::string worker = fixture.relayed_worker();
    fixture.other.relay.begin_shutdown();
    fixture.start(worker);
    fixture.run_for(milliseconds(100));
    cr_assert(fixture.outcomes.size() == 1U);
    cr_assert(fixture.outcomes.front() == order_outcome::done);
    cr_assert(fixture.local_workers.workers.at(worker).starts.size() == 1U);
}

Test(order_relay, orders_that_waited_during_a_stall_are_refused)
{
    relay_fixture fixture;
    std::string worker = fixture.relayed_worker();
    fixture.start(worker);
    // The whole process stalls while the order is in flight.
    fixture.time.advance(milliseconds(3000));
    fixture.loop.run_ready();
    fixture.run_for(milliseconds(100));
    cr_assert(fixture.remote_workers.running_count() == 0U);
    cr_assert(fixture.outcomes.size() == 1U);
}
