#include "toucanlever/cell/worker_monitor.hpp"

#include "toucanlever/cell/step_placement.hpp"
#include "toucanlever/core/log.hpp"
#include "toucanlever/core/metrics.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

constexpr std::chrono::seconds comparison_interval{1};
/// The measured time of a shorter run consists largely of the latency of
/// orders and reports.
constexpr std::int64_t min_estimate_ms = 100;
/// Reports come at least each 1.5 s. After a longer gap it is not known when
/// the runs ended that the next one lists.
constexpr milliseconds max_report_gap{2000};
/// Without progress of any run of the cell for this long, the platform may not
/// report progress, and no worker is considered stalled.
constexpr std::chrono::seconds progress_lifetime{30};
/// A run that makes no progress for this long on a stalled worker is moved.
constexpr milliseconds move_after{2000};
/// A task whose estimate is too low, or that waits for something itself, would
/// be moved again and again: each move makes the wait for its progress this
/// many times as long, up to a limit.
constexpr std::int64_t move_backoff = 4;
constexpr std::uint32_t max_backoffs = 5;
constexpr int complete_percent = 100;

std::int64_t backoff_of(registry_task const& task)
{
    std::int64_t factor = 1;
    for (std::uint32_t i = 0; i < std::min(task.stalled_runs, max_backoffs);
         ++i)
    {
        factor *= move_backoff;
    }
    return factor;
}

/// How long a run may show the same percentage: progress is reported in whole
/// percent, and a slow worker may take several times the estimate.
milliseconds percent_time(std::int64_t estimated_ms)
{
    constexpr std::int64_t tolerated_slowness = 4;
    constexpr std::int64_t min_ms = 1000;
    return milliseconds(
        std::max(min_ms, estimated_ms / complete_percent * tolerated_slowness));
}

} // namespace

worker_monitor::worker_monitor(dispatch_state& state, task_orders& orders)
    : state(state)
    , orders(orders)
{
}

void worker_monitor::on_completion(
    pool_worker& worker, completed_run const& completion)
{
    if (completion.outcome == run_outcome::succeeded)
    {
        this->measure(worker, completion);
    }
    // A worker that hangs still ends runs that are stopped or lapse.
    bool ended_by_itself = completion.outcome == run_outcome::succeeded ||
                           completion.outcome == run_outcome::failed;
    if (ended_by_itself && worker.history.end_stall())
    {
        this->note_progress(worker, "completion");
    }
}

void worker_monitor::measure(
    pool_worker& worker, completed_run const& completion)
{
    task_allocation const* allocation = this->orders.find_allocation(
        worker.entry.id, completion.task, completion.run);
    registry_step const* step = this->state.registry.find(completion.task.step);
    if (allocation == nullptr || step == nullptr || step->spec->gang ||
        step->spec->long_running || step->spec->estimated_ms < min_estimate_ms)
    {
        return;
    }
    // A start that was repeated, or found, may have begun earlier than known.
    bool is_start_known = allocation->start_sent_at != time_point{} &&
                          allocation->unanswered_orders == 0 &&
                          !allocation->resumed;
    time_point now = this->state.dependencies.loop.now();
    if (!is_start_known || now - worker.history.reported_at() > max_report_gap)
    {
        return;
    }
    time_point started =
        std::max(allocation->start_sent_at, allocation->start_confirmed_at);
    auto ran = std::chrono::duration<double, std::milli>(now - started);
    worker.history.add_run(
        ran.count() / static_cast<double>(step->spec->estimated_ms), now);
}

void worker_monitor::on_report(pool_worker& worker, watch_result const& report)
{
    time_point now = this->state.dependencies.loop.now();
    worker.history.note_report(now);
    if (!worker.history.is_observation_due(now))
    {
        return;
    }
    std::vector<reported_run> runs;
    runs.reserve(report.running.size());
    for (running_task const& running : report.running)
    {
        runs.push_back(this->describe(worker, running));
    }
    bool is_progress_reported = this->progress_at != time_point{} &&
                                now - this->progress_at <= progress_lifetime;
    stall_change change =
        worker.history.observe(runs, is_progress_reported, now);
    this->progress_at =
        std::max(this->progress_at, worker.history.progress_at());
    if (change == stall_change::progresses)
    {
        this->note_progress(worker, "progress");
    }
    else if (change == stall_change::stalled)
    {
        log_line("worker-stalled")
            .with("worker", worker.entry.id)
            .with("incarnation", worker.incarnation_ms)
            .with("runs", report.running.size());
    }
}

void worker_monitor::note_progress(pool_worker& worker, std::string_view cause)
{
    log_line("worker-progresses")
        .with("worker", worker.entry.id)
        .with("incarnation", worker.incarnation_ms)
        .with("cause", cause);
    this->state.on_work_changed();
}

reported_run worker_monitor::describe(
    pool_worker const& worker, running_task const& running)
{
    reported_run described{
        running.task, running.run, running.progress, std::nullopt};
    registry_step const* step = this->state.registry.find(running.task.step);
    registry_task const* task = this->state.registry.find(running.task);
    task_allocation const* allocation = this->orders.find_allocation(
        worker.entry.id, running.task, running.run);
    bool is_evidence =
        task != nullptr && allocation != nullptr &&
        allocation->phase == allocation_phase::running &&
        !step->spec->long_running && step->spec->estimated_ms > 0 &&
        (!step->spec->gang || this->holds_whole_gang(worker, *step));
    if (is_evidence)
    {
        described.patience =
            percent_time(step->spec->estimated_ms) * backoff_of(*task);
    }
    return described;
}

