#include "toucanlever/cell/worker_reports.hpp"

#include "toucanlever/cell/job_objective.hpp"
#include "toucanlever/core/log.hpp"
#include "toucanlever/core/metrics.hpp"

#include <algorithm>
#include <set>

namespace toucanlever
{

worker_reports::worker_reports(dispatch_state& state, worker_roster& roster,
    task_orders& orders, completion_journal& journal,
    std::function<void(std::string const&)> on_end_durable)
    : state(state)
    , roster(roster)
    , orders(orders)
    , journal(journal)
    , on_end_durable(std::move(on_end_durable))
    , monitor(state, orders)
{
}

void worker_reports::on_report(
    worker_lease& lease, watch_result const& report, time_point asked_at)
{
    std::string id = lease.target().id;
    pool_worker& worker = *this->state.pool.find(id);
    if (worker.incarnation_ms != 0 && report.started_ms != 0 &&
        worker.incarnation_ms != report.started_ms)
    {
        this->handle_restart(lease, report, asked_at);
    }
    else if (this->roster.is_unheard(id))
    {
        // It may have restarted since the earlier scheduler heard it, too.
        lease.assume_earlier_grants();
    }
    if (report.started_ms != 0)
    {
        worker.incarnation_ms = report.started_ms;
    }
    if (worker.silent)
    {
        this->forget_unsettled_starts(id);
        worker.silent = false;
        worker.history.forget_progress();
        log_line("worker-heard").with("worker", id);
    }
    for (completed_run const& completion : report.completions)
    {
        this->handle_completion(lease, completion);
    }
    for (running_task const& running : report.running)
    {
        this->note_given_up_run(lease, running.task, running.run, "running");
    }
    if (report.all_completions)
    {
        worker.given_up.clear();
    }
    this->reconcile(worker, report, asked_at);
    this->drop_runs_of_absent_jobs(worker);
    this->monitor.on_report(worker, report);
    if (report.all_completions)
    {
        worker.reconciled = true;
        this->roster.note_reconciled(id);
    }
    this->state.on_work_changed();
}

void worker_reports::on_unresponsive(
    worker_lease& lease, std::string const& problem)
{
    pool_worker& worker = *this->state.pool.find(lease.target().id);
    if (!worker.silent)
    {
        worker.silent = true;
        worker.silent_since = this->state.dependencies.loop.now();
        if (!worker.entry.leaving)
        {
            this->evidence.record(this->outage_of(worker));
        }
        log_line("worker-silent")
            .with("worker", lease.target().id)
            .with("problem", problem)
            .with("holds", worker.allocations.size());
    }
}

void worker_reports::on_lost(
    worker_lease& lease, loss_cause cause, std::string const& reason)
{
    std::string id = lease.target().id;
    pool_worker& worker = *this->state.pool.find(id);
    if (!worker.silent)
    {
        worker.silent = true;
        worker.silent_since = this->state.dependencies.loop.now();
    }
    worker.reconciled = false;
    log_line("worker-lost")
        .with("worker", id)
        .with("incarnation", worker.incarnation_ms)
        .with("reason", reason)
        .with("clock_ms", lease.reported_clock_ms())
        .with("lease_ms", lease.expired_lease_ms())
        .with("holds", worker.allocations.size());
    bool crashed = cause == loss_cause::other_incarnation;
    if (crashed)
    {
        this->record_crash(id, false, {});
    }
    // A worker with another id at the address carries out no order to this one.
    time_point now = this->state.dependencies.loop.now();
    this->release_lost_allocations(id, reason, cause,
        [crashed, now, &lease](task_allocation const& allocation)
        { return !crashed && now < may_run_until(lease, allocation); });
    this->forget_unsettled_starts(id);
    for (auto const& [task, allocation] : worker.allocations)
    {
        this->unsettled_starts.push_back(
            {id, task, allocation.run, may_run_until(lease, allocation)});
    }
    lease.reset_incarnation();
    this->monitor.forget(worker);
    this->roster.note_reconciled(id);
    this->state.on_work_changed();
}

void worker_reports::on_fenced(worker_lease& lease)
{
    this->state.on_replaced(
        "worker " + lease.target().id + " has seen a higher fencing token");
}

void worker_reports::handle_restart(
    worker_lease& lease, watch_result const& report, time_point asked_at)
{
    log_line("worker-restarted")
        .with("worker", lease.target().id)
        .with("incarnation", report.started_ms)
        .with("last_completion", lease.last_completion_number())
        .with("acknowledged", lease.acknowledged_number());
    lease.reset_incarnation();
    this->monitor.forget(*this->state.pool.find(lease.target().id));
    // The numbers of the new incarnation begin at 1.
    lease.expect_completion(1);
    std::set<std::pair<task_id, std::uint64_t>> started_since;
    for (running_task const& running : report.running)
    {
        started_since.emplace(running.task, running.run);
    }
    for (completed_run const& completion : report.completions)
    {
        started_since.emplace(completion.task, completion.run);
    }
    // The next incarnation may have confirmed a start after it had answered the
    // poll.
    auto is_newer_than_report = [asked_at](task_allocation const& allocation)
    { return allocation.start_confirmed_at >= asked_at; };
    pool_worker& worker = *this->state.pool.find(lease.target().id);
    for (auto const& [task, allocation] : worker.allocations)
    {
        if (is_newer_than_report(allocation))
        {
            started_since.emplace(task, allocation.run);
        }
    }
    this->record_crash(lease.target().id, true, started_since);
    // Until it sees the raised fencing token, the new incarnation carries out
    // orders that were sent to the old one and are still in flight.
    lease.assume_earlier_grants();
    // Its first report may list what an earlier scheduler started.
    worker.reconciled = false;
    for (auto& [task, allocation] : worker.allocations)
    {
        allocation.on_known_incarnation = false;
        if (allocation.may_still_start())
        {
            this->orders.send_stop(lease.target().id, task);
        }
    }
    this->release_lost_allocations(lease.target().id, "the worker restarted",
        loss_cause::other_incarnation,
        [&is_newer_than_report](task_allocation const& allocation) {
            return allocation.may_still_start() ||
                   is_newer_than_report(allocation);
        });
    this->orders.bar_late_starts(lease.target().id);
}

void worker_reports::release_lost_allocations(std::string const& id,
    std::string const& reason, loss_cause cause,
    std::function<bool(task_allocation const&)> const& keeps)
{
    pool_worker& worker = *this->state.pool.find(id);
    std::vector<task_id> tasks;
    for (auto const& [task, allocation] : worker.allocations)
    {
        if (!keeps(allocation))
        {
            tasks.push_back(task);
        }
    }
    for (task_id const& task : tasks)
    {
        if (cause == loss_cause::lease_expired)
        {
            this->give_up_task(id, task, reason);
        }
        else
        {
            this->release_lost_task(id, task, reason);
        }
    }
}

time_point worker_reports::may_run_until(
    worker_lease const& lease, task_allocation const& allocation)
{
    time_point latest_start{};
    if (allocation.may_still_start())
    {
        latest_start = allocation.start_sent_at + max_order_delay;
    }
    else if (!allocation.on_known_incarnation)
    {
        latest_start = allocation.start_confirmed_at;
    }
    // The next incarnation accepts no ticket that was issued while an earlier
    // one was up.
    bool is_barred_from_next =
        allocation.has_ticket() &&
        !lease.precedes_known_incarnation(allocation.start_token) &&
        (allocation.on_known_incarnation ||
            lease.has_answered_since(allocation.ticket_received_at));
    if (latest_start == time_point{} || is_barred_from_next)
    {
        return latest_start;
    }
    return lease.next_incarnation_runs_until(
        latest_start, allocation.start_token);
}

void worker_reports::release_lost_task(
    std::string const& worker, task_id const& task, std::string const& reason)
{
    if (this->state.dependencies.log_decisions)
    {
        log_line("task-lost")
            .with("task", to_string(task))
            .with("worker", worker)
            .with("reason", reason);
    }
    metrics().count("tasks_lost");
    this->orders.release_task(worker, task);
    this->orders.stop_broken_gang(task.step);
}

void worker_reports::give_up_task(
    std::string const& worker, task_id const& task, std::string const& reason)
{
    pool_worker& holder = *this->state.pool.find(worker);
    holder.given_up[task] = holder.allocations.at(task).run;
    this->release_lost_task(worker, task, reason);
}

void worker_reports::note_given_up_run(worker_lease const& lease,
    task_id const& task, std::uint64_t run, std::string_view outcome)
{
    pool_worker& worker = *this->state.pool.find(lease.target().id);
    auto given_up = worker.given_up.find(task);
    if (given_up == worker.given_up.end() || given_up->second != run)
    {
        return;
    }
    worker.given_up.erase(given_up);
    registry_task const* entry = this->state.registry.find(task);
    log_line("given-up-run-listed")
        .with("task", to_string(task))
        .with("run", run)
        .with("worker", worker.entry.id)
        .with("incarnation", worker.incarnation_ms)
        .with("outcome", outcome)
        .with("clock_ms", lease.reported_clock_ms())
        .with("expired_lease_ms", lease.expired_lease_ms())
        .with("last_run", entry == nullptr ? 0 : entry->run);
    metrics().count("given_up_runs_listed");
}

void worker_reports::sweep()
{
    this->apply_held_reports();
    this->release_unsettled_starts();
    this->monitor.sweep();
}

void worker_reports::apply_held_reports()
{
    std::set<std::string> held_jobs;
    for (auto const& [job, completions] : this->early_completions)
    {
        held_jobs.insert(job);
    }
    for (auto const& [id, worker] : this->state.pool.all())
    {
        if (worker.unknown_needs == 0)
        {
            continue;
        }
        for (auto const& [task, allocation] : worker.allocations)
        {
            if (!allocation.need_known)
            {
                held_jobs.insert(task.step.job);
            }
        }
    }
    for (std::string const& job : held_jobs)
    {
        if (this->state.registry.find(job) != nullptr)
        {
            this->on_job_known(job);
        }
    }
}

void worker_reports::forget_unsettled_starts(std::string const& worker)
{
    std::erase_if(this->unsettled_starts,
        [&worker](unsettled_start const& start)
        { return start.worker == worker; });
}

void worker_reports::release_unsettled_starts()
{
    time_point now = this->state.dependencies.loop.now();
    std::vector<unsettled_start> starts = std::move(this->unsettled_starts);
    this->unsettled_starts.clear();
    for (unsettled_start const& start : starts)
    {
        pool_worker const* worker = this->state.pool.find(start.worker);
        bool held = worker != nullptr && worker->silent &&
                    this->orders.find_allocation(
                        start.worker, start.task, start.run) != nullptr;
        if (!held)
        {
            continue;
        }
        // A successor may have heard the worker and renewed its lease.
        bool is_over =
            now >= start.until &&
            this->roster.lease(start.worker).was_leader_at(start.until);
        if (!is_over)
        {
            this->unsettled_starts.push_back(start);
        }
        else
        {
            this->give_up_task(start.worker, start.task,
                "its start can no longer be carried out, nor its lease last");
        }
    }
}

std::vector<worker_reports::placed_run> worker_reports::find_suspects(
    pool_worker const& worker, worker_outage const& crash)
{
    std::vector<placed_run> suspects;
    bool any_unseen = false;
    for (auto const& [task, allocation] : worker.allocations)
    {
        if (allocation.may_have_run())
        {
            suspects.emplace_back(task, allocation);
            any_unseen = any_unseen || !allocation.seen_running;
        }
    }
    // A task that crashes workers most likely does so at its start. Those that
    // have outlived theirs are suspects only when there is no other.
    std::erase_if(suspects,
        [this, any_unseen, &crash](placed_run const& each)
        {
            bool has_outlived_start =
                each.second.seen_running &&
                (any_unseen || this->is_long_running(each.first));
            return has_outlived_start || !this->is_evidence(each, crash);
        });
    return suspects;
}

worker_outage worker_reports::outage_of(pool_worker const& worker) const
{
    worker_outage outage;
    outage.worker = worker.entry.id;
    outage.at = worker.silent ? worker.silent_since
                              : this->state.dependencies.loop.now();
    for (auto const& [task, allocation] : worker.allocations)
    {
        if (allocation.may_have_run())
        {
            outage.tasks.insert(task);
        }
    }
    return outage;
}

bool worker_reports::is_evidence(
    placed_run const& run, worker_outage const& crash) const
{
    auto const& [task, allocation] = run;
    if (!allocation.is_known_to_have_run())
    {
        return false;
    }
    registry_step const* step = this->state.registry.find(task.step);
    crash_suspect suspect;
    suspect.task = task;
    suspect.gang = step != nullptr && step->spec->gang;
    if (suspect.gang)
    {
        // The number at its allocation is not known for a run that was found.
        std::set<std::string> workers;
        for (registry_task const& member : step->tasks)
        {
            workers.insert(member.worker);
        }
        suspect.workers = std::max(allocation.workers_of_gang, workers.size());
    }
    bool was_found = allocation.start_sent_at == time_point{};
    suspect.started_at =
        was_found ? allocation.confirmed_at : allocation.start_sent_at;
    return this->evidence.speaks_against(
        suspect, crash, this->state.pool.all().size());
}

void worker_reports::record_crash(std::string const& id, bool starts_may_arrive,
    std::set<std::pair<task_id, std::uint64_t>> const& started_since)
{
    pool_worker const& worker = *this->state.pool.find(id);
    if (worker.entry.leaving)
    {
        // It ends its runs, too.
        return;
    }
    worker_outage const crash = this->outage_of(worker);
    this->evidence.record(crash);
    std::vector<placed_run> suspects = this->find_suspects(worker, crash);
    std::erase_if(suspects,
        [&started_since](placed_run const& each) {
            return started_since.contains({each.first, each.second.run});
        });
    if (suspects.empty())
    {
        return;
    }
    bool isolated = worker.runs_one_job();
    log_line("worker-crashed")
        .with("worker", id)
        .with("suspects", suspects.size())
        .with("isolated", isolated ? 1 : 0);
    metrics().count("worker_crashes");
    for (auto const& [task, allocation] : suspects)
    {
        registry_job const* job = this->state.registry.find(task.step.job);
        registry_task const* entry = this->state.registry.find(task);
        if (entry == nullptr || entry->succeeded || !job->open())
        {
            continue;
        }
        if (!starts_may_arrive || !allocation.may_still_start())
        {
            this->state.pool.release(id, task);
        }
        completion_effect effect = this->state.registry.record_crash(task,
            allocation.run, isolated, this->state.dependencies.loop.now());
        this->append_to_journal(
            {task, allocation.run, run_outcome::worker_crashed, isolated},
            effect.job_ended,
            [this, id, task = task] { this->orders.return_task(id, task); });
        if (effect.job_ended)
        {
            this->on_job_ended(task.step.job);
        }
        this->orders.stop_broken_gang(task.step);
    }
}

bool worker_reports::is_long_running(task_id const& task)
{
    registry_step const* step = this->state.registry.find(task.step);
    return step != nullptr && step->spec->long_running;
}

void worker_reports::handle_completion(
    worker_lease& lease, completed_run const& completion)
{
    if (completion.number <= lease.last_completion_number())
    {
        return;
    }
    std::string const& id = lease.target().id;
    pool_worker& worker = *this->state.pool.find(id);
    if (lease.misses_completions_before(completion.number))
    {
        log_line("completions-missing")
            .with("worker", id)
            .with("incarnation", worker.incarnation_ms)
            .with("last", lease.last_completion_number())
            .with("next", completion.number);
        metrics().count("completion_gaps");
    }
    completion_receipt const receipt = lease.note_completion(completion.number);
    this->monitor.on_completion(worker, completion);
    auto allocation = worker.allocations.find(completion.task);
    bool was_held = allocation != worker.allocations.end() &&
                    !allocation->second.need_known;
    if (allocation != worker.allocations.end() &&
        allocation->second.run <= completion.run)
    {
        this->orders.release_task(id, completion.task);
    }
    this->note_given_up_run(
        lease, completion.task, completion.run, name_of(completion.outcome));
    if (this->state.dependencies.log_decisions)
    {
        log_line("run-ended")
            .with("task", to_string(completion.task))
            .with("run", completion.run)
            .with("worker", id)
            .with("incarnation", worker.incarnation_ms)
            .with("number", completion.number)
            .with("how", name_of(completion.outcome));
    }
    // Only an earlier scheduler can have started a run of a job that is not
    // known yet, and an incarnation of a worker refuses its orders after its
    // first report.
    if (this->may_become_known(completion.task) &&
        (!worker.reconciled || was_held))
    {
        this->early_completions[completion.task.step.job].push_back(
            {id, receipt, completion, this->state.dependencies.loop.now()});
        return;
    }
    this->apply_completion(id, receipt, completion);
}

void worker_reports::keep_checkpoint(completed_run const& completion)
{
    if (completion.checkpoint.empty())
    {
        return;
    }
    registry_step& step = *this->state.registry.find(completion.task.step);
    if (!step.spec->gang)
    {
        step.tasks[completion.task.index].checkpoint = completion.checkpoint;
        return;
    }
    // The checkpoint of one member is valid for the whole gang.
    for (registry_task& task : step.tasks)
    {
        task.checkpoint = completion.checkpoint;
    }
}

void worker_reports::settle_completion(
    std::string const& worker, completion_receipt const& receipt)
{
    if (worker_lease* lease = this->roster.find_lease(worker))
    {
        lease->settle_completion(receipt);
    }
}

void worker_reports::apply_completion(std::string const& worker,
    completion_receipt const& receipt, completed_run const& completion)
{
    bool counts = completion.outcome == run_outcome::succeeded ||
                  completion.outcome == run_outcome::failed;
    bool known = this->state.registry.find(completion.task) != nullptr;
    if (!known || !counts)
    {
        this->settle_completion(worker, receipt);
    }
    if (!known)
    {
        return;
    }
    this->keep_checkpoint(completion);
    completion_effect effect;
    if (counts)
    {
        time_point now = this->state.dependencies.loop.now();
        effect = this->state.registry.record_completion(
            completion.task, completion.run, completion.outcome, now);
        this->note_outcome(worker, completion, now);
        this->record_completion(worker, receipt, completion, effect.job_ended);
        this->note_completed_work(completion, effect);
    }
    if (completion.outcome == run_outcome::succeeded)
    {
        this->orders.release_succeeded(completion.task.step);
    }
    if (effect.job_ended)
    {
        this->on_job_ended(completion.task.step.job);
    }
    else if (completion.outcome != run_outcome::succeeded)
    {
        this->orders.stop_broken_gang(completion.task.step);
    }
}

void worker_reports::note_outcome(
    std::string const& worker, completed_run const& completion, time_point now)
{
    task_id const& task = completion.task;
    if (completion.outcome == run_outcome::succeeded)
    {
        this->state.failures.record_success(worker, task.step, now);
        return;
    }
    this->state.failures.record_failure(worker, task.step, now);
    this->state.registry.mark_failed_on(task, worker);
    if (this->is_long_running(task))
    {
        // Other tasks have a limit of attempts.
        this->state.registry.delay_restart(task, now);
    }
}

void worker_reports::note_completed_work(
    completed_run const& completion, completion_effect const& effect)
{
    if (completion.outcome != run_outcome::succeeded || !effect.current)
    {
        return;
    }
    registry_step const& step =
        *this->state.registry.find(completion.task.step);
    // The success of one task of a gang completes all of them.
    auto tasks =
        static_cast<std::uint32_t>(step.spec->gang ? step.tasks.size() : 1);
    registry_job const& job =
        *this->state.registry.find(completion.task.step.job);
    this->state.forecast.note_completed(job.record.queue.priority, tasks,
        step.spec->capacity_need().cpu_millis, step.spec->estimated_ms);
}

void worker_reports::on_job_ended(std::string const& id)
{
    registry_job const& job = *this->state.registry.find(id);
    std::int64_t after_ms = wall_time_ms() - job.record.accepted_ms;
    log_line("job-ended")
        .with("job", id)
        .with("state", name_of(job.state))
        .with("after_ms", after_ms);
    if (job.record.is_admission_probe && job.state == work_state::succeeded &&
        after_ms <= objective_of(job.record).useful_ms())
    {
        metrics().count("admission_probes_of_use");
    }
    if (job.state == work_state::failed)
    {
        this->orders.stop_job(id);
    }
}

void worker_reports::record_completion(std::string const& worker,
    completion_receipt const& receipt, completed_run const& completion,
    bool job_ended)
{
    this->append_to_journal(
        {completion.task, completion.run, completion.outcome}, job_ended,
        [this, worker, receipt] { this->settle_completion(worker, receipt); });
}

void worker_reports::append_to_journal(
    run_completion const& entry, bool job_ended, std::function<void()> done)
{
    if (job_ended)
    {
        this->state.registry.find(entry.task.step.job)->durable = false;
    }
    this->journal.append(entry,
        [this, job = entry.task.step.job, job_ended, done = std::move(done)]
        {
            registry_job* found = this->state.registry.find(job);
            if (job_ended && found != nullptr)
            {
                found->durable = true;
            }
            done();
            if (job_ended)
            {
                this->on_end_durable(job);
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
        auto allocation = worker.allocations.find(running.task);
        if (allocation == worker.allocations.end())
        {
            this->adopt_run(worker, running);
            continue;
        }
        bool is_same_run = allocation->second.run == running.run;
        allocation->second.seen_running |= is_same_run;
        allocation->second.on_known_incarnation |= is_same_run;
        if (allocation->second.phase == allocation_phase::starting &&
            allocation->second.run == running.run)
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
    // A report that was requested before a run was confirmed may not list it.
    std::vector<task_id> missing;
    for (auto const& [task, allocation] : worker.allocations)
    {
        if (!reported.contains(task) && allocation.confirmed &&
            allocation.confirmed_at < asked_at)
        {
            missing.push_back(task);
        }
    }
    for (task_id const& task : missing)
    {
        task_allocation const& allocation = worker.allocations.at(task);
        log_line("task-not-there")
            .with("task", to_string(task))
            .with("run", allocation.run)
            .with("worker", worker.entry.id)
            .with("incarnation", worker.incarnation_ms)
            .with("phase", name_of(allocation.phase));
        this->orders.release_task(worker.entry.id, task);
        this->orders.stop_broken_gang(task.step);
    }
}

bool worker_reports::may_become_known(task_id const& task) const
{
    registry_job* job = this->state.registry.find(task.step.job);
    if (job == nullptr)
    {
        return true;
    }
    return job->open() && task.step.occurrence < job->record.repetitions &&
           !job->occurrences.contains(task.step.occurrence) &&
           task.step.step < job->record.steps.size() &&
           task.index < job->record.steps[task.step.step].tasks;
}

void worker_reports::adopt_run(pool_worker& worker, running_task const& running)
{
    bool held = this->may_become_known(running.task);
    task_allocation allocation;
    allocation.run = running.run;
    allocation.phase = allocation_phase::running;
    allocation.confirmed = true;
    allocation.confirmed_at = this->state.dependencies.loop.now();
    allocation.seen_running = true;
    allocation.on_known_incarnation = true;
    allocation.need_known = !held;
    this->state.pool.allocate(worker, running.task, allocation, true);
    if (!held || worker.reconciled)
    {
        this->keep_or_stop(worker, running.task);
        return;
    }
    log_line("run-of-unknown-task")
        .with("task", to_string(running.task))
        .with("run", running.run)
        .with("worker", worker.entry.id);
    metrics().count("runs_of_unknown_tasks");
}

void worker_reports::keep_or_stop(pool_worker& worker, task_id const& id)
{
    registry_job* job = this->state.registry.find(id.step.job);
    registry_step* step = this->state.registry.find(id.step);
    registry_task* task = this->state.registry.find(id);
    task_allocation const& allocation = worker.allocations.at(id);
    std::uint64_t run = allocation.run;
    bool stopping = allocation.phase == allocation_phase::stopping;
    if (step != nullptr)
    {
        this->state.pool.set_need(worker, id, step->spec->capacity_need());
        this->state.pool.set_customer(
            worker, id, job->record.customer.name, step->spec->need);
        worker.allocations.at(id).long_running = step->spec->long_running;
        if (step->is_suspect())
        {
            this->state.pool.isolate(worker, id);
        }
    }
    bool waiting = task != nullptr && job->open() && task->is_waiting();
    bool keep_run = waiting && !stopping && run >= task->run;
    log_line("run-found")
        .with("task", to_string(id))
        .with("run", run)
        .with("worker", worker.entry.id)
        .with("kept", keep_run ? 1 : 0);
    if (waiting)
    {
        // Also when the run is stopped: the task waits until the run has ended.
        this->state.registry.mark_placed(id, run, worker.entry.id);
    }
    if (stopping)
    {
        return;
    }
    if (!keep_run)
    {
        this->orders.send_stop(worker.entry.id, id);
        return;
    }
    this->state.registry.mark_started(*job);
    job->state = work_state::running;
}

void worker_reports::on_job_known(std::string const& job)
{
    auto early = this->early_completions.extract(job);
    if (early)
    {
        for (early_completion const& each : early.mapped())
        {
            if (this->may_become_known(each.completion.task))
            {
                this->early_completions[job].push_back(each);
                continue;
            }
            this->apply_completion(each.worker, each.receipt, each.completion);
        }
    }
    for (auto const& [task, worker] : this->state.pool.allocations_of(job))
    {
        pool_worker& holder = *this->state.pool.find(worker);
        if (!holder.allocations.at(task).need_known &&
            !this->may_become_known(task))
        {
            this->keep_or_stop(holder, task);
        }
    }
}

bool worker_reports::is_absent(
    task_id const& task, time_point reported_at) const
{
    if (this->state.registry.find(task.step.job) != nullptr)
    {
        return !this->may_become_known(task);
    }
    return this->state.jobs_read_until() > reported_at;
}

void worker_reports::drop_runs_of_absent_jobs(pool_worker& worker)
{
    std::vector<task_id> absent;
    if (worker.unknown_needs > 0)
    {
        for (auto const& [task, allocation] : worker.allocations)
        {
            if (!allocation.need_known &&
                allocation.phase == allocation_phase::running &&
                this->is_absent(task, allocation.confirmed_at))
            {
                absent.push_back(task);
            }
        }
    }
    for (task_id const& task : absent)
    {
        this->keep_or_stop(worker, task);
    }
    for (auto entry = this->early_completions.begin();
         entry != this->early_completions.end();)
    {
        std::vector<early_completion>& early = entry->second;
        std::erase_if(early,
            [this](early_completion const& each)
            {
                bool is_absent =
                    this->is_absent(each.completion.task, each.reported_at);
                if (is_absent)
                {
                    this->settle_completion(each.worker, each.receipt);
                }
                return is_absent;
            });
        entry = early.empty() ? this->early_completions.erase(entry)
                              : std::next(entry);
    }
}

} // namespace toucanlever
