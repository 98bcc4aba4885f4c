/// What a scheduler does about predecessors, and when it is succeeded itself.
#include "scheduler_fixture.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

Test(scheduler_succession, takes_nothing_from_a_peer_that_was_succeeded)
{
    scheduler_fixture bench;
    bench.start();
    bench.set_fence("a.peer.1", "active");
    bench.set_fence("a.peer.1", "fenced", "a.other.1");

    offer_reply reply = bench.offer_from("a.peer.1");

    cr_assert(reply.taken.empty());
    cr_assert(eq(sz, bench.table.rows.count(owner_row("a.peer.1.1")), 0));
}

Test(scheduler_succession,
    knows_where_a_job_went_from_a_peer_that_it_then_succeeded)
{
    scheduler_fixture bench;
    scripted_peer peer;
    auto server = std::make_unique<rpc_server>(
        bench.loop, bench.peer_address, peer, rpc_timing{});
    bench.start();
    std::string job = bench.submit();
    bench.advance(milliseconds(500));
    cr_assert(eq(str, bench.query_job(job).moved_to, peer.owner));

    journal_entry accepted;
    accepted.job_id = job;
    journal_entry moved;
    moved.event = journal_event::moved;
    moved.job_id = job;
    moved.reason = "a.third.1";
    bench.write_journal(peer.owner, {accepted, moved});
    server.reset();
    bench.set_fence(peer.owner, "released");
    bench.advance(milliseconds(6000));

    cr_assert(eq(str, bench.query_job(job).moved_to, moved.reason));
}

Test(scheduler_succession,
    owns_a_job_again_when_it_succeeds_the_peer_that_just_took_it)
{
    scheduler_fixture bench;
    scripted_peer peer;
    peer.ignores_offers = true;
    rpc_server server(bench.loop, bench.peer_address, peer, rpc_timing{});
    bench.start();
    std::string job = bench.submit();
    bench.advance(milliseconds(500));
    cr_assert(peer.received_offer);

    journal_entry accepted;
    accepted.job_id = job;
    bench.write_journal(peer.owner, {accepted});
    key_record owner;
    owner.job_id = job;
    owner.claimant = peer.owner;
    bench.table.set(owner_row(job), nlohmann::json(owner).dump());
    bench.set_fence(peer.owner, "released");
    bench.advance(milliseconds(3000));
    cr_assert(bench.query_job(job).moved_to.empty());

    // The offer's time limit passes meanwhile and changes nothing.
    bench.advance(milliseconds(10000));
    cr_assert(bench.query_job(job).moved_to.empty());
    cr_assert(bench.query_job(job).state == job_state::queued);
}

Test(scheduler_succession,
    copies_what_it_took_over_and_then_deletes_that_journal)
{
    scheduler_fixture bench;
    journal_entry waiting;
    waiting.job_id = "a.first.1.1";
    waiting.spec.name = "render";
    journal_entry ended;
    ended.event = journal_event::ended;
    ended.job_id = "a.first.1.2";
    ended.state = job_state::succeeded;
    bench.write_journal("a.first.1", {waiting, ended});
    bench.set_fence("a.first.1", "released");
    bench.start();
    bench.advance(milliseconds(5000));

    cr_assert(eq(sz, bench.count_rows(journal::row_prefix("a.first.1")), 0));
    cr_assert(bench.query_job("a.first.1.2").state == job_state::succeeded);

    // Its own successor finds all of it, and answers for the first one, too.
    bench.set_fence(bench.query_state().incarnation, "released");
    bench.subject.reset();
    bench.start();
    bench.advance(milliseconds(5000));

    cr_assert(bench.query_job("a.first.1.1").state == job_state::queued);
    cr_assert(eq(str, bench.query_job("a.first.1.1").name, waiting.spec.name));
    cr_assert(bench.query_job("a.first.1.2").state == job_state::succeeded);
    auto serves = bench.query_state().serves;
    cr_assert(
        std::find(serves.begin(), serves.end(), "a.first.1") != serves.end());
}

