#include "toucanlever/cell/worker_reports.hpp"

#include "toucanlever/core/log.hpp"
#include "toucanlever/core/metrics.hpp"

#include <set>

namespace toucanlever
{

worker_reports::worker_reports(dispatch_state& state, worker_roster& roster,
    task_orders& orders, completion_journal& journal)
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
    if (worker.incarnation_ms != 0 && report.started_ms != 0 &&
        worker.incarnation_ms != report.started_ms)
    {
        this->handle_restart(watch);
    }
    worker.incarnation_ms = report.started_ms;
    if (worker.silent)
    {
        worker.silent = false;
        log_line("worker-heard").with("worker", id);
    }
    for (completed_run const& end : report.completions)
    {
        this->handle_completion(watch, end);
    }
    this->reconcile(worker, report, asked_at);
    worker.reconciled = true;
    this->roster.note_reconciled(id);
    this->state.on_work_changed();
}

void worker_reports::on_unresponsive(
    worker_lease& watch, std::string const& problem)
{
    pool_worker& worker = *this->state.pool.find(watch.target().id);
    if (!worker.silent)
    {
        worker.silent = true;
        log_line("worker-silent")
            .with("worker", watch.target().id)
            .with("problem", problem)
            .with("holds", worker.allocations.size());
    }
}

void worker_reports::on_lost(worker_lease& watch, std::string const& reason)
{
    std::string id = watch.target().id;
    pool_worker& worker = *this->state.pool.find(id);
    worker.silent = true;
    worker.reconciled = false;
    log_line("worker-lost")
        .with("worker", id)
        .with("reason", reason)
        .with("holds", worker.allocations.size());
    this->release_lost_allocations(id, reason, false);
    watch.reset_incarnation();
    this->roster.note_reconciled(id);
    this->state.on_work_changed();
}

void worker_reports::on_fenced(worker_lease& watch)
{
    this->state.on_replaced(
        "worker " + watch.target().id + " obeys a later scheduler");
}

void worker_reports::handle_restart(worker_lease& watch)
{
    log_line("worker-restarted").with("worker", watch.target().id);
    watch.reset_incarnation();
    // The new life knows of no stop and no fencing token: a start on its way
    // to the old one would be carried out there.
    for (auto& [task, hold] :
        this->state.pool.find(watch.target().id)->allocations)
    {
        if (hold.may_still_start())
        {
            this->orders.send_stop(watch.target().id, task);
        }
    }
    this->release_lost_allocations(
        watch.target().id, "the worker began anew", true);
}

void worker_reports::release_lost_allocations(
    std::string const& id, std::string const& reason, bool starts_may_arrive)
{
    pool_worker& worker = *this->state.pool.find(id);
    std::vector<task_id> tasks;
    for (auto const& [task, hold] : worker.allocations)
    {
        if (!starts_may_arrive || !hold.may_still_start())
        {
            tasks.push_back(task);
        }
    }
    for (task_id const& task : tasks)
    {
        if (this->state.dependencies.log_decisions)
        {
            log_line("task-lost")
                .with("task", to_string(task))
                .with("worker", id)
                .with("reason", reason);
        }
        metrics().count("tasks_lost");
        this->orders.release_task(id, task);
        this->orders.stop_broken_gang(task.step);
    }
}

void worker_reports::handle_completion(
    worker_lease& watch, completed_run const& end)
{
    if (end.number <= watch.last_completion_number())
    {
        return;
    }
    watch.note_completion(end.number);
    std::string const& id = watch.target().id;
    pool_worker& worker = *this->state.pool.find(id);
    auto hold = worker.allocations.find(end.task);
    if (hold != worker.allocations.end() && hold->second.run <= end.run)
    {
        this->orders.release_task(id, end.task);
    }
    if (this->state.dependencies.log_decisions)
    {
        log_line("run-ended")
            .with("task", to_string(end.task))
            .with("run", end.run)
            .with("worker", id)
            .with("how", name_of(end.outcome));
    }
    bool counts =
        end.outcome == run_outcome::succeeded || end.outcome == run_outcome::failed;
    if (this->state.registry.find(end.task) == nullptr || !counts)
    {
        watch.settle_completion(end.number);
    }
    if (this->state.registry.find(end.task) != nullptr)
    {
        this->keep_checkpoint(end);
        this->apply_completion(watch, end, counts);
    }
}

