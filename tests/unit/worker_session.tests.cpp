#include "toucanlever/control/worker_session.hpp"

#include "fake_worker.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

class event_record final : public worker_events
{
public:
    void on_control_gained(worker_session&) override { ++this->gained; }
    void on_control_lost(worker_session&) override { ++this->lost_control; }
    void on_free_changed(worker_session& worker) override
    {
        this->idle = !worker.has_tasks();
    }
    void on_task_running(worker_session&, tracked_task const&) override
    {
        ++this->running;
    }
    void on_task_ended(worker_session&, task_report const&) override
    {
        ++this->ended;
    }
    void on_task_lost(
        worker_session&, tracked_task const&, task_loss loss) override
    {
        this->losses.push_back(loss);
    }
    void on_task_refused(
        worker_session&, tracked_task const&, std::string const&) override
    {
        ++this->refused;
    }
    void record_worker(std::string const&, std::string const&,
        std::function<void()> recorded) override
    {
        this->record = std::move(recorded);
        if (this->record_at_once)
        {
            this->record();
        }
    }

    /// Whether the last news of what is free found the worker without tasks.
    bool idle = false;
    int gained = 0;
    int lost_control = 0;
    int running = 0;
    int ended = 0;
    int refused = 0;
    std::vector<task_loss> losses;
    bool record_at_once = true;
    std::function<void()> record;
};

class session_bench
{
public:
    session_bench()
    {
        instance info;
        info.id = "w01";
        this->session = std::make_unique<worker_session>(this->loop,
            this->worker, info, this->leases, "owner", this->events);
    }

    void pass(milliseconds span)
    {
        for (auto done = milliseconds(0); done < span; done += milliseconds(50))
        {
            this->time.advance(milliseconds(50));
            this->loop.run_ready();
            this->worker.deliver();
        }
    }

    void start(std::string const& id)
    {
        task_start task;
        task.id = id;
        task.job_id = "job";
        task.need = {1000, 1000, 0};
        this->session->start(task);
    }

    /// Gains control of the worker and starts a task there.
    void start_first(std::string const& id)
    {
        this->session->set_control_wanted(true);
        this->start(id);
    }

    task_report report(std::string const& id, std::string const& state)
    {
        task_report made;
        made.id = id;
        made.state = state;
        made.need = {1000, 1000, 0};
        return made;
    }

    manual_clock time;
    event_loop loop{this->time};
    fake_worker worker;
    lease_timing leases;
    event_record events;
    std::unique_ptr<worker_session> session;
};

} // namespace

Test(worker_session, control_counts_only_once_the_worker_is_on_record)
{
    session_bench bench;
    bench.events.record_at_once = false;
    bench.session->set_control_wanted(true);
    cr_assert(not bench.session->holds_control());
    bench.events.record();
    cr_assert(bench.session->holds_control());
}

Test(worker_session, control_is_given_up_before_its_lease_is_over)
{
    session_bench bench;
    bench.session->set_control_wanted(true);
    cr_assert(bench.session->holds_control());
    bench.worker.answers = false;
    bench.pass(bench.leases.control_lease - bench.leases.lease_margin);
    cr_assert(not bench.session->holds_control());
}

Test(worker_session, a_silent_workers_task_is_lost_only_after_its_lease)
{
    session_bench bench;
    bench.start_first("t1");
    bench.worker.reports = {bench.report("t1", "running")};
    bench.pass(milliseconds(1000));
    cr_assert(bench.events.running == 1);
    bench.worker.answers = false;
    bench.pass(bench.leases.task_lease - milliseconds(200));
    cr_assert(bench.events.losses.empty());
    bench.pass(bench.leases.lease_margin + milliseconds(500));
    cr_assert(bench.events.losses.size() == 1U);
    cr_assert(bench.events.losses[0] == task_loss::lapsed);
}

Test(worker_session, a_restarted_workers_tasks_are_lost_at_once)
{
    session_bench bench;
    bench.start_first("t1");
    bench.worker.reports = {bench.report("t1", "running")};
    bench.pass(milliseconds(500));
    bench.worker.incarnation = "w-2";
    bench.worker.reports.clear();
    bench.pass(milliseconds(500));
    cr_assert(bench.events.losses.size() == 1U);
    cr_assert(bench.events.losses[0] == task_loss::worker_gone);
}

Test(worker_session, a_start_without_answer_is_sent_again_under_the_same_id)
{
    session_bench bench;
    bench.session->set_control_wanted(true);
    bench.worker.start_answer = worker_answer::in_doubt;
    bench.start("t1");
    bench.pass(milliseconds(1000));
    cr_assert(bench.worker.starts.size() > 1U);
    for (task_start const& each : bench.worker.starts)
    {
        cr_assert(each.id == "t1");
        cr_assert(each.token == bench.worker.starts[0].token);
    }
    cr_assert(bench.events.refused == 0);
}

