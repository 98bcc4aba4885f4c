#include "toucanlever/control/job_controller.hpp"

#include "toucanlever/core/backoff.hpp"
#include "toucanlever/core/ids.hpp"
#include "toucanlever/core/log.hpp"
#include "toucanlever/core/metrics.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

constexpr milliseconds min_retry_delay{100};
constexpr milliseconds max_retry_delay{10000};
constexpr std::chrono::seconds maintenance_period{1};
// Limit on a job's failures that are attributed to suspected workers; further
// ones count against the job.
constexpr std::uint32_t max_blamed_on_workers = 8;
constexpr std::int64_t max_query_wait_ms = 60000;

std::int64_t to_microseconds(time_point at)
{
    return at.time_since_epoch().count();
}

queued_job to_queued(job_record const& job)
{
    queued_job queued;
    queued.id = job.id;
    queued.customer = job.spec.customer;
    queued.name = job.spec.name;
    queued.kind = job.spec.kind;
    queued.need = job.spec.need;
    queued.tasks = job.spec.tasks;
    queued.urgent = job.spec.urgent;
    queued.queued_at_us = to_microseconds(job.accepted_at);
    if (job.spec.deadline_ms > 0)
    {
        queued.deadline_us =
            to_microseconds(job.accepted_at) + job.spec.deadline_ms * 1000;
    }
    return queued;
}

bool is_preemptible(job_spec const& spec)
{
    return spec.kind == job_kind::batch && spec.idempotent && !spec.urgent;
}

error not_found(std::string const& id)
{
    return error(error_code::not_found, "no such job: " + id, "find-job");
}

} // namespace

job_controller::job_controller(event_loop& loop, std::string incarnation,
    journal& log, worker_registry& workers, worker_health& health,
    placement_controller& placement, configuration_controller& configuration,
    job_limits limits)
    : loop(loop)
    , incarnation(std::move(incarnation))
    , log(log)
    , workers(workers)
    , health(health)
    , placement(placement)
    , limits(limits)
    , waiters(loop)
    , jobs(loop.time_source(), limits.ended_retention)
    , admission_check(configuration, this->jobs, limits.max_open_jobs)
    , offer_handler(loop, log, this->jobs, this->waiters, placement,
          [this](std::string const& id)
          { this->enqueue_later(id, milliseconds(0)); })
    , attached_submitters(
          loop, [this](std::string const& id) { return this->withdraw(id); })
{
    placement.set_place([this](placement_decision const& decision,
                            std::vector<std::string> const& chosen)
        { this->place(decision, chosen); });
    placement.set_stop(
        [this](std::string const& id) { this->preempt_job(id); });
    this->timer =
        loop.every(maintenance_period, [this] { this->run_maintenance(); });
}

job_controller::~job_controller()
{
    *this->alive = false;
    this->loop.cancel(this->timer);
}

void job_controller::set_capacities(std::vector<resources> capacities)
{
    this->admission_check.set_capacities(std::move(capacities));
}

/// Drops old records and lets suspected workers be probed when they are due:
/// only the passing of time triggers either.
void job_controller::run_maintenance()
{
    this->jobs.forget_old();
    for (auto const& entry : this->workers.all())
    {
        if (this->health.is_suspected(entry.first))
        {
            this->placement.update_worker(*entry.second);
        }
    }
}

bool job_controller::refuse(
    job_spec const& spec, submit_callback const& done) const
{
    try
    {
        this->admission_check.check(spec);
        return false;
    }
    catch (error const& problem)
    {
        done(problem, {});
        return true;
    }
}

