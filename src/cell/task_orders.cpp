#include "toucanlever/cell/task_orders.hpp"

#include "toucanlever/cell/job_objective.hpp"
#include "toucanlever/core/log.hpp"
#include "toucanlever/core/metrics.hpp"

#include <algorithm>

namespace toucanlever
{

namespace
{

/// A superseded run counts as confirmed: its allocation is released once the
/// worker reports its completion or no longer lists its task.
bool is_confirmation(order_outcome outcome)
{
    return outcome == order_outcome::done ||
           outcome == order_outcome::refused_superseded;
}

/// The worker takes the lease also from a start that it refuses like this.
bool renews_lease(order_outcome outcome)
{
    return is_confirmation(outcome) ||
           outcome == order_outcome::refused_no_capacity;
}

} // namespace

task_orders::task_orders(dispatch_state& state, worker_roster& roster)
    : state(state)
    , roster(roster)
{
}

task_orders::~task_orders()
{
    *this->alive = false;
}

task_allocation* task_orders::find_allocation(
    std::string const& worker, task_id const& task, std::uint64_t run)
{
    pool_worker* pool_entry = this->state.pool.find(worker);
    if (pool_entry == nullptr)
    {
        return nullptr;
    }
    auto found = pool_entry->allocations.find(task);
    bool same =
        found != pool_entry->allocations.end() && found->second.run == run;
    return same ? &found->second : nullptr;
}

void task_orders::release_task(std::string const& worker, task_id const& task)
{
    this->note_late_start(worker, task);
    this->state.pool.release(worker, task);
    this->return_task(worker, task);
}

void task_orders::return_task(std::string const& worker, task_id const& task)
{
    registry_task* entry = this->state.registry.find(task);
    if (entry == nullptr || entry->worker != worker)
    {
        return;
    }
    this->state.registry.mark_unplaced(task);
    // The task waits only once no worker runs it.
    if (std::string const* holder = this->state.pool.find_holder(task))
    {
        this->state.registry.mark_placed(task, 0, *holder);
    }
}

void task_orders::note_late_start(
    std::string const& worker, task_id const& task)
{
    pool_worker* pool_entry = this->state.pool.find(worker);
    if (pool_entry == nullptr)
    {
        return;
    }
    time_point now = this->state.dependencies.loop.now();
    auto found = pool_entry->allocations.find(task);
    if (found == pool_entry->allocations.end() ||
        !found->second.may_still_start() ||
        now >= found->second.start_sent_at + max_order_delay)
    {
        return;
    }
    // A stop of this run bars the earlier runs of the task as well.
    std::erase_if(pool_entry->late_starts,
        [now, &task](late_start const& start) {
            return start.task == task || now >= start.sent_at + max_order_delay;
        });
    pool_entry->late_starts.push_back(
        {task, found->second.run, found->second.need, found->second.customer,
            found->second.use, found->second.start_sent_at});
}

void task_orders::bar_late_starts(std::string const& worker)
{
    pool_worker& pool_entry = *this->state.pool.find(worker);
    std::vector<late_start> const starts = std::move(pool_entry.late_starts);
    pool_entry.late_starts.clear();
    time_point now = this->state.dependencies.loop.now();
    for (late_start const& start : starts)
    {
        if (now >= start.sent_at + max_order_delay ||
            pool_entry.allocations.contains(start.task))
        {
            continue;
        }
        task_allocation allocation;
        allocation.run = start.run;
        allocation.need = start.need;
        allocation.customer = start.customer;
        allocation.use = start.use;
        allocation.phase = allocation_phase::stopping;
        allocation.start_sent_at = start.sent_at;
        allocation.unanswered_orders = 1;
        this->state.pool.allocate(pool_entry, start.task, allocation, true);
        registry_task const* task = this->state.registry.find(start.task);
        if (task != nullptr && task->is_waiting())
        {
            this->state.registry.mark_placed(start.task, start.run, worker);
        }
        this->send_stop(worker, start.task);
    }
}

void task_orders::send_start(
    registry_job& job, registry_step& step, std::uint32_t index)
{
    registry_task const& task = step.tasks[index];
    task_id id{step.id, index};
    std::string worker = task.worker;
    worker_lease& lease = this->roster.lease(worker);
    task_allocation* allocation = this->find_allocation(worker, id, task.run);
    allocation->phase = allocation_phase::starting;
    allocation->start_sent_at = this->state.dependencies.loop.now();
    allocation->start_pending = true;
    start_order order;
    order.task = id;
    order.run = task.run;
    order.payload = job.record.payload;
    order.lease_until_ms = lease.grant_lease();
    order.fencing_token = lease.fencing_token_for_start();
    allocation->start_token = order.fencing_token;
    order.checkpoint = task.checkpoint;
    allocation->resumed = !order.checkpoint.empty();
    auto ticket = step.advice.approved.find(worker);
    if (ticket != step.advice.approved.end())
    {
        order.ticket = ticket->second.ticket;
        allocation->ticket_received_at = ticket->second.received_at;
        ++this->state.advice.starts;
        metrics().count("advice_starts");
    }
    if (this->state.dependencies.log_decisions &&
        allocation->unanswered_orders == 0)
    {
        auto waited = std::chrono::duration_cast<milliseconds>(
            this->state.dependencies.loop.now() - step.ready_at);
        log_line("start-sent")
            .with("task", to_string(id))
            .with("run", task.run)
            .with("worker", worker)
            .with("incarnation", this->state.pool.find(worker)->incarnation_ms)
            .with("priority", job.record.queue.priority)
            .with("waited_ms", waited.count())
            .with("free_cpu", this->state.pool.find(worker)->free.cpu_millis);
        metrics().observe("step_wait_ms", waited.count());
    }
    metrics().count("starts_sent");
    this->state.dependencies.orders.start(lease.target(), order,
        [this,
            start = sent_start{id, order.run, worker, order.fencing_token,
                allocation->start_sent_at},
            alive = this->alive](order_result const& result)
        {
            if (*alive)
            {
                this->note_answering_incarnation(start, result);
                this->on_start_result(start.task, start.run, start.worker,
                    this->attribute_refusal(start.worker, start.token, result));
            }
        });
}

void task_orders::note_answering_incarnation(
    sent_start const& start, order_result const& result)
{
    worker_lease* lease = this->roster.find_lease(start.worker);
    if (lease == nullptr)
    {
        return;
    }
    lease->note_clock(result.clock_ms, start.at);
    time_point const now = this->state.dependencies.loop.now();
    bool is_known =
        lease->is_clock_of_known_incarnation(result.clock_ms, start.at);
    bool is_in_doubt = result.outcome == order_outcome::in_doubt;
    if (is_in_doubt || (renews_lease(result.outcome) && !is_known))
    {
        lease->note_unproven_grant(
            is_in_doubt ? start.at + max_order_delay : now, start.token);
    }
    task_allocation* allocation =
        this->find_allocation(start.worker, start.task, start.run);
    if (allocation != nullptr && is_confirmation(result.outcome))
    {
        allocation->start_confirmed_at = now;
        allocation->on_known_incarnation |= is_known;
    }
}

order_result task_orders::attribute_refusal(std::string const& worker,
    std::uint64_t sent_token, order_result result) const
{
    worker_lease const* lease = this->roster.find_lease(worker);
    if (result.outcome == order_outcome::refused_fenced && lease != nullptr &&
        lease->is_overtaken(sent_token))
    {
        result.outcome = order_outcome::overtaken;
    }
    return result;
}

void task_orders::on_start_result(task_id const& task, std::uint64_t run,
    std::string const& worker, order_result const& result)
{
    task_allocation* allocation = this->find_allocation(worker, task, run);
    if (allocation == nullptr)
    {
        return;
    }
    allocation->start_pending = false;
    if (allocation->phase != allocation_phase::starting)
    {
        // A stop was sent meanwhile.
        allocation->unanswered_orders +=
            result.outcome == order_outcome::in_doubt ? 1 : 0;
        return;
    }
    if (!is_confirmation(result.outcome))
    {
        this->on_start_unconfirmed(task, run, worker, result);
        return;
    }
    allocation->phase = allocation_phase::running;
    allocation->confirmed = true;
    allocation->confirmed_at = this->state.dependencies.loop.now();
    registry_job* job = this->state.registry.find(task.step.job);
    if (job == nullptr || !job->open())
    {
        this->send_stop(worker, task);
        return;
    }
    if (!job->started && is_started_in_vain(job->record, wall_time_ms()))
    {
        metrics().count("jobs_accepted_in_vain");
    }
    this->state.registry.mark_started(*job);
    job->state = work_state::running;
}

void task_orders::on_start_unconfirmed(task_id const& task, std::uint64_t run,
    std::string const& worker, order_result const& result)
{
    constexpr std::uint32_t max_unanswered_orders = 2;
    task_allocation* allocation = this->find_allocation(worker, task, run);
    log_line("start-not-confirmed")
        .with("task", to_string(task))
        .with("run", run)
        .with("worker", worker)
        .with("outcome", name_of(result.outcome))
        .with("problem", result.problem);
    metrics().count("starts_not_confirmed");
    if (result.outcome == order_outcome::refused_fenced)
    {
        this->state.on_replaced(
            "a worker refused an order: it has seen a higher fencing token");
        return;
    }
    registry_job* job = this->state.registry.find(task.step.job);
    registry_step* step = this->state.registry.find(task.step);
    bool in_doubt = result.outcome == order_outcome::in_doubt;
    if (in_doubt)
    {
        ++allocation->unanswered_orders;
        if (allocation->unanswered_orders < max_unanswered_orders &&
            job != nullptr && job->open() &&
            this->state.dependencies.may_start_work())
        {
            this->send_start(*job, *step, task.index);
            return;
        }
    }
    // An earlier start without a reply may have been carried out, or may still
    // be, although this one was refused.
    bool may_run = in_doubt || allocation->unanswered_orders > 0;
    if (may_run)
    {
        this->send_stop(worker, task);
    }
    else
    {
        if (step != nullptr && result.outcome == order_outcome::refused_ticket)
        {
            // Invalidates the ticket, so that another one is requested.
            step->advice.approved[worker].valid_until = {};
        }
        this->note_refusal(task, worker, result.outcome);
        this->release_task(worker, task);
    }
    this->stop_broken_gang(task.step);
    this->state.on_work_changed();
}

void task_orders::note_refusal(
    task_id const& task, std::string const& worker, order_outcome outcome)
{
    time_point const now = this->state.dependencies.loop.now();
    if (outcome == order_outcome::not_done)
    {
        this->state.failures.record_failure(worker, task.step, now);
        this->state.registry.mark_failed_on(task, worker);
        this->state.registry.delay_restart(task, now);
    }
    else if (outcome == order_outcome::refused_no_capacity)
    {
        this->state.registry.delay_restart(task, now);
    }
}

void task_orders::send_stop(std::string const& worker, task_id const& task)
{
    pool_worker* pool_entry = this->state.pool.find(worker);
    if (pool_entry == nullptr || !pool_entry->allocations.contains(task))
    {
        return;
    }
    task_allocation& allocation = pool_entry->allocations.at(task);
    if (allocation.order_pending &&
        allocation.phase == allocation_phase::stopping)
    {
        return;
    }
    allocation.phase = allocation_phase::stopping;
    allocation.order_pending = true;
    allocation.confirmed = false;
    worker_lease const& lease = this->roster.lease(worker);
    stop_order order{task, allocation.run, lease.fencing_token()};
    if (this->state.dependencies.log_decisions)
    {
        log_line("stop-sent")
            .with("task", to_string(task))
            .with("run", allocation.run)
            .with("worker", worker);
    }
    this->state.dependencies.orders.stop(lease.target(), order,
        [this, task, run = allocation.run, worker, token = order.fencing_token,
            alive = this->alive](order_result const& result)
        {
            if (*alive)
            {
                this->on_stop_result(task, run, worker,
                    this->attribute_refusal(worker, token, result));
            }
        });
}

void task_orders::on_stop_result(task_id const& task, std::uint64_t run,
    std::string const& worker, order_result const& result)
{
    // Doubles with each repetition, up to 800 ms.
    constexpr milliseconds first_retry_delay{200};
    constexpr std::uint32_t max_doublings = 2;
    task_allocation* allocation = this->find_allocation(worker, task, run);
    if (allocation == nullptr)
    {
        return;
    }
    allocation->order_pending = false;
    if (result.outcome == order_outcome::refused_fenced)
    {
        this->state.on_replaced(
            "a worker refused an order: it has seen a higher fencing token");
        return;
    }
    if (is_confirmation(result.outcome))
    {
        allocation->confirmed = true;
        allocation->confirmed_at = this->state.dependencies.loop.now();
        allocation->unconfirmed_stops = 0;
        this->roster.lease(worker).poll_soon();
        return;
    }
    milliseconds const retry_delay =
        first_retry_delay *
        (1U << std::min(allocation->unconfirmed_stops, max_doublings));
    ++allocation->unconfirmed_stops;
    this->state.dependencies.loop.after(retry_delay,
        [this, task, run, worker, alive = this->alive]
        {
            if (*alive && this->find_allocation(worker, task, run) != nullptr)
            {
                this->send_stop(worker, task);
            }
        });
}

void task_orders::stop_job(std::string const& id)
{
    registry_job* job = this->state.registry.find(id);
    for (auto& [occurrence, steps] : job->occurrences)
    {
        for (registry_step& step : steps)
        {
            this->stop_step(step.id);
        }
    }
}

void task_orders::stop_step(step_id const& id)
{
    registry_step* step = this->state.registry.find(id);
    for (std::uint32_t i = 0; i < step->tasks.size(); ++i)
    {
        registry_task const& task = step->tasks[i];
        task_id current{id, i};
        std::string worker = task.worker;
        task_allocation* allocation =
            this->find_allocation(worker, current, task.run);
        if (allocation == nullptr ||
            allocation->phase == allocation_phase::stopping)
        {
            continue;
        }
        if (allocation->phase == allocation_phase::reserved)
        {
            this->release_task(worker, current);
            continue;
        }
        this->send_stop(worker, current);
    }
}

void task_orders::release_succeeded(step_id const& id)
{
    registry_step const* step = this->state.registry.find(id);
    for (std::uint32_t i = 0; step != nullptr && i < step->tasks.size(); ++i)
    {
        registry_task const& task = step->tasks[i];
        if (!task.succeeded || task.worker.empty())
        {
            continue;
        }
        std::string const worker = task.worker;
        task_allocation const* allocation =
            this->find_allocation(worker, {id, i}, task.run);
        if (allocation != nullptr &&
            allocation->phase == allocation_phase::reserved)
        {
            this->release_task(worker, {id, i});
        }
    }
}

void task_orders::stop_broken_gang(step_id const& id)
{
    registry_step const* step = this->state.registry.find(id);
    if (step != nullptr && step->spec->gang && !step->done())
    {
        this->stop_step(id);
    }
}

} // namespace toucanlever