Test(
    worker_session, a_start_in_doubt_counts_as_refused_only_when_it_cannot_land)
{
    session_bench bench;
    bench.session->set_control_wanted(true);
    bench.worker.start_answer = worker_answer::in_doubt;
    bench.start("t1");
    bench.pass(bench.leases.control_lease);
    cr_assert(bench.events.refused == 0);
    bench.pass(bench.leases.lease_margin + milliseconds(3000));
    cr_assert(bench.events.refused == 1);
    cr_assert(bench.events.losses.empty());
}

Test(worker_session, what_is_given_never_exceeds_what_the_worker_has)
{
    session_bench bench;
    bench.session->set_control_wanted(true);
    resources whole = bench.session->free();
    bench.start("t1");
    bench.start("t2");
    resources two{2000, 2000, 0};
    cr_assert(bench.session->free() == whole - two);
    bench.worker.reports = {
        bench.report("t1", "succeeded"), bench.report("t2", "running")};
    bench.pass(milliseconds(500));
    cr_assert(bench.events.ended == 1);
    resources one{1000, 1000, 0};
    cr_assert(bench.session->free() == whole - one);
}

Test(worker_session, an_end_is_acknowledged_only_when_told_to)
{
    session_bench bench;
    bench.start_first("t1");
    bench.worker.reports = {bench.report("t1", "succeeded")};
    bench.pass(milliseconds(500));
    cr_assert(bench.worker.last_follow.acks.empty());
    bench.session->ack("t1");
    bench.pass(milliseconds(200));
    cr_assert(bench.events.ended == 1);
}

Test(worker_session, a_task_that_a_report_of_changes_leaves_out_runs_on)
{
    session_bench bench;
    bench.start_first("t1");
    bench.worker.version = 3;
    bench.worker.reports = {bench.report("t1", "running")};
    bench.pass(milliseconds(500));
    cr_assert(bench.worker.last_follow.version == 3);
    cr_assert(bench.worker.last_follow.incarnation == "w-1");

    bench.worker.changes_only = true;
    bench.worker.reports.clear();
    bench.pass(milliseconds(2000));

    cr_assert(bench.events.losses.empty());
}

Test(worker_session, a_start_that_no_report_of_changes_tells_of_never_landed)
{
    session_bench bench;
    bench.session->set_control_wanted(true);
    bench.worker.start_answer = worker_answer::in_doubt;
    bench.worker.changes_only = true;
    bench.start("t1");
    bench.pass(bench.leases.control_lease);
    cr_assert(bench.events.refused == 0);
    bench.pass(bench.leases.lease_margin + milliseconds(3000));

    cr_assert(bench.events.refused == 1);
}

Test(worker_session, everything_is_asked_for_again_after_a_missing_answer)
{
    session_bench bench;
    bench.start_first("t1");
    bench.worker.version = 3;
    bench.worker.reports = {bench.report("t1", "running")};
    bench.pass(milliseconds(500));
    bench.worker.answers = false;
    bench.pass(milliseconds(500));

    cr_assert(bench.worker.last_follow.version == 0);
}

Test(worker_session, a_task_that_is_not_known_is_stopped_until_it_is_over)
{
    session_bench bench;
    bench.start_first("t1");
    bench.worker.version = 3;
    bench.worker.reports = {
        bench.report("t1", "running"), bench.report("stray", "running")};
    bench.pass(milliseconds(500));

    cr_assert(bench.worker.stops.size() > 1U);
    cr_assert(bench.worker.last_follow.version == 0);
}

Test(worker_session, a_worker_is_told_to_be_idle_once_its_last_end_is_acked)
{
    session_bench bench;
    bench.start_first("t1");
    bench.worker.reports = {bench.report("t1", "failed")};
    bench.pass(milliseconds(500));
    cr_assert(not bench.events.idle);

    bench.session->ack("t1");

    cr_assert(bench.events.idle);
}

Test(worker_session, a_stop_is_repeated_until_the_task_is_over)
{
    session_bench bench;
    bench.start_first("t");
    bench.session->stop("t", stop_kind::at_checkpoint);
    cr_assert(eq(sz, bench.worker.stops.size(), 1));

    bench.worker.reports = {bench.report("t", "running")};
    bench.pass(milliseconds(2500));
    cr_assert(eq(sz, bench.worker.stops.size(), 3));
    cr_assert(bench.worker.last_stop == stop_kind::at_checkpoint);

    bench.worker.reports[0].state = "stopped";
    bench.pass(milliseconds(3000));
    cr_assert(eq(sz, bench.worker.stops.size(), 3));
}