void job_controller::accept(submit_request const& request, submit_callback done)
{
    if (this->refuse(request.spec, done))
    {
        return;
    }
    std::string id = make_job_id(this->incarnation, this->next_sequence++);
    journal_entry entry;
    entry.event = journal_event::accepted;
    entry.job_id = id;
    entry.spec = request.spec;
    key_claim claim;
    if (!request.key.empty())
    {
        claim.row = key_row(request.spec.customer, request.key);
        claim.record.body_hash = request.body_hash;
        claim.record.job_id = id;
    }
    auto arrived = this->loop.now();
    this->log.append_with_key(std::move(entry), std::move(claim),
        [this, id, request, arrived, done](append_result const& result)
        {
            if (result.outcome == append_outcome::durable)
            {
                this->insert_accepted(id, request.spec, arrived);
                done(std::nullopt, submit_reply{id, false});
                return;
            }
            bool same_request = !result.existing.job_id.empty() &&
                                result.existing.body_hash == request.body_hash;
            if (same_request)
            {
                done(std::nullopt, submit_reply{result.existing.job_id, true});
                return;
            }
            done(error(error_code::key_reused,
                     "the key was used for another request", "claim-key"),
                {});
        });
}

void job_controller::accept_attached(
    submit_request const& request, submit_callback done)
{
    if (this->refuse(request.spec, done))
    {
        return;
    }
    std::string id = make_job_id(this->incarnation, this->next_sequence++);
    this->insert_accepted(id, request.spec, this->loop.now()).attached = true;
    this->attached_submitters.add(id, std::move(done));
    this->log.append(this->jobs.entries_of_job(id).front(),
        [this, id](append_result const&)
        {
            if (job_record* job = this->jobs.find(id))
            {
                job->attached = false;
                this->attached_submitters.answer(*job);
            }
        });
}

/// Ends the job as not run if it still waits for free capacity. When a start
/// is in flight, the worker's answer decides instead.
bool job_controller::withdraw(std::string const& id)
{
    if (!this->placement.remove(id))
    {
        return false;
    }
    this->record_end(*this->jobs.find(id), job_state::not_run,
        "no worker had free capacity");
    return true;
}

job_record& job_controller::insert_accepted(
    std::string const& id, job_spec const& spec, time_point arrived)
{
    job_record job;
    job.id = id;
    job.spec = spec;
    job.accepted_at = arrived;
    metrics().count("jobs_accepted");
    job_record& stored = this->jobs.insert(std::move(job));
    this->enqueue(stored);
    return stored;
}

void job_controller::enqueue(job_record& job)
{
    job.state = job_state::queued;
    job.tasks.clear();
    this->placement.enqueue(to_queued(job));
}

void job_controller::place(
    placement_decision const& decision, std::vector<std::string> const& chosen)
{
    job_record* job = this->jobs.find(decision.job.id);
    if (job == nullptr)
    {
        return;
    }
    job->tasks.assign(chosen.size(), job_task{});
    for (std::uint32_t i = 0; i < chosen.size(); ++i)
    {
        job->tasks[i].id = make_task_id(*job, i);
        job->tasks[i].worker = chosen[i];
    }
    for (std::uint32_t i = 0; i < chosen.size(); ++i)
    {
        this->start_task(*job, i, chosen[i]);
    }
}

void job_controller::start_task(
    job_record& job, std::uint32_t index, std::string const& worker_id)
{
    worker_session* worker = this->workers.find(worker_id);
    if (worker == nullptr || !worker->holds_control())
    {
        this->finish_task(job, job.tasks[index], task_status::refused);
        return;
    }
    task_start start;
    start.id = job.tasks[index].id;
    start.job_id = job.id;
    start.attempt = job.attempt;
    start.index = index;
    start.need = job.spec.need;
    start.name = job.spec.name;
    start.run_ms = job.spec.kind == job_kind::service
                       ? 0
                       : std::max<std::int64_t>(job.spec.declared_run_ms, 1);
    start.input = job.spec.input;
    start.checkpoint = job.checkpoint;
    if (job.attached)
    {
        start.record = nlohmann::json(job.spec).dump();
    }
    worker->start(std::move(start));
    this->placement.update_worker(*worker);
}

