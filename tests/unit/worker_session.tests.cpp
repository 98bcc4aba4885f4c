#include "toucanlever/control/worker_session.hpp"

#include "fake_worker.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

class event_recorder final : public worker_events
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

    /// Whether the worker had no tasks at the last change of free capacity.
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

class session_fixture
{
public:
    session_fixture()
    {
        instance info;
        info.id = "w01";
        this->session = std::make_unique<worker_session>(this->loop,
            this->worker, info, this->leases, "owner", this->events);
    }

    void run_for(milliseconds span)
    {
        for (auto elapsed = milliseconds(0); elapsed < span;
             elapsed += milliseconds(50))
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
    void gain_control_and_start(std::string const& id)
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
    event_recorder events;
    std::unique_ptr<worker_session> session;
};

} // namespace

Test(worker_session, control_is_held_only_once_the_worker_is_recorded)
{
    session_fixture fixture;
    fixture.events.record_at_once = false;
    fixture.session->set_control_wanted(true);
    cr_assert(not fixture.session->holds_control());
    fixture.events.record();
    cr_assert(fixture.session->holds_control());
}

Test(worker_session, control_is_given_up_before_its_lease_is_over)
{
    session_fixture fixture;
    fixture.session->set_control_wanted(true);
    cr_assert(fixture.session->holds_control());
    fixture.worker.answers = false;
    fixture.run_for(fixture.leases.control_lease - fixture.leases.lease_margin);
    cr_assert(not fixture.session->holds_control());
}

Test(worker_session, an_unresponsive_workers_task_is_lost_only_after_its_lease)
{
    session_fixture fixture;
    fixture.gain_control_and_start("t1");
    fixture.worker.reports = {fixture.report("t1", "running")};
    fixture.run_for(milliseconds(1000));
    cr_assert(fixture.events.running == 1);
    fixture.worker.answers = false;
    fixture.run_for(fixture.leases.task_lease - milliseconds(200));
    cr_assert(fixture.events.losses.empty());
    fixture.run_for(fixture.leases.lease_margin + milliseconds(500));
    cr_assert(fixture.events.losses.size() == 1U);
    cr_assert(fixture.events.losses[0] == task_loss::lapsed);
}

Test(worker_session, a_restarted_workers_tasks_are_lost_at_once)
{
    session_fixture fixture;
    fixture.gain_control_and_start("t1");
    fixture.worker.reports = {fixture.report("t1", "running")};
    fixture.run_for(milliseconds(500));
    fixture.worker.incarnation = "w-2";
    fixture.worker.reports.clear();
    fixture.run_for(milliseconds(500));
    cr_assert(fixture.events.losses.size() == 1U);
    cr_assert(fixture.events.losses[0] == task_loss::worker_gone);
}

Test(worker_session, a_start_without_answer_is_sent_again_under_the_same_id)
{
    session_fixture fixture;
    fixture.session->set_control_wanted(true);
    fixture.worker.start_answer = worker_answer::in_doubt;
    fixture.start("t1");
    fixture.run_for(milliseconds(1000));
    cr_assert(fixture.worker.starts.size() > 1U);
    for (task_start const& each : fixture.worker.starts)
    {
        cr_assert(each.id == "t1");
        cr_assert(each.token == fixture.worker.starts[0].token);
    }
    cr_assert(fixture.events.refused == 0);
}

Test(worker_session,
    a_start_in_doubt_counts_as_refused_only_when_it_cannot_arrive)
{
    session_fixture fixture;
    fixture.session->set_control_wanted(true);
    fixture.worker.start_answer = worker_answer::in_doubt;
    fixture.start("t1");
    fixture.run_for(fixture.leases.control_lease);
    cr_assert(fixture.events.refused == 0);
    fixture.run_for(fixture.leases.lease_margin + milliseconds(3000));
    cr_assert(fixture.events.refused == 1);
    cr_assert(fixture.events.losses.empty());
}

