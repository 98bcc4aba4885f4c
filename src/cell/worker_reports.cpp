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
    worker_lease& lease, watch_result const& report, time_point asked_at)
{
    std::string id = lease.target().id;
    pool_worker& worker = *this->state.pool.find(id);
    if (worker.life_ms != 0 && report.started_ms != 0 &&
        worker.life_ms != report.started_ms)
    {
        this->begin_new_life(lease);
    }
    worker.life_ms = report.started_ms;
    if (worker.silent)
    {
        worker.silent = false;
        log_line("worker-heard").with("worker", id);
    }
    for (ended_task const& completion : report.ended)
    {
        this->take_end(lease, completion);
    }
    this->reconcile(worker, report, asked_at);
    worker.known = true;
    this->roster.note_reconciled(id);
    this->state.changed();
}

void worker_reports::on_silent(worker_lease& lease, std::string const& problem)
{
    pool_worker& worker = *this->state.pool.find(lease.target().id);
    if (!worker.silent)
    {
        worker.silent = true;
        log_line("worker-silent")
            .with("worker", lease.target().id)
            .with("problem", problem)
            .with("holds", worker.holds.size());
    }
}

void worker_reports::on_lost(worker_lease& lease, std::string const& reason)
{
    std::string id = lease.target().id;
    pool_worker& worker = *this->state.pool.find(id);
    worker.silent = true;
    worker.known = false;
    log_line("worker-lost")
        .with("worker", id)
        .with("reason", reason)
        .with("holds", worker.holds.size());
    this->lose_holds(id, reason, false);
    lease.reset_life();
    this->roster.note_reconciled(id);
    this->state.changed();
}

void worker_reports::on_fenced(worker_lease& lease)
{
    this->state.replaced(
        "worker " + lease.target().id + " has seen a higher fencing token");
}

void worker_reports::begin_new_life(worker_lease& lease)
{
    log_line("worker-restarted").with("worker", lease.target().id);
    lease.reset_life();
    // The new incarnation has seen no stop and no fencing token, so it would
    // carry out a start that was sent to the old one and is still in flight.
    for (auto& [task, allocation] :
        this->state.pool.find(lease.target().id)->holds)
    {
        if (allocation.may_still_start())
        {
            this->orders.send_stop(lease.target().id, task);
        }
    }
    this->lose_holds(lease.target().id, "the worker restarted", true);
}

void worker_reports::lose_holds(
    std::string const& id, std::string const& reason, bool starts_may_arrive)
{
    pool_worker& worker = *this->state.pool.find(id);
    std::vector<task_id> tasks;
    for (auto const& [task, allocation] : worker.holds)
    {
        if (!starts_may_arrive || !allocation.may_still_start())
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

void worker_reports::take_end(worker_lease& lease, ended_task const& completion)
{
    if (completion.number <= lease.last_end())
    {
        return;
    }
    lease.note_end(completion.number);
    std::string const& id = lease.target().id;
    pool_worker& worker = *this->state.pool.find(id);
    auto allocation = worker.holds.find(completion.task);
    if (allocation != worker.holds.end() &&
        allocation->second.run <= completion.run)
    {
        this->orders.free_task(id, completion.task);
    }
    if (this->state.parts.log_decisions)
    {
        log_line("run-ended")
            .with("task", to_string(completion.task))
            .with("run", completion.run)
            .with("worker", id)
            .with("how", name_of(completion.how));
    }
    bool counts = completion.how == run_end::succeeded ||
                  completion.how == run_end::failed;
    if (this->state.board.find(completion.task) == nullptr || !counts)
    {
        lease.settle_end(completion.number);
    }
    if (this->state.board.find(completion.task) != nullptr)
    {
        this->keep_checkpoint(completion);
        this->follow_up(lease, completion, counts);
    }
}

void worker_reports::keep_checkpoint(ended_task const& completion)
{
    if (completion.checkpoint.empty())
    {
        return;
    }
    board_step& step = *this->state.board.find(completion.task.step);
    if (!step.spec->gang)
    {
        step.tasks[completion.task.index].checkpoint = completion.checkpoint;
        return;
    }
    // The checkpoint of one member is valid for the whole gang.
    for (board_task& task : step.tasks)
    {
        task.checkpoint = completion.checkpoint;
    }
}

void worker_reports::follow_up(
    worker_lease& lease, ended_task const& completion, bool counts)
{
    end_effect effect;
    if (counts)
    {
        time_point now = this->state.parts.loop.now();
        this->state.pool.note_outcome(
            lease.target().id, completion.how == run_end::succeeded, now);
        effect = this->state.board.ended(
            completion.task, completion.run, completion.how, now);
        this->record_end(lease, completion, effect.job_ended);
    }
    if (effect.job_ended)
    {
        this->end_job(completion.task.step.job);
    }
    else if (completion.how != run_end::succeeded)
    {
        this->orders.break_gang(completion.task.step);
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
    worker_lease& lease, ended_task const& completion, bool job_ended)
{
    if (job_ended)
    {
        this->state.board.find(completion.task.step.job)->durable = false;
    }
    this->journal.append({completion.task, completion.run, completion.how},
        [this, worker = lease.target().id, number = completion.number,
            job = completion.task.step.job, job_ended]
        {
            board_job* found = this->state.board.find(job);
            if (job_ended && found != nullptr)
            {
                found->durable = true;
            }
            worker_lease* current = this->roster.find_lease(worker);
            if (current != nullptr)
            {
                current->settle_end(number);
            }
        });
}

void worker_reports::reconcile(
    pool_worker& worker, watch_result const& report, time_point asked_at)
{
    std::set<task_id> reported;
    for (running_task const& running : report.running)
    {
        reported.insert(running.task);
        auto allocation = worker.holds.find(running.task);
        if (allocation == worker.holds.end())
        {
            this->adopt(worker, running);
            continue;
        }
        if (allocation->second.phase == hold_phase::starting &&
            allocation->second.run == running.run)
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
    std::vector<task_id> missing;
    for (auto const& [task, allocation] : worker.holds)
    {
        if (!reported.contains(task) && allocation.confirmed &&
            allocation.confirmed_at < asked_at)
        {
            missing.push_back(task);
        }
    }
    for (task_id const& task : missing)
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
    bool keep_run = task != nullptr && job->open() && task->waits() &&
                    running.run >= task->run;
    room_hold allocation;
    allocation.run = running.run;
    allocation.phase = hold_phase::running;
    allocation.confirmed = true;
    allocation.confirmed_at = this->state.parts.loop.now();
    if (step != nullptr)
    {
        allocation.need = step->spec->room();
    }
    this->state.pool.hold(worker, running.task, allocation, true);
    log_line("run-found")
        .with("task", to_string(running.task))
        .with("run", running.run)
        .with("worker", worker.entry.id)
        .with("kept", keep_run ? 1 : 0);
    if (!keep_run)
    {
        this->orders.send_stop(worker.entry.id, running.task);
        return;
    }
    this->state.board.note_begun(*job);
    job->state = work_state::running;
    this->state.board.placed(running.task, running.run, worker.entry.id);
}

} // namespace toucanlever
