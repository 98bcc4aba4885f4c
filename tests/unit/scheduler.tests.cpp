/// Hand-overs, urgent work and refusals of one scheduler.
#include "scheduler_fixture.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

Test(scheduler, takes_jobs_from_a_peer_and_names_itself_as_their_owner)
{
    scheduler_fixture bench;
    bench.start();
    bench.set_fence("a.peer.1", "active");

    offer_reply reply = bench.offer_from("a.peer.1");

    cr_assert(eq(sz, reply.taken.size(), 1));
    cr_assert(reply.owner == bench.query_state().incarnation);
}

Test(scheduler, records_the_incarnation_that_did_take_its_job)
{
    scheduler_fixture bench;
    scripted_peer peer;
    peer.owner = "a.peer.2";
    rpc_server server(bench.loop, bench.peer_address, peer, rpc_timing{});
    bench.start();

    std::string job = bench.submit();

    cr_assert(eq(str, bench.query_job(job).moved_to, peer.owner));
}

Test(scheduler, gives_urgent_work_to_a_peer_that_can_stop_what_it_cannot)
{
    scheduler_fixture bench;
    scripted_peer peer;
    peer.has_no_free_capacity = true;
    peer.domain = "b";
    rpc_server server(bench.loop, bench.peer_address, peer, rpc_timing{});
    bench.list_worker("w1", "a");
    bench.start();
    job_spec fills;
    fills.need.cpu_millis = 8000;
    fills.idempotent = false;
    bench.submit(fills);
    cr_assert(eq(sz, bench.worker.starts.size(), 1));
    bench.submit(fills);
    bench.advance(milliseconds(1000));
    cr_assert(not peer.received_offer);

    fills.urgent = true;
    std::string job = bench.submit(fills);
    bench.advance(milliseconds(1000));

    cr_assert(peer.received_offer);
    cr_assert(eq(str, bench.query_job(job).moved_to, peer.owner));
}

Test(scheduler, asks_the_owner_of_what_fills_its_workers_for_urgent_work)
{
    scheduler_fixture bench;
    scripted_peer peer;
    // Of another domain: it would get the rack otherwise.
    peer.domain = "b";
    peer.has_no_free_capacity = true;
    peer.lent = {"w1", {8000, 1 << 20, 0}};
    rpc_server server(bench.loop, bench.peer_address, peer, rpc_timing{});
    bench.list_worker("w1", "a");
    bench.worker.foreign = {7000, 1 << 20, 0};
    bench.start();
    job_spec job;
    job.need.cpu_millis = 4000;
    bench.submit(job);
    bench.advance(milliseconds(1000));
    cr_assert(peer.received_requests.empty());

    job.urgent = true;
    std::string id = bench.submit(job);
    bench.advance(milliseconds(1000));

    cr_assert(eq(sz, peer.received_requests.size(), 1));
    cr_assert(eq(str, peer.received_requests[0].worker, "w1"));
    cr_assert(eq(i64, peer.received_requests[0].missing.cpu_millis, 3000));

    bench.worker.foreign = {};
    bench.advance(milliseconds(1000));
    cr_assert(bench.query_job(id).state == job_state::running);
}

Test(scheduler, stops_its_batch_work_for_the_controller_of_the_worker)
{
    scheduler_fixture bench;
    bench.list_worker("w1", "a");
    bench.start();
    job_spec job;
    job.need.cpu_millis = 4000;
    bench.submit(job);
    cr_assert(eq(sz, bench.worker.starts.size(), 1));
    cr_assert(bench.query_state().borrowed_workers.empty());

    bench.worker.refuses_control = true;
    bench.advance(milliseconds(5000));
    auto lent = bench.query_state().borrowed_workers;
    cr_assert(eq(sz, lent.size(), 1));
    cr_assert(eq(str, lent[0].worker, "w1"));
    cr_assert(eq(i64, lent[0].preemptible.cpu_millis, 4000));

    bench.send_request(message_type::capacity_request,
        pack(capacity_request{"w1", {1000, 0, 0}}));

    cr_assert(not bench.worker.stops.empty());
    cr_assert(eq(str, bench.worker.stops[0], bench.worker.starts[0].id));
    cr_assert(bench.worker.last_stop == stop_kind::at_checkpoint);
}

Test(scheduler, refuses_what_needs_a_table_service_that_it_knows_to_be_silent)
{
    scheduler_fixture bench;
    bench.start();
    bench.table.silent = true;
    submit_request request;
    request.key = "k";
    request.spec.customer = "c";

    rpc_result job = bench.send_request(message_type::submit, pack(request));
    rpc_result claim = bench.send_request(
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
    cr_assert(eq(sz, bench.count_rows("key/"), 0));
}