bool worker_monitor::holds_whole_gang(
    pool_worker const& worker, registry_step const& step) const
{
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i)
    {
        auto found = worker.allocations.find({step.id, i});
        if (found == worker.allocations.end() || !found->second.seen_running)
        {
            return false;
        }
    }
    return true;
}

void worker_monitor::forget(pool_worker& worker)
{
    worker.history = {};
    worker.speed = worker_speed::normal;
}

void worker_monitor::sweep()
{
    time_point now = this->state.dependencies.loop.now();
    if (now >= this->next_comparison)
    {
        this->next_comparison = now + comparison_interval;
        this->compare_speeds(now);
    }
    if (this->state.dependencies.may_start_work() &&
        this->state.is_worker_list_current())
    {
        this->move_stalled_runs(now);
    }
}

void worker_monitor::compare_speeds(time_point now)
{
    std::vector<std::pair<pool_worker*, double>> measured;
    std::vector<double> ratios;
    std::int64_t stalled = 0;
    for (auto& [id, worker] : this->state.pool.all())
    {
        worker.speed = worker_speed::normal;
        stalled += worker.history.is_stalled() ? 1 : 0;
        if (auto ratio = worker.history.median_ratio(now))
        {
            measured.emplace_back(&worker, *ratio);
            ratios.push_back(*ratio);
        }
    }
    std::int64_t slow = 0;
    std::int64_t fast = 0;
    double median = ratios.empty() ? 0.0 : median_of(std::move(ratios));
    for (auto const& [worker, ratio] : measured)
    {
        worker->speed = compare_speed(ratio, median);
        slow += worker->speed == worker_speed::slow ? 1 : 0;
        fast += worker->speed == worker_speed::fast ? 1 : 0;
    }
    metrics().set("workers_stalled", stalled);
    metrics().set("workers_slow", slow);
    metrics().set("workers_fast", fast);
}

void worker_monitor::move_stalled_runs(time_point now)
{
    this->claimed.clear();
    for (auto& [id, worker] : this->state.pool.all())
    {
        if (worker.history.is_stalled() && !worker.silent)
        {
            this->move_runs_of(worker, now);
        }
    }
}

void worker_monitor::move_runs_of(pool_worker& worker, time_point now)
{
    for (auto const& [task, observed] : worker.history.runs())
    {
        bool is_current = this->orders.find_allocation(
                              worker.entry.id, task, observed.run) != nullptr;
        if (!is_current || observed.progress >= complete_percent ||
            !this->can_move(worker, task))
        {
            continue;
        }
        registry_task& entry = *this->state.registry.find(task);
        registry_step const& step = *this->state.registry.find(task.step);
        auto still_for = std::chrono::duration_cast<milliseconds>(
            worker.history.observed_at() - observed.since);
        milliseconds needed =
            std::max(move_after, percent_time(step.spec->estimated_ms)) *
            backoff_of(entry);
        pool_worker const* target = still_for >= needed
                                        ? this->find_target(worker, task, now)
                                        : nullptr;
        if (target == nullptr)
        {
            continue;
        }
        this->claimed[target->entry.id] += worker.allocations.at(task).need;
        ++entry.stalled_runs;
        this->state.registry.mark_failed_on(task, worker.entry.id);
        log_line("stalled-run-moved")
            .with("task", to_string(task))
            .with("run", observed.run)
            .with("worker", worker.entry.id)
            .with("progress", observed.progress)
            .with("still_ms", still_for.count());
        metrics().count("stalled_runs_moved");
        this->orders.send_stop(worker.entry.id, task);
    }
}

bool worker_monitor::can_move(pool_worker const& worker, task_id const& task)
{
    registry_job const* job = this->state.registry.find(task.step.job);
    registry_step const* step = this->state.registry.find(task.step);
    registry_task const* entry = this->state.registry.find(task);
    return entry != nullptr && job->open() && !entry->succeeded &&
           entry->worker == worker.entry.id && !step->spec->gang &&
           !step->spec->long_running && step->spec->estimated_ms > 0 &&
           worker.allocations.at(task).phase == allocation_phase::running;
}

pool_worker const* worker_monitor::find_target(
    pool_worker const& worker, task_id const& task, time_point now)
{
    registry_job const& job = *this->state.registry.find(task.step.job);
    registry_step const& step = *this->state.registry.find(task.step);
    placement_request request;
    request.need = step.spec->capacity_need();
    request.required_label = step.spec->required_label;
    // The worker runs the task, so its service is the right one.
    request.service = worker.entry.service;
    request.max_per_worker = step.spec->max_per_worker;
    for (registry_task const& other : step.tasks)
    {
        if (request.max_per_worker > 0 && !other.worker.empty())
        {
            ++request.placed_per_worker[other.worker];
        }
    }
    bool needs_ticket = job.record.queue.advice.required;
    for (auto const& [id, other] : this->state.pool.all())
    {
        bool is_refused = needs_ticket && step.advice.queried.contains(id) &&
                          !step.advice.approved.contains(id);
        if (&other == &worker || other.history.is_stalled() || is_refused ||
            !other.is_usable(now) || !is_eligible(other.entry, request) ||
            !other.accepts(task.step.job,
                step.is_suspect() ? isolation::from_all : isolation::none))
        {
            continue;
        }
        auto found = this->claimed.find(id);
        resources const free = found == this->claimed.end()
                                   ? other.free
                                   : other.free - found->second;
        if (tasks_that_fit(other.entry, free, request) > 0)
        {
            return &other;
        }
    }
    return nullptr;
}

} // namespace toucanlever
