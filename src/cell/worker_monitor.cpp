#include "toucanlever/cell/worker_monitor.hpp"

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

void worker_monitor::on_report(pool_worker& worker, watch_result const&)
{
    time_point now = this->state.dependencies.loop.now();
    worker.history.note_report(now);
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
}

void worker_monitor::compare_speeds(time_point now)
{
    std::vector<std::pair<pool_worker*, double>> measured;
    std::vector<double> ratios;
    for (auto& [id, worker] : this->state.pool.all())
    {
        worker.speed = worker_speed::normal;
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
    metrics().set("workers_slow", slow);
    metrics().set("workers_fast", fast);
}

} // namespace toucanlever
