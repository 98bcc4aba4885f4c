/// Handovers, urgent work and rejected requests of one scheduler.
#include "scheduler_fixture.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

Test(scheduler, takes_jobs_from_a_peer_and_names_itself_as_their_owner)
{
    scheduler_fixture fixture;
    fixture.start();
    fixture.set_fence("a.peer.1", "active");

    offer_reply reply = fixture.offer_from("a.peer.1");

    cr_assert(eq(sz, reply.taken.size(), 1));
    cr_assert(reply.owner == fixture.query_state().incarnation);
}

Test(scheduler, records_the_incarnation_that_did_take_its_job)
{
    scheduler_fixture fixture;
    scripted_peer peer;
    peer.owner = "a.peer.2";
    rpc_server server(fixture.loop, fixture.peer_address, peer, rpc_timing{});
    fixture.start();

    std::string job = fixture.submit();

    cr_assert(eq(str, fixture.query_job(job).moved_to, peer.owner));
}

Test(scheduler, hands_urgent_work_to_a_peer_that_can_preempt_when_it_cannot)
{
    scheduler_fixture fixture;
    scripted_peer peer;
    peer.has_no_free_capacity = true;
    peer.domain = "b";
    rpc_server server(fixture.loop, fixture.peer_address, peer, rpc_timing{});
    fixture.list_worker("w1", "a");
    fixture.start();
    job_spec filler;
    filler.need.cpu_millis = 8000;
    filler.idempotent = false;
    fixture.submit(filler);
    cr_assert(eq(sz, fixture.worker.starts.size(), 1));
    fixture.submit(filler);
    fixture.advance(milliseconds(1000));
    cr_assert(not peer.received_offer);

    filler.urgent = true;
    std::string job = fixture.submit(filler);
    fixture.advance(milliseconds(1000));

    cr_assert(peer.received_offer);
    cr_assert(eq(str, fixture.query_job(job).moved_to, peer.owner));
}

Test(scheduler, requests_preemption_from_the_owner_of_the_work_on_its_workers)
{
    scheduler_fixture fixture;
    scripted_peer peer;
    // A peer of the same failure domain would be assigned the rack.
    peer.domain = "b";
    peer.has_no_free_capacity = true;
    peer.lent = {"w1", {8000, 1 << 20, 0}};
    rpc_server server(fixture.loop, fixture.peer_address, peer, rpc_timing{});
    fixture.list_worker("w1", "a");
    fixture.worker.foreign = {7000, 1 << 20, 0};
    fixture.start();
    job_spec job;
    job.need.cpu_millis = 4000;
    fixture.submit(job);
    fixture.advance(milliseconds(1000));
    cr_assert(peer.received_requests.empty());

    job.urgent = true;
    std::string id = fixture.submit(job);
    fixture.advance(milliseconds(1000));

    cr_assert(eq(sz, peer.received_requests.size(), 1));
    cr_assert(eq(str, peer.received_requests[0].worker, "w1"));
    cr_assert(eq(i64, peer.received_requests[0].missing.cpu_millis, 3000));

    fixture.worker.foreign = {};
    fixture.advance(milliseconds(1000));
    cr_assert(fixture.query_job(id).state == job_state::running);
}

Test(scheduler, preempts_its_batch_work_for_the_controller_of_the_worker)
{
    scheduler_fixture fixture;
    fixture.list_worker("w1", "a");
    fixture.start();
    job_spec job;
    job.need.cpu_millis = 4000;
    fixture.submit(job);
    cr_assert(eq(sz, fixture.worker.starts.size(), 1));
    cr_assert(fixture.query_state().borrowed_workers.empty());

    fixture.worker.refuses_control = true;
    fixture.advance(milliseconds(5000));
    auto lent = fixture.query_state().borrowed_workers;
    cr_assert(eq(sz, lent.size(), 1));
    cr_assert(eq(str, lent[0].worker, "w1"));
    cr_assert(eq(i64, lent[0].preemptible.cpu_millis, 4000));

    fixture.send_request(message_type::capacity_request,
        pack(capacity_request{"w1", {1000, 0, 0}}));

    cr_assert(not fixture.worker.stops.empty());
    cr_assert(eq(str, fixture.worker.stops[0], fixture.worker.starts[0].id));
    cr_assert(fixture.worker.last_stop == stop_kind::at_checkpoint);
}

Test(scheduler, rejects_requests_that_need_an_unresponsive_table_service)
{
    scheduler_fixture fixture;
    fixture.start();
    fixture.table.silent = true;
    submit_request request;
    request.key = "k";
    request.spec.customer = "c";

    rpc_result job = fixture.send_request(message_type::submit, pack(request));
    rpc_result claim = fixture.send_request(
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
    cr_assert(eq(sz, fixture.count_rows("key/"), 0));
}