Test(scheduler_succession, deletes_the_fence_row_of_a_predecessor_after_an_hour)
{
    scheduler_fixture bench;
    bench.set_fence("a.first.1", "released");
    bench.start();
    bench.advance(milliseconds(3000));
    cr_assert(eq(sz, bench.count_rows(journal::fence_row("a.first.1")), 1));

    bench.time.advance(std::chrono::minutes(61));
    bench.advance(milliseconds(3000));

    cr_assert(eq(sz, bench.count_rows(journal::fence_row("a.first.1")), 0));
    cr_assert(eq(int, bench.fenced, 0));
}

Test(scheduler_succession, gives_way_when_its_row_is_gone)
{
    scheduler_fixture bench;
    bench.start();

    bench.table.rows.erase(journal::fence_row(bench.query_state().incarnation));
    bench.advance(milliseconds(3000));

    cr_assert(eq(int, bench.fenced, 1));
}

Test(scheduler_succession, gives_way_when_it_finds_itself_succeeded)
{
    scheduler_fixture bench;
    bench.start();

    bench.set_fence(bench.query_state().incarnation, "fenced", "a.other.1");
    bench.advance(milliseconds(3000));

    cr_assert(eq(int, bench.fenced, 1));
}

Test(scheduler_succession,
    succeeds_those_that_its_predecessor_succeeded_at_the_last_moment)
{
    scheduler_fixture bench;
    bench.set_fence("a.first.1", "active");
    bench.set_fence("a.second.1", "released");
    bool once = false;
    bench.table.before_commit = [&bench, &once](transaction const& work)
    {
        bool fences =
            !once && !work.writes.empty() &&
            work.writes.front().key == journal::fence_row("a.second.1");
        if (fences)
        {
            once = true;
            bench.set_fence("a.first.1", "fenced", "a.second.1");
        }
    };

    bench.start();
    bench.advance(milliseconds(2000));

    auto serves = bench.query_state().serves;
    cr_assert(once);
    cr_assert(
        std::find(serves.begin(), serves.end(), "a.first.1") != serves.end());
}

Test(scheduler_succession,
    leaves_a_job_to_the_takeover_that_has_yet_to_ask_its_workers)
{
    scheduler_fixture bench;
    bench.list_worker("w2", "b");
    // The second accepted the job and gave it to the first, which may have
    // started it on a worker.
    journal_entry accepted;
    accepted.job_id = "a.second.1.1";
    journal_entry seen;
    seen.event = journal_event::worker_seen;
    seen.worker = "w2";
    seen.worker_incarnation = bench.worker.incarnation;
    bench.write_journal("a.first.1", {accepted, seen});
    bench.write_journal("a.second.1", {accepted});
    key_record owner;
    owner.job_id = accepted.job_id;
    owner.claimant = "a.first.1";
    bench.table.set(owner_row(owner.job_id), nlohmann::json(owner).dump());
    bench.set_fence("a.first.1", "released");
    bench.set_fence("a.second.1", "released");
    bench.start();
    bench.advance(milliseconds(2000));
    cr_assert(eq(sz, bench.worker.fences.count("w2"), 1));
    cr_assert(eq(u32, bench.query_job(accepted.job_id).attempts, 1));

    task_report report;
    report.id = accepted.job_id + ":1.0:0";
    report.job_id = accepted.job_id;
    report.attempt = 1;
    report.state = "running";
    bench.worker.answer_fence("w2", {report});

    cr_assert(bench.query_job(accepted.job_id).state == job_state::running);
    cr_assert(eq(u32, bench.query_job(accepted.job_id).attempts, 1));
}

Test(scheduler_succession, succeeds_nobody_for_silence_during_its_own_pause)
{
    scheduler_fixture bench;
    bench.set_fence("a.peer.1", "active");
    bench.start();
    // Not heard so far; its sign comes while this process stands still.
    scripted_peer peer;
    rpc_server server(bench.loop, bench.peer_address, peer, rpc_timing{});

    bench.time.advance(std::chrono::seconds(20));
    bench.advance(milliseconds(3000));

    auto serves = bench.query_state().serves;
    cr_assert(eq(sz, serves.size(), 1));
}

