#include "toucanlever/cell/reserved_task_starter.hpp"

#include "toucanlever/core/log.hpp"
#include "toucanlever/core/metrics.hpp"

#include <algorithm>

namespace toucanlever
{

reserved_task_starter::reserved_task_starter(
    dispatch_state& state, task_orders& orders)
    : state(state)
    , orders(orders)
{
}

reserved_task_starter::~reserved_task_starter()
{
    *this->alive = false;
}

microseconds advice_call_duration(registry_job const& job, std::size_t workers)
{
    advice_terms const& terms = job.record.queue.advice;
    return microseconds(
        terms.decision_us +
        terms.per_worker_us * static_cast<std::int64_t>(workers));
}

bool reserved_task_starter::has_ticket(
    registry_step const& step, std::string const& worker) const
{
    // Leaves time for the start order to reach the worker before the ticket
    // expires.
    constexpr milliseconds start_latency{60};
    auto found = step.advice.approved.find(worker);
    return found != step.advice.approved.end() &&
           found->second.valid_until >
               this->state.dependencies.loop.now() + start_latency;
}

bool reserved_task_starter::request_advice(registry_job& job,
    registry_step& step, std::vector<std::string> const& workers,
    resources const& expected_use)
{
    microseconds duration = advice_call_duration(job, workers.size());
    if (!this->state.dependencies.advice.has_free_slot(duration))
    {
        // Retried in the planning pass after an answer frees a slot.
        return false;
    }
    step.advice.pending = true;
    metrics().count("advice_calls");
    metrics().count(
        "advice_workers_asked", static_cast<std::int64_t>(workers.size()));
    ++this->state.advice.calls;
    this->state.advice.workers_asked += workers.size();
    this->state.claims.add(workers, expected_use);
    this->state.dependencies.advice.request_advice(step.id, workers, duration,
        [this, id = step.id, workers, expected_use, alive = this->alive](
            advice_result const& result)
        {
            if (*alive)
            {
                this->state.claims.remove(workers, expected_use);
                this->apply_advice(id, workers, result);
            }
        });
    return true;
}

void reserved_task_starter::apply_advice(step_id const& id,
    std::vector<std::string> const& queried, advice_result const& result)
{
    // Delay before the planner may query more workers for the step.
    constexpr milliseconds retry_delay{100};
    registry_step* step = this->state.registry.find(id);
    if (step == nullptr)
    {
        return;
    }
    time_point now = this->state.dependencies.loop.now();
    step->advice.pending = false;
    if (!result.answered)
    {
        step->advice.retry_at = now + retry_delay;
        this->release_reserved(*step, true);
        this->state.on_work_changed();
        return;
    }
    step->advice.answered_at = now;
    this->learn_approvals(*step, queried, result);
    step->advice.queried.insert(queried.begin(), queried.end());
    for (std::string const& worker : queried)
    {
        step->advice.approved.erase(worker);
    }
    for (advice_ticket const& ticket : result.tickets)
    {
        step->advice.approved[ticket.worker] = {
            ticket.ticket, now + milliseconds(result.valid_ms), now};
    }
    metrics().count("advice_workers_approved",
        static_cast<std::int64_t>(result.tickets.size()));
    this->state.advice.workers_approved += result.tickets.size();
    if (this->state.dependencies.log_decisions)
    {
        log_line("advice")
            .with("step", to_string(id))
            .with("asked", queried.size())
            .with("approved", result.tickets.size())
            .with("valid_ms", result.valid_ms);
    }
    this->start_reserved(*this->state.registry.find(id.job), *step);
    this->state.on_work_changed();
}

void reserved_task_starter::learn_approvals(registry_step const& step,
    std::vector<std::string> const& queried, advice_result const& result)
{
    // Workers asked about again were approved before.
    bool is_first = std::none_of(queried.begin(), queried.end(),
        [&step](std::string const& worker)
        { return step.advice.queried.contains(worker); });
    registry_job const* job = this->state.registry.find(step.id.job);
    if (is_first && job != nullptr)
    {
        this->state.approvals[job->record.queue.name].add(
            queried.size(), result.tickets.size());
    }
}

void reserved_task_starter::start_reserved(
    registry_job& job, registry_step& step)
{
    // The advice for the reservations may arrive after the leader lease has
    // expired, or after the capacities have become out of date.
    if (!job.open() || !this->state.dependencies.may_start_work() ||
        !this->state.is_worker_list_current())
    {
        this->release_reserved(step, true);
        return;
    }
    bool needs_tickets = job.record.queue.advice.required;
    std::vector<std::uint32_t> ready;
    std::set<std::string> without_ticket;
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i)
    {
        registry_task const& task = step.tasks[i];
        if (task.worker.empty())
        {
            continue;
        }
        task_allocation* allocation =
            this->orders.find_allocation(task.worker, {step.id, i}, task.run);
        if (allocation == nullptr ||
            allocation->phase != allocation_phase::reserved)
        {
            continue;
        }
        if (needs_tickets && !this->has_ticket(step, task.worker))
        {
            without_ticket.insert(task.worker);
            continue;
        }
        ready.push_back(i);
    }
    if (!without_ticket.empty() && !step.advice.pending)
    {
        bool approved =
            std::all_of(without_ticket.begin(), without_ticket.end(),
                [&step](std::string const& worker)
                { return step.advice.approved.contains(worker); });
        if (!approved)
        {
            this->release_reserved(step, step.spec->gang);
            this->state.on_work_changed();
            return;
        }
        // The tickets have expired or are about to: request new ones.
        if (!this->request_advice(
                job, step, {without_ticket.begin(), without_ticket.end()}))
        {
            this->release_reserved(step, true);
            return;
        }
    }
    if (step.spec->gang && !without_ticket.empty())
    {
        return;
    }
    if (step.spec->gang && !std::all_of(ready.begin(), ready.end(),
                               [this, &step](std::uint32_t index)
                               { return this->still_fits(step, index); }))
    {
        this->release_reserved(step, true);
        this->state.on_work_changed();
        return;
    }
    for (std::uint32_t index : ready)
    {
        if (this->still_fits(step, index))
        {
            this->orders.send_start(job, step, index);
            continue;
        }
        std::string const worker = step.tasks[index].worker;
        this->orders.release_task(worker, {step.id, index});
        this->state.on_work_changed();
    }
}

bool reserved_task_starter::still_fits(
    registry_step const& step, std::uint32_t index) const
{
    constexpr resources nothing;
    return this->state.pool.find(step.tasks[index].worker)->free.fits(nothing);
}

void reserved_task_starter::release_reserved(registry_step& step, bool all)
{
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i)
    {
        registry_task const& task = step.tasks[i];
        if (task.worker.empty())
        {
            continue;
        }
        task_id id{step.id, i};
        task_allocation* allocation =
            this->orders.find_allocation(task.worker, id, task.run);
        if (allocation != nullptr &&
            allocation->phase == allocation_phase::reserved &&
            (all || !step.advice.approved.contains(task.worker)))
        {
            this->orders.release_task(std::string(task.worker), id);
        }
    }
}

} // namespace toucanlever
