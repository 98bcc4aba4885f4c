/// Orders that go through another instance, over real links on loopback.
#include "toucanlever/cell/relayed_orders.hpp"

#include "toucanlever/cell/order_relay.hpp"

#include "fake_workers.hpp"
#include "loopback.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

constexpr milliseconds link_time{400};

/// An instance that passes orders on, or swallows them.
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
        if (!this->swallow)
        {
            this->relay.handle_request(request, peer, std::move(respond));
        }
    }

    order_relay relay;
    int requests = 0;
    bool swallow = false;
};

/// An active scheduler's orders, and one other instance to pass them on.
class relay_bench
{
public:
    relay_bench()
    {
        this->members.handle_hello({"other", this->address});
        this->pass(link_time);
    }

    void pass(milliseconds span)
    {
        constexpr milliseconds step{20};
        for (milliseconds done{0}; done < span; done += step)
        {
            this->time.advance(step);
            this->members.handle_hello({"other", this->address});
            this->loop.run_ready();
        }
    }

    void pass_unheard(milliseconds span)
    {
        constexpr milliseconds step{20};
        for (milliseconds done{0}; done < span; done += step)
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

    /// A worker whose orders go through the other instance.
    std::string relayed_worker()
    {
        for (int i = 0;; ++i)
        {
            std::string worker = "w" + std::to_string(i);
            int before = this->other.requests;
            this->orders.stop({worker, worker}, {}, [](order_result const&) {});
            this->pass(milliseconds(60));
            if (this->other.requests > before)
            {
                return worker;
            }
        }
    }

    manual_clock time;
    event_loop loop{this->time};
    fake_workers near{this->loop};
    fake_workers far{this->loop};
    std::string address = own_ip(4) + ":7500";
    relaying_instance other{this->loop, this->far};
    rpc_server server{this->loop, this->address, this->other, rpc_timing{}};
    member_links members{this->loop, "self"};
    relayed_orders orders{this->loop, this->near, this->members};
    std::vector<order_outcome> outcomes;
};

} // namespace

Test(relayed_orders, workers_are_shared_among_the_instances)
{
    relay_bench bench;
    constexpr int workers = 40;
    for (int i = 0; i < workers; ++i)
    {
        bench.start("w" + std::to_string(i));
    }
    bench.pass(milliseconds(100));
    cr_assert(bench.outcomes.size() == std::size_t{workers});
    cr_assert(bench.near.running_count() > 10U);
    cr_assert(bench.far.running_count() > 10U);
    cr_assert(bench.near.running_count() + bench.far.running_count() == 40U);
}

Test(relayed_orders, an_order_arrives_as_it_was_given)
{
    relay_bench bench;
    std::string worker = bench.relayed_worker();
    bench.start(worker);
    bench.pass(milliseconds(100));
    cr_assert(bench.outcomes.size() == 1U);
    cr_assert(bench.outcomes.front() == order_outcome::done);
    start_order const& seen = bench.far.workers.at(worker).starts.front();
    cr_assert(seen.run == 1U);
    cr_assert(seen.fencing_token == 7U);
    cr_assert(seen.payload == "payload");
}

Test(relayed_orders, a_report_comes_back_whole)
{
    relay_bench bench;
    std::string worker = bench.relayed_worker();
    bench.start(worker);
    bench.pass(milliseconds(60));
    bench.far.end_run(worker, {{"a", 0, 0}, 0}, run_outcome::failed);
    watch_result report;
    bench.orders.watch({worker, worker}, {7, 0, 0, 0},
        [&report](watch_result const& result) { report = result; });
    bench.pass(milliseconds(60));
    cr_assert(report.outcome == order_outcome::done);
    cr_assert(report.completions.size() == 1U);
    cr_assert(report.completions.front().outcome == run_outcome::failed);
    cr_assert(report.started_ms == 1);
}

Test(relayed_orders, what_an_instance_swallows_is_in_doubt_and_goes_round_it)
{
    relay_bench bench;
    std::string worker = bench.relayed_worker();
    bench.other.swallow = true;
    bench.start(worker);
    bench.pass(milliseconds(1200));
    cr_assert(bench.outcomes.size() == 1U);
    cr_assert(bench.outcomes.front() == order_outcome::in_doubt);
    bench.start(worker);
    bench.pass(milliseconds(100));
    cr_assert(bench.outcomes.back() == order_outcome::done);
    cr_assert(bench.near.workers.at(worker).starts.size() == 1U);
}

Test(relayed_orders, an_instance_without_a_link_is_passed_over_at_once)
{
    relay_bench bench;
    std::string worker = bench.relayed_worker();
    // Heard of, and never reached.
    bench.members.handle_hello({"other", own_ip(5) + ":7500"});
    bench.start(worker);
    cr_assert(bench.outcomes.size() == 1U);
    cr_assert(bench.outcomes.front() == order_outcome::done);
}

Test(relayed_orders, what_an_instance_left_open_when_it_goes_is_in_doubt)
{
    relay_bench bench;
    std::string worker = bench.relayed_worker();
    bench.other.swallow = true;
    int answers = 0;
    bench.orders.watch({worker, worker}, {7, 0, 0, 2000},
        [&answers](watch_result const& result)
        { answers += result.outcome == order_outcome::in_doubt ? 1 : 100; });
    // Its link stands, and it says hello to nobody.
    bench.pass_unheard(milliseconds(2200));
    cr_assert(answers == 1);
    bench.pass_unheard(milliseconds(2000));
    cr_assert(answers == 1);
}

Test(order_relay, an_instance_that_leaves_takes_no_orders)
{
    relay_bench bench;
    std::string worker = bench.relayed_worker();
    bench.other.relay.begin_shutdown();
    bench.start(worker);
    bench.pass(milliseconds(100));
    cr_assert(bench.outcomes.size() == 1U);
    cr_assert(bench.outcomes.front() == order_outcome::done);
    cr_assert(bench.near.workers.at(worker).starts.size() == 1U);
}

Test(order_relay, what_waited_while_the_instance_stood_still_is_refused)
{
    relay_bench bench;
    std::string worker = bench.relayed_worker();
    bench.start(worker);
    // Everything stands still, with the order on its way.
    bench.time.advance(milliseconds(3000));
    bench.loop.run_ready();
    bench.pass(milliseconds(100));
    cr_assert(bench.far.running_count() == 0U);
    cr_assert(bench.outcomes.size() == 1U);
}
