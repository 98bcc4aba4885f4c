#include "toucanlever/cell/reserved_starts.hpp"

#include "toucanlever/core/log.hpp"
#include "toucanlever/core/metrics.hpp"

#include <algorithm>

namespace toucanlever
{

reserved_starts::reserved_starts(dispatch_state& state, task_orders& orders)
    : state(state)
    , orders(orders)
{
}

reserved_starts::~reserved_starts()
{
    *this->alive = false;
}

microseconds decision_time(board_job const& job, std::size_t workers)
{
    advice_terms const& terms = job.record.queue.advice;
    return microseconds(
        terms.decision_us +
        terms.per_worker_us * static_cast<std::int64_t>(workers));
}

bool reserved_starts::has_ticket(
    board_step const& step, std::string const& worker) const
{
    // Leaves time for the start order to reach the worker before the ticket
    // expires.
    constexpr milliseconds start_latency{60};
    auto found = step.advice.approved.find(worker);
    return found != step.advice.approved.end() &&
           found->second.valid_until >
               this->state.parts.loop.now() + start_latency;
}

bool reserved_starts::ask(
    board_job& job, board_step& step, std::vector<std::string> const& workers)
{
    microseconds duration = decision_time(job, workers.size());
    if (!this->state.parts.advice.has_lane(duration))
    {
        // Retried in the planning pass after an answer frees a slot.
        return false;
    }
    step.advice.pending = true;
    metrics().count("advice_calls");
    this->state.parts.advice.ask(step.id, workers, duration,
        [this, id = step.id, workers, alive = this->alive](
            advice_result const& result)
        {
            if (*alive)
            {
                this->take_advice(id, workers, result);
            }
        });
    return true;
}

void reserved_starts::take_advice(step_id const& id,
    std::vector<std::string> const& queried, advice_result const& result)
{
    constexpr milliseconds retry_delay{100};
    board_step* step = this->state.board.find(id);
    if (step == nullptr)
    {
        return;
    }
    time_point now = this->state.parts.loop.now();
    step->advice.pending = false;
    if (!result.answered)
    {
        step->advice.ask_again_at = now + retry_delay;
        this->drop_reserved(*step, true);
        this->state.changed();
        return;
    }
    step->advice.asked.insert(queried.begin(), queried.end());
    for (std::string const& worker : queried)
    {
        step->advice.approved.erase(worker);
    }
    for (advice_ticket const& ticket : result.tickets)
    {
        step->advice.approved[ticket.worker] = {
            ticket.ticket, now + milliseconds(result.valid_ms)};
    }
    if (this->state.parts.log_decisions)
    {
        log_line("advice")
            .with("step", to_string(id))
            .with("asked", queried.size())
            .with("approved", result.tickets.size())
            .with("valid_ms", result.valid_ms);
    }
    this->start(*this->state.board.find(id.job), *step);
    this->state.changed();
}

void reserved_starts::start(board_job& job, board_step& step)
{
    if (!job.open())
    {
        this->drop_reserved(step, true);
        return;
    }
    bool needs_tickets = job.record.queue.advice.required;
    std::vector<std::uint32_t> ready;
    std::set<std::string> without_ticket;
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i)
    {
        board_task const& task = step.tasks[i];
        room_hold* allocation =
            this->orders.find_hold(task.worker, {step.id, i}, task.run);
        if (allocation == nullptr || allocation->phase != hold_phase::reserved)
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
            this->drop_reserved(step, step.spec->gang);
            this->state.changed();
            return;
        }
        if (!this->ask(
                job, step, {without_ticket.begin(), without_ticket.end()}))
        {
            this->drop_reserved(step, true);
            return;
        }
    }
    if (step.spec->gang && !without_ticket.empty())
    {
        return;
    }
    for (std::uint32_t index : ready)
    {
        this->orders.send_start(job, step, index);
    }
}

void reserved_starts::drop_reserved(board_step& step, bool all)
{
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i)
    {
        board_task const& task = step.tasks[i];
        task_id id{step.id, i};
        room_hold* allocation =
            this->orders.find_hold(task.worker, id, task.run);
        if (allocation != nullptr &&
            allocation->phase == hold_phase::reserved &&
            (all || !step.advice.approved.contains(task.worker)))
        {
            this->orders.free_task(std::string(task.worker), id);
        }
    }
}

} // namespace toucanlever
