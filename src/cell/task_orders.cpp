#include "toucanlever/cell/task_orders.hpp"

#include "toucanlever/core/log.hpp"
#include "toucanlever/core/metrics.hpp"

namespace toucanlever
{

task_orders::task_orders(dispatch_state& state, worker_roster& roster)
    : state(state)
    , roster(roster)
{
}

task_orders::~task_orders()
{
    *this->alive = false;
}

room_hold* task_orders::find_hold(
    std::string const& worker, task_id const& task, std::uint64_t run)
{
    pool_worker* pool_entry = this->state.pool.find(worker);
    if (pool_entry == nullptr)
    {
        return nullptr;
    }
    auto found = pool_entry->holds.find(task);
    bool same = found != pool_entry->holds.end() && found->second.run == run;
    return same ? &found->second : nullptr;
}

void task_orders::free_task(std::string const& worker, task_id const& task)
{
    board_task* entry = this->state.board.find(task);
    this->state.pool.release(worker, task);
    if (entry != nullptr && entry->worker == worker)
    {
        this->state.board.unplaced(task);
    }
}

void task_orders::send_start(
    board_job& job, board_step& step, std::uint32_t index)
{
    board_task const& task = step.tasks[index];
    task_id id{step.id, index};
    std::string worker = task.worker;
    worker_lease& lease = this->roster.lease(worker);
    room_hold* allocation = this->find_hold(worker, id, task.run);
    allocation->phase = hold_phase::starting;
    start_order order;
    order.task = id;
    order.run = task.run;
    order.payload = job.record.payload;
    order.lease_until_ms = lease.grant_lease();
    order.fence = this->state.proof.fence;
    order.checkpoint = task.checkpoint;
    auto ticket = step.advice.approved.find(worker);
    if (ticket != step.advice.approved.end())
    {
        order.ticket = ticket->second.ticket;
    }
    if (this->state.parts.log_decisions && allocation->unanswered == 0)
    {
        auto waited = std::chrono::duration_cast<milliseconds>(
            this->state.parts.loop.now() - step.ready_at);
        log_line("start-sent")
            .with("task", to_string(id))
            .with("run", task.run)
            .with("worker", worker)
            .with("priority", job.record.queue.priority)
            .with("waited_ms", waited.count())
            .with("free_cpu", this->state.pool.find(worker)->free.cpu_millis);
        metrics().observe("step_wait_ms", waited.count());
    }
    metrics().count("starts_sent");
    this->state.parts.orders.start(lease.target(), order,
        [this, id, run = order.run, worker, alive = this->alive](
            order_result const& result)
        {
            if (*alive)
            {
                this->on_started(id, run, worker, result);
            }
        });
}

void task_orders::on_started(task_id const& task, std::uint64_t run,
    std::string const& worker, order_result const& result)
{
    room_hold* allocation = this->find_hold(worker, task, run);
    if (allocation == nullptr || allocation->phase != hold_phase::starting)
    {
        return;
    }
    bool confirmed = result.outcome == order_outcome::done ||
                     result.outcome == order_outcome::refused_superseded;
    if (!confirmed)
    {
        this->on_start_refused(task, run, worker, result);
        return;
    }
    allocation->phase = hold_phase::running;
    allocation->confirmed = true;
    allocation->confirmed_at = this->state.parts.loop.now();
    board_job* job = this->state.board.find(task.step.job);
    if (job == nullptr || !job->open())
    {
        this->send_stop(worker, task);
        return;
    }
    this->state.board.note_begun(*job);
    job->state = work_state::running;
}

void task_orders::on_start_refused(task_id const& task, std::uint64_t run,
    std::string const& worker, order_result const& result)
{
    constexpr std::uint32_t max_attempts = 2;
    room_hold* allocation = this->find_hold(worker, task, run);
    log_line("start-not-confirmed")
        .with("task", to_string(task))
        .with("run", run)
        .with("worker", worker)
        .with("outcome", name_of(result.outcome))
        .with("problem", result.problem);
    metrics().count("starts_not_confirmed");
    if (result.outcome == order_outcome::refused_fenced)
    {
        this->state.replaced(
            "a worker refused an order: it has seen a higher fencing token");
        return;
    }
    board_job* job = this->state.board.find(task.step.job);
    board_step* step = this->state.board.find(task.step);
    bool in_doubt = result.outcome == order_outcome::in_doubt;
    if (in_doubt)
    {
        ++allocation->unanswered;
        if (allocation->unanswered < max_attempts && job != nullptr &&
            job->open())
        {
            this->send_start(*job, *step, task.index);
            return;
        }
    }
    bool may_run = in_doubt || (allocation->unanswered > 0 &&
                                   result.outcome == order_outcome::not_done);
    if (may_run)
    {
        this->send_stop(worker, task);
    }
    else
    {
        if (step != nullptr && result.outcome == order_outcome::refused_ticket)
        {
            step->advice.approved[worker].valid_until = {};
        }
        if (result.outcome == order_outcome::not_done)
        {
            this->state.pool.note_outcome(
                worker, false, this->state.parts.loop.now());
        }
        this->free_task(worker, task);
    }
    this->break_gang(task.step);
    this->state.changed();
}

void task_orders::send_stop(std::string const& worker, task_id const& task)
{
    pool_worker* pool_entry = this->state.pool.find(worker);
    if (pool_entry == nullptr || !pool_entry->holds.contains(task))
    {
        return;
    }
    room_hold& allocation = pool_entry->holds.at(task);
    if (allocation.order_pending && allocation.phase == hold_phase::stopping)
    {
        return;
    }
    allocation.phase = hold_phase::stopping;
    allocation.order_pending = true;
    allocation.confirmed = false;
    stop_order order{task, allocation.run, this->state.proof.fence};
    if (this->state.parts.log_decisions)
    {
        log_line("stop-sent")
            .with("task", to_string(task))
            .with("run", allocation.run)
            .with("worker", worker);
    }
    this->state.parts.orders.stop(this->roster.lease(worker).target(), order,
        [this, task, run = allocation.run, worker, alive = this->alive](
            order_result const& result)
        {
            if (*alive)
            {
                this->on_stopped(task, run, worker, result);
            }
        });
}

void task_orders::on_stopped(task_id const& task, std::uint64_t run,
    std::string const& worker, order_result const& result)
{
    constexpr milliseconds retry_delay{200};
    room_hold* allocation = this->find_hold(worker, task, run);
    if (allocation == nullptr)
    {
        return;
    }
    allocation->order_pending = false;
    if (result.outcome == order_outcome::refused_fenced)
    {
        this->state.replaced(
            "a worker refused an order: it has seen a higher fencing token");
        return;
    }
    if (result.outcome == order_outcome::done ||
        result.outcome == order_outcome::refused_superseded)
    {
        allocation->confirmed = true;
        allocation->confirmed_at = this->state.parts.loop.now();
        this->roster.lease(worker).ask_soon();
        return;
    }
    this->state.parts.loop.after(retry_delay,
        [this, task, run, worker, alive = this->alive]
        {
            if (*alive && this->find_hold(worker, task, run) != nullptr)
            {
                this->send_stop(worker, task);
            }
        });
}

void task_orders::stop_job(std::string const& id)
{
    board_job* job = this->state.board.find(id);
    for (auto& [occurrence, steps] : job->occurrences)
    {
        for (board_step& step : steps)
        {
            this->stop_step(step.id);
        }
    }
}

void task_orders::stop_step(step_id const& id)
{
    board_step* step = this->state.board.find(id);
    for (std::uint32_t i = 0; i < step->tasks.size(); ++i)
    {
        board_task const& task = step->tasks[i];
        task_id current{id, i};
        std::string worker = task.worker;
        room_hold* allocation = this->find_hold(worker, current, task.run);
        if (allocation == nullptr || allocation->phase == hold_phase::stopping)
        {
            continue;
        }
        if (allocation->phase == hold_phase::reserved)
        {
            this->free_task(worker, current);
            continue;
        }
        this->send_stop(worker, current);
    }
}

void task_orders::break_gang(step_id const& id)
{
    board_step const* step = this->state.board.find(id);
    if (step != nullptr && step->spec->gang && !step->done())
    {
        this->stop_step(id);
    }
}

} // namespace toucanlever