job_task* job_controller::find_task(job_record& job, std::string const& task_id)
{
    auto found = std::find_if(job.tasks.begin(), job.tasks.end(),
        [&task_id](job_task const& task) { return task.id == task_id; });
    return found == job.tasks.end() ? nullptr : &*found;
}

void job_controller::on_task_running(
    worker_session& worker, tracked_task const& tracked)
{
    job_record* job = this->jobs.find(tracked.job_id);
    job_task* task =
        job == nullptr ? nullptr : this->find_task(*job, tracked.id);
    if (task == nullptr || is_over(task->status))
    {
        return;
    }
    task->status = task_status::running;
    if (summarise_attempt(*job).unfinished < job->tasks.size())
    {
        // Another task of the gang ended before this one was confirmed.
        this->stop_running_tasks(*job);
        return;
    }
    bool all_running = std::all_of(job->tasks.begin(), job->tasks.end(),
        [](job_task const& each)
        { return each.status == task_status::running; });
    if (!all_running)
    {
        return;
    }
    job->state = job_state::running;
    job->worker = worker.info().id;
    this->attached_submitters.answer(*job);
    if (is_preemptible(job->spec))
    {
        this->placement.track(*job);
    }
    if (job->waited_ms < 0)
    {
        auto waited = this->loop.now() - job->accepted_at;
        job->waited_ms =
            std::chrono::duration_cast<milliseconds>(waited).count();
        metrics().observe("job_wait_ms", job->waited_ms);
        metrics().count("jobs_started");
    }
    if (job->cancel_requested)
    {
        this->stop_running_tasks(*job);
    }
}

void job_controller::on_task_ended(
    worker_session& worker, task_report const& report)
{
    job_record* job = this->jobs.find(report.job_id);
    job_task* task =
        job == nullptr ? nullptr : this->find_task(*job, report.id);
    if (task == nullptr || is_over(task->status))
    {
        worker.ack(report.id);
        return;
    }
    task->needs_ack = true;
    if (report.state == "succeeded")
    {
        if (job->result.empty())
        {
            job->result = report.result;
        }
        if (this->health.record_success(task->worker))
        {
            log_line("worker-restored").with("worker", task->worker);
        }
    }
    if (!report.checkpoint.empty())
    {
        job->checkpoint = report.checkpoint;
    }
    if (report.state == "failed")
    {
        job->reason = report.reason;
        this->count_failure(*job, task->worker);
    }
    this->placement.update_worker(worker);
    this->finish_task(*job, *task, task_status_from_report(report.state));
}

/// Failures on a suspected worker do not use up a job's attempts, up to a
/// limit: a job that fails everywhere still ends when all workers are
/// suspected.
void job_controller::count_failure(job_record& job, std::string const& worker)
{
    if (this->health.record_failure(worker, job.id))
    {
        ++job.failures;
        return;
    }
    log_line("worker-suspected").with("worker", worker);
    this->placement.delay_probe(worker);
    if (++job.worker_caused_failures > max_blamed_on_workers)
    {
        ++job.failures;
    }
}

void job_controller::on_task_lost(
    worker_session&, tracked_task const& tracked, task_loss loss)
{
    job_record* job = this->jobs.find(tracked.job_id);
    job_task* task =
        job == nullptr ? nullptr : this->find_task(*job, tracked.id);
    if (task != nullptr && !is_over(task->status))
    {
        log_line("task-lost")
            .with("task", tracked.id)
            .with("worker", task->worker)
            .with("reason",
                loss == task_loss::lapsed ? "lease-lapsed" : "worker-gone");
        this->finish_task(*job, *task,
            loss == task_loss::lapsed ? task_status::lapsed
                                      : task_status::lost);
    }
}

void job_controller::on_task_refused(
    worker_session&, tracked_task const& tracked, std::string const& reason)
{
    job_record* job = this->jobs.find(tracked.job_id);
    job_task* task =
        job == nullptr ? nullptr : this->find_task(*job, tracked.id);
    if (task != nullptr && !is_over(task->status))
    {
        log_line("start-refused")
            .with("task", tracked.id)
            .with("worker", task->worker)
            .with("reason", reason);
        this->finish_task(*job, *task, task_status::refused);
    }
}

