#include "toucanlever/cell/backlog_forecast.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace toucanlever
{
namespace
{

/// While runs are long or the cell has just been started, few completions do
/// not show that it is slow.
constexpr std::int64_t min_rate_parts = 10;
/// Fast workers complete more work than their processors times the time.
constexpr double max_rate_factor = 2.0;
/// Longer than any caller waits; keeps the sums of estimates in range.
constexpr std::int64_t max_wait_ms = 3600000;

/// A position in the planning order and the work up to there.
struct work_sum
{
    std::int64_t priority = 0;
    std::int64_t latest_start_ms = 0;
    double cpu_millis = 0;
    /// Thousandths of a core times milliseconds.
    double work = 0;
};

/// Running sums of the steps of one group.
class group_sums
{
public:
    void add(waiting_work const& step)
    {
        work_sum sum = this->total();
        sum.priority = step.priority;
        sum.latest_start_ms = step.latest_start_ms;
        double cpu_millis = static_cast<double>(step.cpu_millis) *
                            static_cast<double>(step.tasks);
        sum.cpu_millis += cpu_millis;
        sum.work += cpu_millis * static_cast<double>(std::max<std::int64_t>(
                                     0, step.estimated_ms));
        this->sums.push_back(sum);
    }

    work_sum total() const
    {
        return this->sums.empty() ? work_sum{} : this->sums.back();
    }

    /// The sums of all steps up to this position.
    work_sum before(std::int64_t priority, std::int64_t latest_start_ms) const
    {
        auto after = std::partition_point(this->sums.begin(), this->sums.end(),
            [&](work_sum const& sum)
            {
                return std::tie(sum.priority, sum.latest_start_ms) <=
                       std::tie(priority, latest_start_ms);
            });
        return after == this->sums.begin() ? work_sum{} : *std::prev(after);
    }

private:
    std::vector<work_sum> sums;
};

/// How long a new job waits behind this work.
std::int64_t wait_behind(
    work_sum const& ahead, std::int64_t free, std::int64_t rate)
{
    // What fits into the free capacity starts at once.
    if (ahead.cpu_millis <= static_cast<double>(free))
    {
        return 0;
    }
    if (rate <= 0)
    {
        return max_wait_ms;
    }
    double waiting_part = 1.0 - static_cast<double>(free) / ahead.cpu_millis;
    double wait = ahead.work * waiting_part / static_cast<double>(rate);
    return static_cast<std::int64_t>(
        std::min(wait, static_cast<double>(max_wait_ms)));
}

} // namespace

void backlog_forecast::note_completed(std::int64_t priority,
    std::uint32_t tasks, std::int64_t cpu_millis, std::int64_t estimated_ms)
{
    this->completed[priority] +=
        static_cast<double>(tasks) * static_cast<double>(cpu_millis) *
        static_cast<double>(std::max<std::int64_t>(0, estimated_ms));
}

void backlog_forecast::update_rate(
    forecast_capacity const& capacity, bool had_backlog_before, time_point now)
{
    auto elapsed =
        std::chrono::duration_cast<milliseconds>(now - this->updated_at)
            .count();
    bool is_first = this->updated_at == time_point{};
    if (!is_first)
    {
        // While nothing waits, completions show only what was submitted.
        double work = 0;
        for (auto const& [priority, amount] : this->completed)
        {
            work += amount;
        }
        if (!had_backlog_before)
        {
            work = std::max(work, static_cast<double>(capacity.usable) *
                                      static_cast<double>(elapsed));
        }
        this->samples.at(this->next_sample) = {
            work, std::move(this->completed), elapsed};
        this->next_sample = (this->next_sample + 1) % periods;
    }
    this->completed.clear();
    rate_sample sum;
    for (rate_sample const& sample : this->samples)
    {
        sum.work += sample.work;
        sum.duration_ms += sample.duration_ms;
    }
    // Wrong estimates must not make the cell seem faster than it can be.
    double measured = static_cast<double>(capacity.usable);
    if (sum.duration_ms > 0)
    {
        measured = std::min(max_rate_factor * measured,
            sum.work / static_cast<double>(sum.duration_ms));
    }
    this->min_rate = capacity.usable / min_rate_parts;
    this->work_rate =
        std::max(static_cast<std::int64_t>(measured), this->min_rate);
}

std::int64_t backlog_forecast::rate_for(std::int64_t priority) const
{
    double urgent = 0;
    std::int64_t duration_ms = 0;
    for (rate_sample const& sample : this->samples)
    {
        duration_ms += sample.duration_ms;
        for (auto const& [of, amount] : sample.completed)
        {
            urgent += of < priority ? amount : 0;
        }
    }
    if (duration_ms == 0)
    {
        return this->work_rate;
    }
    double left = static_cast<double>(this->work_rate) -
                  urgent / static_cast<double>(duration_ms);
    return std::max(static_cast<std::int64_t>(left), this->min_rate);
}

void backlog_forecast::update(std::vector<waiting_work> const& waiting,
    forecast_capacity const& capacity,
    std::vector<forecast_queue> const& queues, std::int64_t wall_ms,
    time_point now)
{
    this->update_rate(capacity, this->had_backlog, now);
    this->updated_at = now;
    this->had_backlog = !waiting.empty();
    group_sums in_time;
    group_sums late;
    for (waiting_work const& step : waiting)
    {
        (step.in_time ? in_time : late).add(step);
    }
    this->current.clear();
    // Without usable workers, as after a failed read of their list, nothing is
    // known about the time until there are some.
    if (capacity.usable <= 0)
    {
        return;
    }
    for (forecast_queue const& queue : queues)
    {
        std::int64_t const rate = this->rate_for(queue.priority);
        std::int64_t wait_ms = wait_behind(
            in_time.before(queue.priority, wall_ms + queue.target_ms),
            capacity.free, rate);
        if (wait_ms > queue.target_ms)
        {
            // The job will be late when it gets there, and comes after late
            // ones of its priority. Steps of lower priority that are in time
            // then come first, too, but are not counted: they are rejected
            // sooner than this job, and the sum would make the cell reject
            // urgent jobs that are in time without rejections.
            work_sum ahead = in_time.before(
                queue.priority, std::numeric_limits<std::int64_t>::max());
            work_sum const late_ahead = late.before(
                queue.priority, std::numeric_limits<std::int64_t>::max());
            ahead.cpu_millis += late_ahead.cpu_millis;
            ahead.work += late_ahead.work;
            wait_ms = wait_behind(ahead, capacity.free, rate);
        }
        this->current.push_back({queue.name, wait_ms});
    }
}

} // namespace toucanlever
