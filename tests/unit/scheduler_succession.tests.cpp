/// Takeover: how a scheduler takes over from predecessors, and what it does
/// when another scheduler takes over from it.
#include "scheduler_fixture.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

Test(scheduler_succession, accepts_no_offer_from_a_peer_that_was_taken_over)
{
    scheduler_fixture fixture;
    fixture.start();
    fixture.set_fence("a.peer.1", "active");
    fixture.set_fence("a.peer.1", "fenced", "a.other.1");

    offer_reply reply = fixture.offer_from("a.peer.1");

    cr_assert(reply.taken.empty());
    cr_assert(eq(sz, fixture.table.rows.count(owner_row("a.peer.1.1")), 0));
}

Test(scheduler_succession,
    knows_the_owner_of_a_job_that_a_predecessor_handed_over)
{
    scheduler_fixture fixture;
    scripted_peer peer;
    auto server = std::make_unique<rpc_server>(
        fixture.loop, fixture.peer_address, peer, rpc_timing{});
    fixture.start();
    std::string job = fixture.submit();
    fixture.advance(milliseconds(500));
    cr_assert(eq(str, fixture.query_job(job).moved_to, peer.owner));

    journal_entry accepted;
    accepted.job_id = job;
    journal_entry moved;
    moved.event = journal_event::moved;
    moved.job_id = job;
    moved.reason = "a.third.1";
    fixture.write_journal(peer.owner, {accepted, moved});
    server.reset();
    fixture.set_fence(peer.owner, "released");
    fixture.advance(milliseconds(6000));

    cr_assert(eq(str, fixture.query_job(job).moved_to, moved.reason));
}

Test(scheduler_succession,
    owns_a_job_again_when_it_takes_over_from_the_peer_that_accepted_it)
{
    scheduler_fixture fixture;
    scripted_peer peer;
    peer.ignores_offers = true;
    rpc_server server(fixture.loop, fixture.peer_address, peer, rpc_timing{});
    fixture.start();
    std::string job = fixture.submit();
    fixture.advance(milliseconds(500));
    cr_assert(peer.received_offer);

    journal_entry accepted;
    accepted.job_id = job;
    fixture.write_journal(peer.owner, {accepted});
    key_record owner;
    owner.job_id = job;
    owner.claimant = peer.owner;
    fixture.table.set(owner_row(job), nlohmann::json(owner).dump());
    fixture.set_fence(peer.owner, "released");
    fixture.advance(milliseconds(3000));
    cr_assert(fixture.query_job(job).moved_to.empty());

    // The timeout of the offer expires and changes nothing.
    fixture.advance(milliseconds(10000));
    cr_assert(fixture.query_job(job).moved_to.empty());
    cr_assert(fixture.query_job(job).state == job_state::queued);
}

Test(scheduler_succession,
    copies_what_it_took_over_and_then_deletes_that_journal)
{
    scheduler_fixture fixture;
    journal_entry waiting;
    waiting.job_id = "a.first.1.1";
    waiting.spec.name = "render";
    journal_entry ended;
    ended.event = journal_event::ended;
    ended.job_id = "a.first.1.2";
    ended.state = job_state::succeeded;
    fixture.write_journal("a.first.1", {waiting, ended});
    fixture.set_fence("a.first.1", "released");
    fixture.start();
    fixture.advance(milliseconds(5000));

    cr_assert(eq(sz, fixture.count_rows(journal::row_prefix("a.first.1")), 0));
    cr_assert(fixture.query_job("a.first.1.2").state == job_state::succeeded);

    // The next successor reads the copied entries and is also responsible for
    // the jobs of the first incarnation.
    fixture.set_fence(fixture.query_state().incarnation, "released");
    fixture.subject.reset();
    fixture.start();
    fixture.advance(milliseconds(5000));

    cr_assert(fixture.query_job("a.first.1.1").state == job_state::queued);
    cr_assert(
        eq(str, fixture.query_job("a.first.1.1").name, waiting.spec.name));
    cr_assert(fixture.query_job("a.first.1.2").state == job_state::succeeded);
    auto serves = fixture.query_state().serves;
    cr_assert(
        std::find(serves.begin(), serves.end(), "a.first.1") != serves.end());
}