void job_controller::finish_task(
    job_record& job, job_task& task, task_status status)
{
    task.status = status;
    if (std::all_of(job.tasks.begin(), job.tasks.end(),
            [](job_task const& each) { return is_over(each.status); }))
    {
        this->conclude_attempt(job);
        return;
    }
    if (status != task_status::succeeded)
    {
        // Either all tasks of a gang run or none.
        this->stop_running_tasks(job);
    }
}

void job_controller::stop_running_tasks(job_record& job, stop_kind how)
{
    for (job_task const& task : job.tasks)
    {
        worker_session* worker = this->workers.find(task.worker);
        if (!is_over(task.status) && worker != nullptr)
        {
            worker->stop(task.id, how);
        }
    }
}

void job_controller::conclude_attempt(job_record& job)
{
    if (is_terminal(job.state) || job.recording)
    {
        return;
    }
    resources total_need{};
    for (std::size_t i = 0; i < job.tasks.size(); ++i)
    {
        total_need += job.spec.need;
    }
    this->placement.remove_usage(job.spec.customer, total_need);
    this->placement.untrack(job.id);
    attempt_summary task_counts = summarise_attempt(job);
    bool started = task_counts.refused < job.tasks.size();
    if (task_counts.succeeded == job.tasks.size())
    {
        this->record_end(job, job_state::succeeded, "");
        return;
    }
    if (job.cancel_requested)
    {
        this->record_end(
            job, job_state::cancelled, "cancelled by its customer");
        return;
    }
    if (!started)
    {
        ++job.refused_placements;
        job.state = job_state::queued;
        job.tasks.clear();
        this->enqueue_later(
            job.id, backoff_delay(0, min_retry_delay, max_retry_delay));
        return;
    }
    if (!job.spec.idempotent)
    {
        bool outcome_known = task_counts.lost == 0;
        this->record_end(job,
            outcome_known ? job_state::failed : job_state::unknown,
            outcome_known ? job.reason : "its worker was lost while it ran");
        return;
    }
    if (job.failures >= this->limits.max_attempts)
    {
        this->record_end(job, job_state::failed, job.reason);
        return;
    }
    std::string cause = task_counts.lost > 0 ? "worker lost" : "attempt failed";
    this->retry(job, job.preempted ? "preempted for other work" : cause);
}

void job_controller::retry(job_record& job, std::string const& reason)
{
    job.recording = true;
    journal_entry entry;
    entry.event = journal_event::attempt;
    entry.job_id = job.id;
    entry.attempt = job.attempt + 1;
    entry.checkpoint = job.checkpoint;
    log_line("job-retry")
        .with("job", job.id)
        .with("attempt", entry.attempt)
        .with("reason", reason)
        .with("checkpoint", job.checkpoint);
    metrics().count("jobs_retried");
    std::string id = job.id;
    this->log.append(std::move(entry),
        [this, id](append_result const&)
        {
            job_record* current = this->jobs.find(id);
            if (current == nullptr)
            {
                return;
            }
            this->ack_tasks(*current);
            ++current->attempt;
            current->refused_placements = 0;
            current->recording = false;
            current->preempted = false;
            current->state = job_state::queued;
            current->tasks.clear();
            if (current->cancel_requested)
            {
                this->record_end(*current, job_state::cancelled,
                    "cancelled by its customer");
                return;
            }
            this->enqueue_later(
                id, backoff_delay(static_cast<int>(current->failures),
                        min_retry_delay, max_retry_delay));
        });
}