Test(scheduler_succession,
    keeps_what_it_knows_of_its_own_tasks_when_a_worker_names_them)
{
    scheduler_fixture bench;
    bench.list_worker("w1", "a");
    bench.start();
    job_spec gang;
    gang.kind = job_kind::gang;
    gang.tasks = 2;
    gang.need.cpu_millis = 1000;
    std::string job = bench.submit(gang);
    cr_assert(eq(sz, bench.worker.starts.size(), 2));
    task_report first = make_report(bench.worker.starts[0], "succeeded");
    task_report second = make_report(bench.worker.starts[1], "running");
    bench.deliver_reports({first, second});

    // The worker that is fenced names all tasks of the successor.
    journal_entry seen;
    seen.event = journal_event::worker_seen;
    seen.worker = "w1";
    seen.worker_incarnation = bench.worker.incarnation;
    bench.write_journal("a.first.1", {seen});
    bench.set_fence("a.first.1", "released");
    bench.advance(milliseconds(2000));
    bench.worker.answer_fence("w1", {first, second});
    second.state = "succeeded";
    bench.deliver_reports({first, second});

    cr_assert(bench.query_job(job).state == job_state::succeeded);
}

Test(scheduler_succession,
    goes_on_from_the_checkpoint_that_its_predecessor_recorded)
{
    scheduler_fixture bench;
    bench.list_worker("w1", "a");
    journal_entry accepted;
    accepted.job_id = "a.first.1.1";
    accepted.spec.need.cpu_millis = 1000;
    journal_entry attempt;
    attempt.event = journal_event::attempt;
    attempt.job_id = accepted.job_id;
    attempt.attempt = 2;
    attempt.checkpoint = "half";
    bench.write_journal("a.first.1", {accepted, attempt});
    bench.set_fence("a.first.1", "released");
    bench.start();
    bench.advance(milliseconds(2000));

    cr_assert(eq(sz, bench.worker.starts.size(), 1));
    cr_assert(eq(str, bench.worker.starts[0].checkpoint, "half"));

    // Stopped again further on, and again: each start has the latest.
    task_report report = make_report(bench.worker.starts[0], "stopped");
    report.checkpoint = "more";
    bench.deliver_reports({report});
    bench.advance(milliseconds(500));

    cr_assert(eq(sz, bench.worker.starts.size(), 2));
    cr_assert(eq(str, bench.worker.starts[1].checkpoint, "more"));
}

Test(scheduler_succession, can_stop_what_it_took_over_for_urgent_work)
{
    scheduler_fixture bench;
    bench.list_worker("w1", "a");
    journal_entry accepted;
    accepted.job_id = "a.first.1.1";
    accepted.spec.need.cpu_millis = 8000;
    journal_entry seen;
    seen.event = journal_event::worker_seen;
    seen.worker = "w1";
    seen.worker_incarnation = bench.worker.incarnation;
    bench.write_journal("a.first.1", {accepted, seen});
    bench.set_fence("a.first.1", "released");
    bench.worker.foreign = {8000, 1 << 20, 0};
    bench.start();
    bench.advance(milliseconds(2000));
    task_report report;
    report.id = accepted.job_id + ":1.0:0";
    report.job_id = accepted.job_id;
    report.attempt = 1;
    report.need.cpu_millis = 8000;
    report.state = "running";
    bench.worker.foreign = {};
    bench.worker.answer_fence("w1", {report});
    bench.advance(milliseconds(500));
    cr_assert(bench.query_job(accepted.job_id).state == job_state::running);

    job_spec urgent;
    urgent.urgent = true;
    urgent.need.cpu_millis = 8000;
    bench.submit(urgent);

    cr_assert(not bench.worker.stops.empty());
    cr_assert(eq(str, bench.worker.stops[0], report.id));
    cr_assert(bench.worker.last_stop == stop_kind::at_checkpoint);
}