void worker_reports::keep_checkpoint(completed_run const& end)
{
    if (end.checkpoint.empty())
    {
        return;
    }
    registry_step& step = *this->state.registry.find(end.task.step);
    if (!step.spec->gang)
    {
        step.tasks[end.task.index].checkpoint = end.checkpoint;
        return;
    }
    // One member's is good for the whole gang.
    for (registry_task& task : step.tasks)
    {
        task.checkpoint = end.checkpoint;
    }
}

void worker_reports::apply_completion(
    worker_lease& watch, completed_run const& end, bool counts)
{
    completion_effect effect;
    if (counts)
    {
        time_point now = this->state.dependencies.loop.now();
        this->state.pool.record_outcome(
            watch.target().id, end.outcome == run_outcome::succeeded, now);
        effect = this->state.registry.record_completion(
            end.task, end.run, end.outcome, now);
        this->record_completion(watch, end, effect.job_ended);
    }
    if (effect.job_ended)
    {
        this->on_job_ended(end.task.step.job);
    }
    else if (end.outcome != run_outcome::succeeded)
    {
        this->orders.stop_broken_gang(end.task.step);
    }
}

void worker_reports::on_job_ended(std::string const& id)
{
    registry_job const& job = *this->state.registry.find(id);
    log_line("job-ended")
        .with("job", id)
        .with("state", name_of(job.state))
        .with("after_ms", wall_time_ms() - job.record.accepted_ms);
    if (job.state == work_state::failed)
    {
        this->orders.stop_job(id);
    }
}

void worker_reports::record_completion(
    worker_lease& watch, completed_run const& end, bool job_ended)
{
    if (job_ended)
    {
        this->state.registry.find(end.task.step.job)->durable = false;
    }
    this->journal.append({end.task, end.run, end.outcome},
        [this, worker = watch.target().id, number = end.number,
            job = end.task.step.job, job_ended]
        {
            registry_job* found = this->state.registry.find(job);
            if (job_ended && found != nullptr)
            {
                found->durable = true;
            }
            worker_lease* lease = this->roster.find_lease(worker);
            if (lease != nullptr)
            {
                lease->settle_completion(number);
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
        auto hold = worker.allocations.find(running.task);
        if (hold == worker.allocations.end())
        {
            this->adopt_run(worker, running);
            continue;
        }
        if (hold->second.phase == allocation_phase::starting &&
            hold->second.run == running.run)
        {
            this->orders.on_start_result(running.task, running.run,
                worker.entry.id, order_result{order_outcome::done, -1, {}});
        }
        registry_task* task = this->state.registry.find(running.task);
        if (task != nullptr && !running.checkpoint.empty())
        {
            task->checkpoint = running.checkpoint;
        }
    }
    if (!report.all_completions)
    {
        return;
    }
    std::vector<task_id> gone;
    for (auto const& [task, hold] : worker.allocations)
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
        this->orders.release_task(worker.entry.id, task);
        this->orders.stop_broken_gang(task.step);
    }
}

void worker_reports::adopt_run(pool_worker& worker, running_task const& running)
{
    registry_job* job = this->state.registry.find(running.task.step.job);
    registry_step* step = this->state.registry.find(running.task.step);
    registry_task* task = this->state.registry.find(running.task);
    bool wanted = task != nullptr && job->open() && task->is_waiting() &&
                  running.run >= task->run;
    task_allocation hold;
    hold.run = running.run;
    hold.phase = allocation_phase::running;
    hold.confirmed = true;
    hold.confirmed_at = this->state.dependencies.loop.now();
    if (step != nullptr)
    {
        hold.need = step->spec->capacity_need();
    }
    this->state.pool.allocate(worker, running.task, hold, true);
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
    this->state.registry.mark_started(*job);
    job->state = work_state::running;
    this->state.registry.mark_placed(
        running.task, running.run, worker.entry.id);
}

} // namespace toucanlever