void job_controller::enqueue_later(std::string const& id, milliseconds delay)
{
    auto still_alive = this->alive;
    this->loop.after(delay,
        [this, still_alive, id]
        {
            job_record* waiting = *still_alive ? this->jobs.find(id) : nullptr;
            if (waiting == nullptr || waiting->recording ||
                waiting->state != job_state::queued)
            {
                return;
            }
            if (waiting->cancel_requested)
            {
                this->record_end(*waiting, job_state::cancelled,
                    "cancelled while it waited");
                return;
            }
            this->enqueue(*waiting);
        });
}

void job_controller::record_end(
    job_record& job, job_state state, std::string const& reason)
{
    job.recording = true;
    std::string id = job.id;
    this->log.append(ended_entry(job, state, reason),
        [this, id, state, reason](append_result const&)
        {
            job_record* current = this->jobs.find(id);
            if (current == nullptr)
            {
                return;
            }
            current->state = state;
            current->reason = reason;
            current->recording = false;
            this->on_end_recorded(id);
        });
}

void job_controller::on_end_recorded(std::string const& id)
{
    job_record& job = *this->jobs.find(id);
    if (job.state != job_state::succeeded)
    {
        job.result.clear();
    }
    this->ack_tasks(job);
    job.tasks.clear();
    job.spec.input.clear();
    this->jobs.close(job);
    metrics().count("jobs_ended");
    log_line("job-ended")
        .with("job", id)
        .with("customer", job.spec.customer)
        .with("state", name_of(job.state))
        .with("worker", job.worker)
        .with("waited_ms", job.waited_ms)
        .with("reason", job.reason);
    this->waiters.answer(make_job_view(job));
}

void job_controller::ack_tasks(job_record& job)
{
    for (job_task const& task : job.tasks)
    {
        worker_session* worker = this->workers.find(task.worker);
        if (task.needs_ack && worker != nullptr)
        {
            worker->ack(task.id);
        }
    }
}

job_record* job_controller::find_visible(job_request const& request)
{
    job_record* job = this->jobs.find(request.job_id);
    bool visible =
        job != nullptr &&
        (request.customer.empty() || request.customer == job->spec.customer);
    return visible ? job : nullptr;
}

void job_controller::query(job_request const& request, view_callback done)
{
    job_record* job = this->find_visible(request);
    if (job == nullptr)
    {
        done(not_found(request.job_id), {});
        return;
    }
    bool settled = is_terminal(job->state) || !job->moved_to.empty();
    if (settled || request.wait_ms <= 0)
    {
        done(std::nullopt, make_job_view(*job));
        return;
    }
    std::string id = job->id;
    milliseconds wait(std::min(request.wait_ms, max_query_wait_ms));
    this->waiters.add(
        id, wait, [done](job_view const& view) { done(std::nullopt, view); },
        [this, id] { return this->view(id); });
}

std::optional<job_view> job_controller::view(std::string const& job_id)
{
    job_record const* job = this->jobs.find(job_id);
    return job == nullptr ? std::nullopt : std::optional(make_job_view(*job));
}

void job_controller::cancel(job_request const& request, view_callback done)
{
    job_record* job = this->find_visible(request);
    if (job == nullptr)
    {
        done(not_found(request.job_id), {});
        return;
    }
    if (!is_terminal(job->state) && job->moved_to.empty())
    {
        job->cancel_requested = true;
        if (this->placement.remove(job->id))
        {
            this->record_end(
                *job, job_state::cancelled, "cancelled while it waited");
        }
        else
        {
            this->stop_running_tasks(*job);
        }
    }
    this->query(request, std::move(done));
}

bool job_controller::adopt(
    job_record job, std::set<std::string> const& served_before)
{
    job.accepted_at = this->loop.now();
    return this->jobs.adopt(std::move(job), served_before);
}

bool job_controller::adopt_record(task_report const& report)
{
    auto spec = nlohmann::json::parse(report.record, nullptr, false);
    if (this->jobs.find(report.job_id) != nullptr || !spec.is_object())
    {
        return false;
    }
    job_record job;
    job.id = report.job_id;
    job.spec = spec.get<job_spec>();
    job.attempt = report.attempt;
    return this->adopt(std::move(job), {});
}