Test(scheduler_succession, deletes_the_fence_row_of_a_predecessor_after_an_hour)
{
    scheduler_fixture fixture;
    fixture.set_fence("a.first.1", "released");
    fixture.start();
    fixture.advance(milliseconds(3000));
    cr_assert(eq(sz, fixture.count_rows(journal::fence_row("a.first.1")), 1));

    fixture.time.advance(std::chrono::minutes(61));
    fixture.advance(milliseconds(3000));

    cr_assert(eq(sz, fixture.count_rows(journal::fence_row("a.first.1")), 0));
    cr_assert(eq(int, fixture.fenced, 0));
}

Test(scheduler_succession, reports_that_it_is_fenced_when_its_row_is_deleted)
{
    scheduler_fixture fixture;
    fixture.start();

    fixture.table.rows.erase(
        journal::fence_row(fixture.query_state().incarnation));
    fixture.advance(milliseconds(3000));

    cr_assert(eq(int, fixture.fenced, 1));
}

Test(scheduler_succession, reports_that_it_is_fenced_when_its_row_says_so)
{
    scheduler_fixture fixture;
    fixture.start();

    fixture.set_fence(fixture.query_state().incarnation, "fenced", "a.other.1");
    fixture.advance(milliseconds(3000));

    cr_assert(eq(int, fixture.fenced, 1));
}

Test(scheduler_succession,
    takes_over_from_those_that_its_predecessor_took_over_from_at_the_last_moment)
{
    scheduler_fixture fixture;
    fixture.set_fence("a.first.1", "active");
    fixture.set_fence("a.second.1", "released");
    bool once = false;
    fixture.table.before_commit = [&fixture, &once](transaction const& work)
    {
        bool fences =
            !once && !work.writes.empty() &&
            work.writes.front().key == journal::fence_row("a.second.1");
        if (fences)
        {
            once = true;
            fixture.set_fence("a.first.1", "fenced", "a.second.1");
        }
    };

    fixture.start();
    fixture.advance(milliseconds(2000));

    auto serves = fixture.query_state().serves;
    cr_assert(once);
    cr_assert(
        std::find(serves.begin(), serves.end(), "a.first.1") != serves.end());
}

Test(scheduler_succession,
    leaves_a_job_to_the_takeover_that_has_yet_to_query_its_workers)
{
    scheduler_fixture fixture;
    fixture.list_worker("w2", "b");
    // The second incarnation accepted the job and handed it over to the first,
    // which may have started it on a worker.
    journal_entry accepted;
    accepted.job_id = "a.second.1.1";
    journal_entry seen;
    seen.event = journal_event::worker_seen;
    seen.worker = "w2";
    seen.worker_incarnation = fixture.worker.incarnation;
    fixture.write_journal("a.first.1", {accepted, seen});
    fixture.write_journal("a.second.1", {accepted});
    key_record owner;
    owner.job_id = accepted.job_id;
    owner.claimant = "a.first.1";
    fixture.table.set(owner_row(owner.job_id), nlohmann::json(owner).dump());
    fixture.set_fence("a.first.1", "released");
    fixture.set_fence("a.second.1", "released");
    fixture.start();
    fixture.advance(milliseconds(2000));
    cr_assert(eq(sz, fixture.worker.fences.count("w2"), 1));
    cr_assert(eq(u32, fixture.query_job(accepted.job_id).attempts, 1));

    task_report report;
    report.id = accepted.job_id + ":1.0:0";
    report.job_id = accepted.job_id;
    report.attempt = 1;
    report.state = "running";
    fixture.worker.answer_fence("w2", {report});

    cr_assert(fixture.query_job(accepted.job_id).state == job_state::running);
    cr_assert(eq(u32, fixture.query_job(accepted.job_id).attempts, 1));
}

Test(scheduler_succession,
    takes_over_from_nobody_for_heartbeats_missed_during_its_own_pause)
{
    scheduler_fixture fixture;
    fixture.set_fence("a.peer.1", "active");
    fixture.start();
    // No heartbeat has arrived yet; the peer starts to send while this process
    // is paused.
    scripted_peer peer;
    rpc_server server(fixture.loop, fixture.peer_address, peer, rpc_timing{});

    fixture.time.advance(std::chrono::seconds(20));
    fixture.advance(milliseconds(3000));

    auto serves = fixture.query_state().serves;
    cr_assert(eq(sz, serves.size(), 1));
}

