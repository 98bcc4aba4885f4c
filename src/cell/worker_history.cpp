#include "toucanlever/cell/worker_history.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

/// Runs older than this say nothing about the worker's present speed.
constexpr std::chrono::seconds evidence_lifetime{30};
/// Fewer runs may differ from their estimates by the callers' fault.
constexpr std::size_t min_measured = 5;
/// A worker is slow or fast when its median ratio is above or below that of all
/// workers by these factors; smaller differences are within the variation of
/// the estimates.
constexpr double slow_factor = 1.4;
constexpr double fast_factor = 0.7;
/// Observations are at least this far apart: tasks of up to 25 s make several
/// percent of progress in this time.
constexpr milliseconds min_observation_interval{1000};
/// One run may be stuck by its own fault.
constexpr std::size_t stuck_runs_of_stall = 2;
/// A stalled worker without a sign of progress is tried again after this time.
constexpr std::chrono::seconds retry_interval{10};
constexpr int complete_percent = 100;

} // namespace

void worker_history::add_run(double ratio, time_point now)
{
    this->measured[this->next_measured] = {ratio, now};
    this->next_measured = (this->next_measured + 1) % max_measured;
}

std::optional<double> worker_history::median_ratio(time_point now) const
{
    std::vector<double> ratios;
    for (measured_run const& run : this->measured)
    {
        if (run.at != time_point{} && now - run.at <= evidence_lifetime)
        {
            ratios.push_back(run.ratio);
        }
    }
    if (ratios.size() < min_measured)
    {
        return std::nullopt;
    }
    return median_of(std::move(ratios));
}

bool worker_history::is_observation_due(time_point now) const
{
    return now - this->last_observation >= min_observation_interval;
}

stall_change worker_history::observe(
    std::vector<reported_run> const& listed, bool may_stall, time_point now)
{
    if (!this->is_observation_due(now))
    {
        return stall_change::none;
    }
    this->last_observation = now;
    std::map<task_id, observed_run> current;
    bool progresses = false;
    std::size_t working = 0;
    std::size_t stuck = 0;
    for (reported_run const& run : listed)
    {
        observed_run observed{run.run, run.progress, now};
        auto earlier = this->seen.find(run.task);
        bool is_known =
            earlier != this->seen.end() && earlier->second.run == run.run;
        if (is_known && earlier->second.progress == run.progress)
        {
            observed.since = earlier->second.since;
        }
        progresses =
            progresses || (is_known && run.progress > earlier->second.progress);
        if (run.patience && run.progress < complete_percent)
        {
            ++working;
            auto needed = std::max(min_observation_interval, *run.patience);
            stuck += now - observed.since >= needed ? 1 : 0;
        }
        current.emplace(run.task, observed);
    }
    this->seen = std::move(current);
    if (progresses)
    {
        this->last_progress = now;
        return this->end_stall() ? stall_change::progresses
                                 : stall_change::none;
    }
    bool stalls =
        stuck >= stuck_runs_of_stall || (stuck > 0 && stuck == working);
    if (!stalls || !may_stall || this->stalled)
    {
        return stall_change::none;
    }
    this->stalled = true;
    this->try_at = now + retry_interval;
    return stall_change::stalled;
}

bool worker_history::end_stall()
{
    bool was_stalled = this->stalled;
    this->stalled = false;
    return was_stalled;
}

void worker_history::forget_progress()
{
    this->seen.clear();
    this->last_observation = {};
}

void worker_history::note_placement(time_point now)
{
    this->try_at = now + retry_interval;
}

double median_of(std::vector<double> values)
{
    auto middle =
        values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

worker_speed compare_speed(double ratio, double median)
{
    if (ratio > slow_factor * median)
    {
        return worker_speed::slow;
    }
    return ratio < fast_factor * median ? worker_speed::fast
                                        : worker_speed::normal;
}

} // namespace toucanlever