void job_controller::adopt_task(
    worker_session& worker, task_report const& report)
{
    job_record* job = this->jobs.find(report.job_id);
    bool current = job != nullptr && !is_terminal(job->state) &&
                   job->moved_to.empty() && !job->recording &&
                   report.attempt == job->attempt;
    if (!current)
    {
        // The task belongs to an ended job or an abandoned attempt: the
        // session stops or acknowledges it on the next report.
        return;
    }
    bool first = job->tasks.empty();
    if (first)
    {
        job->tasks.assign(job->spec.tasks, job_task{});
        for (std::uint32_t i = 0; i < job->spec.tasks; ++i)
        {
            job->tasks[i].id = make_task_id(*job, i);
            this->placement.add_usage(job->spec.customer, job->spec.need);
        }
    }
    if (report.index >= job->tasks.size())
    {
        return;
    }
    job_task& task = job->tasks[report.index];
    if (!task.worker.empty())
    {
        // Already known: a worker reports all tasks that this incarnation owns,
        // not only those that it has just taken over.
        return;
    }
    task.id = report.id;
    task.worker = worker.info().id;
    task.status = task_status::running;
    job->worker = task.worker;
    job->state = job_state::running;
    worker.adopt(report);
    if (is_preemptible(job->spec))
    {
        this->placement.track(*job);
    }
}

void job_controller::resolve_unreported(
    std::set<std::string> const& ids, bool certainly_not_started)
{
    for (std::string const& id : ids)
    {
        job_record* job = this->jobs.find(id);
        bool undecided = job != nullptr && !is_terminal(job->state) &&
                         !job->recording && job->tasks.empty() &&
                         job->moved_to.empty();
        if (undecided && (certainly_not_started || job->spec.idempotent))
        {
            // The predecessor may have started this attempt on a worker that
            // was removed: the next attempt needs a number of its own.
            this->retry(*job, "taken over");
        }
        else if (undecided)
        {
            this->record_end(*job, job_state::unknown,
                "a worker that may have run it was lost");
        }
        else if (job != nullptr)
        {
            this->mark_unreported_lost(*job);
        }
    }
}

void job_controller::preempt_job(std::string const& id)
{
    job_record* job = this->jobs.find(id);
    if (job != nullptr && job->state == job_state::running)
    {
        job->preempted = true;
        this->stop_running_tasks(*job, stop_kind::at_checkpoint);
    }
}

void job_controller::mark_unreported_lost(job_record& job)
{
    // By index: concluding the attempt clears the list of tasks.
    for (std::size_t i = 0; i < job.tasks.size(); ++i)
    {
        job_task& task = job.tasks[i];
        if (task.worker.empty() && !is_over(task.status))
        {
            this->finish_task(job, task, task_status::lost);
        }
    }
}

void job_controller::on_control_gained(worker_session& worker)
{
    this->placement.update_worker(worker);
}

void job_controller::on_control_lost(worker_session& worker)
{
    this->placement.update_worker(worker);
}

void job_controller::on_free_changed(worker_session& worker)
{
    this->placement.update_worker(worker);
}

void job_controller::record_worker(std::string const& worker,
    std::string const& worker_incarnation, std::function<void()> recorded)
{
    journal_entry entry;
    entry.event = journal_event::worker_seen;
    entry.worker = worker;
    entry.worker_incarnation = worker_incarnation;
    this->log.append(
        std::move(entry), [recorded](append_result const&) { recorded(); });
}

std::string job_controller::explain(std::string const& job_id) const
{
    job_record const* job = this->jobs.find(job_id);
    if (job == nullptr)
    {
        return "unknown to this scheduler";
    }
    std::string text = explain_job(*job);
    return text.empty() ? "waits: " + this->placement.explain(job_id) : text;
}

} // namespace toucanlever
