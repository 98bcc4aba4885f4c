#include "toucanlever/cell/worker_reports.hpp"

#include "toucanlever/core/log.hpp"
#include "toucanlever/core/metrics.hpp"

#include <set>

namespace toucanlever
{

worker_reports::worker_reports(dispatch_state& state, worker_roster& roster,
    task_orders& orders, end_journal& journal)
    : state(state)
    , roster(roster)
    , orders(orders)
    , journal(journal)
{
}

void worker_reports::on_report(
    worker_lease& watch, watch_result const& report, time_point asked_at)
{
    std::string id = watch.target().id;
    pool_worker& worker = *this->state.pool.find(id);
    if (worker.life_ms != 0 && report.started_ms != 0 &&
        worker.life_ms != report.started_ms)
    {
        this->begin_new_life(watch);
    }
    worker.life_ms = report.started_ms;
    if (worker.silent)
    {
        worker.silent = false;
        log_line("worker-heard").with("worker", id);
    }
    for (ended_task const& end : report.ended)
    {
        this->take_end(watch, end);
    }
    this->reconcile(worker, report, asked_at);
    worker.known = true;
    this->roster.note_reconciled(id);
    this->state.changed();
}

void worker_reports::on_silent(worker_lease& watch, std::string const& problem)
{
    pool_worker& worker = *this->state.pool.find(watch.target().id);
    if (!worker.silent)
    {
        worker.silent = true;
        log_line("worker-silent")
            .with("worker", watch.target().id)
            .with("problem", problem)
            .with("holds", worker.holds.size());
    }
}

void worker_reports::on_lost(worker_lease& watch, std::string const& reason)
{
    std::string id = watch.target().id;
    pool_worker& worker = *this->state.pool.find(id);
    worker.silent = true;
    worker.known = false;
    log_line("worker-lost")
        .with("worker", id)
        .with("reason", reason)
        .with("holds", worker.holds.size());
    this->lose_holds(id, reason, false);
    watch.reset_life();
    this->roster.note_reconciled(id);
    this->state.changed();
}

void worker_reports::on_fenced(worker_lease& watch)
{
    this->state.replaced(
        "worker " + watch.target().id + " obeys a later scheduler");
}

void worker_reports::begin_new_life(worker_lease& watch)
{
    log_line("worker-restarted").with("worker", watch.target().id);
    watch.reset_life();
    // The new life knows of no stop and no fencing token: a start on its way
    // to the old one would be carried out there.
    for (auto& [task, hold] : this->state.pool.find(watch.target().id)->holds)
    {
        if (hold.may_still_start())
        {
            this->orders.send_stop(watch.target().id, task);
        }
    }
    this->lose_holds(watch.target().id, "the worker began anew", true);
}

void worker_reports::lose_holds(
    std::string const& id, std::string const& reason, bool starts_may_arrive)
{
    pool_worker& worker = *this->state.pool.find(id);
    std::vector<task_id> tasks;
    for (auto const& [task, hold] : worker.holds)
    {
        if (!starts_may_arrive || !hold.may_still_start())
        {
            tasks.push_back(task);
        }
    }
    for (task_id const& task : tasks)
    {
        if (this->state.parts.log_decisions)
        {
            log_line("task-lost")
                .with("task", to_string(task))
                .with("worker", id)
                .with("reason", reason);
        }
        metrics().count("tasks_lost");
        this->orders.free_task(id, task);
        this->orders.break_gang(task.step);
    }
}

void worker_reports::take_end(worker_lease& watch, ended_task const& end)
{
    if (end.number <= watch.last_end())
    {
        return;
    }
    watch.note_end(end.number);
    std::string const& id = watch.target().id;
    pool_worker& worker = *this->state.pool.find(id);
    auto hold = worker.holds.find(end.task);
    if (hold != worker.holds.end() && hold->second.run <= end.run)
    {
        this->orders.free_task(id, end.task);
    }
    if (this->state.parts.log_decisions)
    {
        log_line("run-ended")
            .with("task", to_string(end.task))
            .with("run", end.run)
            .with("worker", id)
            .with("how", name_of(end.how));
    }
    bool counts = end.how == run_end::succeeded || end.how == run_end::failed;
    if (this->state.board.find(end.task) == nullptr || !counts)
    {
        watch.settle_end(end.number);
    }
    if (this->state.board.find(end.task) != nullptr)
    {
        this->keep_checkpoint(end);
        this->follow_up(watch, end, counts);
    }
}

void worker_reports::keep_checkpoint(ended_task const& end)
{
    if (end.checkpoint.empty())
    {
        return;
    }
    board_step& step = *this->state.board.find(end.task.step);
    if (!step.spec->gang)
    {
        step.tasks[end.task.index].checkpoint = end.checkpoint;
        return;
    }
    // One member's is good for the whole gang.
    for (board_task& task : step.tasks)
    {
        task.checkpoint = end.checkpoint;
    }
}

void worker_reports::follow_up(
    worker_lease& watch, ended_task const& end, bool counts)
{
    end_effect effect;
    if (counts)
    {
        time_point now = this->state.parts.loop.now();
        this->state.pool.note_outcome(
            watch.target().id, end.how == run_end::succeeded, now);
        effect = this->state.board.ended(end.task, end.run, end.how, now);
        this->record_end(watch, end, effect.job_ended);
    }
    if (effect.job_ended)
    {
        this->end_job(end.task.step.job);
    }
    else if (end.how != run_end::succeeded)
    {
        this->orders.break_gang(end.task.step);
    }
}

void worker_reports::end_job(std::string const& id)
{
    board_job const& job = *this->state.board.find(id);
    log_line("job-ended")
        .with("job", id)
        .with("state", name_of(job.state))
        .with("after_ms", wall_time_ms() - job.record.accepted_ms);
    if (job.state == work_state::failed)
    {
        this->orders.stop_job(id);
    }
}

void worker_reports::record_end(
    worker_lease& watch, ended_task const& end, bool job_ended)
{
    if (job_ended)
    {
        this->state.board.find(end.task.step.job)->durable = false;
    }
    this->journal.append({end.task, end.run, end.how},
        [this, worker = watch.target().id, number = end.number,
            job = end.task.step.job, job_ended]
        {
            board_job* found = this->state.board.find(job);
            if (job_ended && found != nullptr)
            {
                found->durable = true;
            }
            worker_lease* lease = this->roster.find_lease(worker);
            if (lease != nullptr)
            {
                lease->settle_end(number);
            }
        });
}

void worker_reports::reconcile(
    pool_worker& worker, watch_result const& report, time_point asked_at)
{
    std::set<task_id> listed;
    for (running_task const& running : report.running)
    {
        listed.insert(running.task);
        auto hold = worker.holds.find(running.task);
        if (hold == worker.holds.end())
        {
            this->adopt(worker, running);
            continue;
        }
        if (hold->second.phase == hold_phase::starting &&
            hold->second.run == running.run)
        {
            this->orders.on_started(running.task, running.run, worker.entry.id,
                order_result{order_outcome::done, -1, {}});
        }
        board_task* task = this->state.board.find(running.task);
        if (task != nullptr && !running.checkpoint.empty())
        {
            task->checkpoint = running.checkpoint;
        }
    }
    if (!report.all_ends)
    {
        return;
    }
    std::vector<task_id> gone;
    for (auto const& [task, hold] : worker.holds)
    {
        if (!listed.contains(task) && hold.confirmed &&
            hold.confirmed_at < asked_at)
        {
            gone.push_back(task);
        }
    }
    for (task_id const& task : gone)
    {
        log_line("task-not-there")
            .with("task", to_string(task))
            .with("worker", worker.entry.id);
        this->orders.free_task(worker.entry.id, task);
        this->orders.break_gang(task.step);
    }
}

void worker_reports::adopt(pool_worker& worker, running_task const& running)
{
    board_job* job = this->state.board.find(running.task.step.job);
    board_step* step = this->state.board.find(running.task.step);
    board_task* task = this->state.board.find(running.task);
    bool wanted = task != nullptr && job->open() && task->waits() &&
                  running.run >= task->run;
    room_hold hold;
    hold.run = running.run;
    hold.phase = hold_phase::running;
    hold.confirmed = true;
    hold.confirmed_at = this->state.parts.loop.now();
    if (step != nullptr)
    {
        hold.need = step->spec->room();
    }
    this->state.pool.hold(worker, running.task, hold, true);
    log_line("run-found")
        .with("task", to_string(running.task))
        .with("run", running.run)
        .with("worker", worker.entry.id)
        .with("kept", wanted ? 1 : 0);
    if (!wanted)
    {
        this->orders.send_stop(worker.entry.id, running.task);
        return;
    }
    this->state.board.note_begun(*job);
    job->state = work_state::running;
    this->state.board.placed(running.task, running.run, worker.entry.id);
}

} // namespace toucanlever
