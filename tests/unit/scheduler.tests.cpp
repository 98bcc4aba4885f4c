/// Hand-overs, urgent work and refusals of one scheduler.
#include "scheduler_bench.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

Test(scheduler, takes_jobs_from_a_peer_and_names_itself_as_their_owner)
{
    scheduler_bench bench;
    bench.begin();
    bench.set_fence("a.peer.1", "active");

    offer_reply reply = bench.offer_from("a.peer.1");

    cr_assert(eq(sz, reply.taken.size(), 1));
    cr_assert(reply.owner == bench.state().incarnation);
}

Test(scheduler, records_the_incarnation_that_did_take_its_job)
{
    scheduler_bench bench;
    scripted_peer peer;
    peer.owner = "a.peer.2";
    rpc_server server(bench.loop, bench.peer_address, peer, rpc_timing{});
    bench.begin();

    std::string job = bench.submit();

    cr_assert(eq(str, bench.view(job).moved_to, peer.owner));
}

Test(scheduler, gives_urgent_work_to_a_peer_that_can_stop_what_it_cannot)
{
    scheduler_bench bench;
    scripted_peer peer;
    peer.full = true;
    peer.domain = "b";
    rpc_server server(bench.loop, bench.peer_address, peer, rpc_timing{});
    bench.list_worker("w1", "a");
    bench.begin();
    job_spec fills;
    fills.need.cpu_millis = 8000;
    fills.idempotent = false;
    bench.submit(fills);
    cr_assert(eq(sz, bench.worker.starts.size(), 1));
    bench.submit(fills);
    bench.pass(milliseconds(1000));
    cr_assert(not peer.offered);

    fills.urgent = true;
    std::string job = bench.submit(fills);
    bench.pass(milliseconds(1000));

    cr_assert(peer.offered);
    cr_assert(eq(str, bench.view(job).moved_to, peer.owner));
}

Test(scheduler, asks_the_owner_of_what_fills_its_workers_for_urgent_work)
{
    scheduler_bench bench;
    scripted_peer peer;
    // Of another domain: it would get the rack otherwise.
    peer.domain = "b";
    peer.full = true;
    peer.lent = {"w1", {8000, 1 << 20, 0}};
    rpc_server server(bench.loop, bench.peer_address, peer, rpc_timing{});
    bench.list_worker("w1", "a");
    bench.worker.foreign = {7000, 1 << 20, 0};
    bench.begin();
    job_spec job;
    job.need.cpu_millis = 4000;
    bench.submit(job);
    bench.pass(milliseconds(1000));
    cr_assert(peer.rooms.empty());

    job.urgent = true;
    std::string id = bench.submit(job);
    bench.pass(milliseconds(1000));

    cr_assert(eq(sz, peer.rooms.size(), 1));
    cr_assert(eq(str, peer.rooms[0].worker, "w1"));
    cr_assert(eq(i64, peer.rooms[0].missing.cpu_millis, 3000));

    bench.worker.foreign = {};
    bench.pass(milliseconds(1000));
    cr_assert(bench.view(id).state == job_state::running);
}

Test(scheduler, stops_its_batch_work_for_the_controller_of_the_worker)
{
    scheduler_bench bench;
    bench.list_worker("w1", "a");
    bench.begin();
    job_spec job;
    job.need.cpu_millis = 4000;
    bench.submit(job);
    cr_assert(eq(sz, bench.worker.starts.size(), 1));
    cr_assert(bench.state().borrowed_workers.empty());

    bench.worker.refuses_control = true;
    bench.pass(milliseconds(5000));
    auto lent = bench.state().borrowed_workers;
    cr_assert(eq(sz, lent.size(), 1));
    cr_assert(eq(str, lent[0].worker, "w1"));
    cr_assert(eq(i64, lent[0].preemptible.cpu_millis, 4000));

    bench.ask(message_type::capacity_request,
        pack(capacity_request{"w1", {1000, 0, 0}}));

    cr_assert(not bench.worker.stops.empty());
    cr_assert(eq(str, bench.worker.stops[0], bench.worker.starts[0].id));
    cr_assert(bench.worker.last_stop == stop_kind::at_checkpoint);
}

Test(scheduler, refuses_what_needs_a_table_service_that_it_knows_to_be_silent)
{
    scheduler_bench bench;
    bench.begin();
    bench.table.silent = true;
    submit_request request;
    request.key = "k";
    request.spec.customer = "c";

    rpc_result job = bench.ask(message_type::submit, pack(request));
    rpc_result claim = bench.ask(
        message_type::claim, pack(claim_request{"c", "k", key_record{}, 0}));

    for (rpc_result const& each : {job, claim})
    {
        try
        {
            each.as<operator_reply>(message_type::ack, "s");
            cr_assert(false);
        }
        catch (error const& problem)
        {
            cr_assert(problem.code == error_code::unavailable);
            cr_assert(problem.ran == run_state::no);
        }
    }
    cr_assert(eq(sz, bench.rows_of("key/"), 0));
}