Test(scheduler_succession,
    keeps_the_status_of_its_own_tasks_when_a_fenced_worker_reports_them)
{
    scheduler_fixture fixture;
    fixture.list_worker("w1", "a");
    fixture.start();
    job_spec gang;
    gang.kind = job_kind::gang;
    gang.tasks = 2;
    gang.need.cpu_millis = 1000;
    std::string job = fixture.submit(gang);
    cr_assert(eq(sz, fixture.worker.starts.size(), 2));
    task_report first = make_report(fixture.worker.starts[0], "succeeded");
    task_report second = make_report(fixture.worker.starts[1], "running");
    fixture.deliver_reports({first, second});

    // The fenced worker reports all tasks, including those of the successor.
    journal_entry seen;
    seen.event = journal_event::worker_seen;
    seen.worker = "w1";
    seen.worker_incarnation = fixture.worker.incarnation;
    fixture.write_journal("a.first.1", {seen});
    fixture.set_fence("a.first.1", "released");
    fixture.advance(milliseconds(2000));
    fixture.worker.answer_fence("w1", {first, second});
    second.state = "succeeded";
    fixture.deliver_reports({first, second});

    cr_assert(fixture.query_job(job).state == job_state::succeeded);
}

Test(scheduler_succession,
    resumes_from_the_checkpoint_that_its_predecessor_recorded)
{
    scheduler_fixture fixture;
    fixture.list_worker("w1", "a");
    journal_entry accepted;
    accepted.job_id = "a.first.1.1";
    accepted.spec.need.cpu_millis = 1000;
    journal_entry attempt;
    attempt.event = journal_event::attempt;
    attempt.job_id = accepted.job_id;
    attempt.attempt = 2;
    attempt.checkpoint = "half";
    fixture.write_journal("a.first.1", {accepted, attempt});
    fixture.set_fence("a.first.1", "released");
    fixture.start();
    fixture.advance(milliseconds(2000));

    cr_assert(eq(sz, fixture.worker.starts.size(), 1));
    cr_assert(eq(str, fixture.worker.starts[0].checkpoint, "half"));

    // The task is stopped again, with a later checkpoint: the next start has
    // the latest one.
    task_report report = make_report(fixture.worker.starts[0], "stopped");
    report.checkpoint = "more";
    fixture.deliver_reports({report});
    fixture.advance(milliseconds(500));

    cr_assert(eq(sz, fixture.worker.starts.size(), 2));
    cr_assert(eq(str, fixture.worker.starts[1].checkpoint, "more"));
}

Test(scheduler_succession, can_preempt_jobs_that_it_took_over_for_urgent_work)
{
    scheduler_fixture fixture;
    fixture.list_worker("w1", "a");
    journal_entry accepted;
    accepted.job_id = "a.first.1.1";
    accepted.spec.need.cpu_millis = 8000;
    journal_entry seen;
    seen.event = journal_event::worker_seen;
    seen.worker = "w1";
    seen.worker_incarnation = fixture.worker.incarnation;
    fixture.write_journal("a.first.1", {accepted, seen});
    fixture.set_fence("a.first.1", "released");
    fixture.worker.foreign = {8000, 1 << 20, 0};
    fixture.start();
    fixture.advance(milliseconds(2000));
    task_report report;
    report.id = accepted.job_id + ":1.0:0";
    report.job_id = accepted.job_id;
    report.attempt = 1;
    report.need.cpu_millis = 8000;
    report.state = "running";
    fixture.worker.foreign = {};
    fixture.worker.answer_fence("w1", {report});
    fixture.advance(milliseconds(500));
    cr_assert(fixture.query_job(accepted.job_id).state == job_state::running);

    job_spec urgent;
    urgent.urgent = true;
    urgent.need.cpu_millis = 8000;
    fixture.submit(urgent);

    cr_assert(not fixture.worker.stops.empty());
    cr_assert(eq(str, fixture.worker.stops[0], report.id));
    cr_assert(fixture.worker.last_stop == stop_kind::at_checkpoint);
}