Test(worker_session, allocations_never_exceed_the_workers_capacity)
{
    session_fixture fixture;
    fixture.session->set_control_wanted(true);
    resources whole = fixture.session->free();
    fixture.start("t1");
    fixture.start("t2");
    resources two{2000, 2000, 0};
    cr_assert(fixture.session->free() == whole - two);
    fixture.worker.reports = {
        fixture.report("t1", "succeeded"), fixture.report("t2", "running")};
    fixture.run_for(milliseconds(500));
    cr_assert(fixture.events.ended == 1);
    resources one{1000, 1000, 0};
    cr_assert(fixture.session->free() == whole - one);
}

Test(worker_session, a_completion_is_acknowledged_only_on_request)
{
    session_fixture fixture;
    fixture.gain_control_and_start("t1");
    fixture.worker.reports = {fixture.report("t1", "succeeded")};
    fixture.run_for(milliseconds(500));
    cr_assert(fixture.worker.last_follow.acks.empty());
    fixture.session->ack("t1");
    fixture.run_for(milliseconds(200));
    cr_assert(fixture.events.ended == 1);
}

Test(worker_session, a_task_missing_from_a_report_of_changes_keeps_running)
{
    session_fixture fixture;
    fixture.gain_control_and_start("t1");
    fixture.worker.version = 3;
    fixture.worker.reports = {fixture.report("t1", "running")};
    fixture.run_for(milliseconds(500));
    cr_assert(fixture.worker.last_follow.version == 3);
    cr_assert(fixture.worker.last_follow.incarnation == "w-1");

    fixture.worker.changes_only = true;
    fixture.worker.reports.clear();
    fixture.run_for(milliseconds(2000));

    cr_assert(fixture.events.losses.empty());
}

Test(worker_session,
    a_start_missing_from_every_report_of_changes_counts_as_refused)
{
    session_fixture fixture;
    fixture.session->set_control_wanted(true);
    fixture.worker.start_answer = worker_answer::in_doubt;
    fixture.worker.changes_only = true;
    fixture.start("t1");
    fixture.run_for(fixture.leases.control_lease);
    cr_assert(fixture.events.refused == 0);
    fixture.run_for(fixture.leases.lease_margin + milliseconds(3000));

    cr_assert(fixture.events.refused == 1);
}

Test(worker_session, a_full_report_is_requested_after_a_missing_answer)
{
    session_fixture fixture;
    fixture.gain_control_and_start("t1");
    fixture.worker.version = 3;
    fixture.worker.reports = {fixture.report("t1", "running")};
    fixture.run_for(milliseconds(500));
    fixture.worker.answers = false;
    fixture.run_for(milliseconds(500));

    cr_assert(fixture.worker.last_follow.version == 0);
}

Test(worker_session, a_task_that_is_not_known_is_stopped_until_it_is_over)
{
    session_fixture fixture;
    fixture.gain_control_and_start("t1");
    fixture.worker.version = 3;
    fixture.worker.reports = {
        fixture.report("t1", "running"), fixture.report("stray", "running")};
    fixture.run_for(milliseconds(500));

    cr_assert(fixture.worker.stops.size() > 1U);
    cr_assert(fixture.worker.last_follow.version == 0);
}

Test(
    worker_session, a_worker_is_reported_idle_once_its_last_completion_is_acked)
{
    session_fixture fixture;
    fixture.gain_control_and_start("t1");
    fixture.worker.reports = {fixture.report("t1", "failed")};
    fixture.run_for(milliseconds(500));
    cr_assert(not fixture.events.idle);

    fixture.session->ack("t1");

    cr_assert(fixture.events.idle);
}

Test(worker_session, a_stop_is_repeated_until_the_task_is_over)
{
    session_fixture fixture;
    fixture.gain_control_and_start("t");
    fixture.session->stop("t", stop_kind::at_checkpoint);
    cr_assert(eq(sz, fixture.worker.stops.size(), 1));

    fixture.worker.reports = {fixture.report("t", "running")};
    fixture.run_for(milliseconds(2500));
    cr_assert(eq(sz, fixture.worker.stops.size(), 3));
    cr_assert(fixture.worker.last_stop == stop_kind::at_checkpoint);

    fixture.worker.reports[0].state = "stopped";
    fixture.run_for(milliseconds(3000));
    cr_assert(eq(sz, fixture.worker.stops.size(), 3));
}
