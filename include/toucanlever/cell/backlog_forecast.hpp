/// Estimates, for each queue, how long a new job would wait for capacity. No
/// I/O; time is an argument.
///
/// Addresses callers that send more than the cell can do: half of the jobs are
/// then of no use when they end, and the capacity that they took is lost to the
/// others. The entry instances reject by these estimates.
#pragma once

#include "toucanlever/cell/cell_messages.hpp"
#include "toucanlever/core/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace toucanlever
{

/// A ready step as the forecast sees it.
struct waiting_work
{
    std::int64_t priority = 0;
    std::int64_t latest_start_ms = 0;
    /// The step can still start in time; otherwise it is late, but of use.
    bool in_time = true;
    /// Number of tasks that wait.
    std::uint32_t tasks = 1;
    /// Of one task, as is the estimate.
    std::int64_t cpu_millis = 0;
    std::int64_t estimated_ms = 0;
};

/// The capacity on which work may be placed now, in thousandths of a core.
struct forecast_capacity
{
    std::int64_t usable = 0;
    std::int64_t free = 0;
};

/// Terms of a queue that decide where a new job of it comes in the planning
/// order.
struct forecast_queue
{
    std::string name;
    std::int64_t priority = 0;
    std::int64_t target_ms = 0;
};

/// The forecast of one leader term.
class backlog_forecast
{
public:
    /// Time between two updates.
    static constexpr milliseconds period{250};
    /// The rate of completions is measured over this time.
    static constexpr milliseconds window{5000};

    /// Notes that tasks of a job with this priority have succeeded, each with
    /// these processors and this estimate.
    void note_completed(std::int64_t priority, std::uint32_t tasks,
        std::int64_t cpu_millis, std::int64_t estimated_ms);

    /// Computes the estimates. `waiting` is sorted by priority, then by the
    /// latest start, and has no steps that start after a new job in any case.
    void update(std::vector<waiting_work> const& waiting,
        forecast_capacity const& capacity,
        std::vector<forecast_queue> const& queues, std::int64_t wall_ms,
        time_point now);

    /// Empty while there is no usable capacity.
    std::vector<queue_estimate> const& estimates() const
    {
        return this->current;
    }

    /// When the estimates were computed.
    time_point updated_at_time() const { return this->updated_at; }

    /// The rate at which the cell completes work, in thousandths of a core.
    std::int64_t rate() const { return this->work_rate; }

    /// The part of the rate that is left for work of this priority: work of
    /// higher priority that is submitted later comes before it, too.
    std::int64_t rate_for(std::int64_t priority) const;

private:
    void update_rate(
        forecast_capacity const& capacity, bool had_backlog, time_point now);

    static constexpr std::size_t periods =
        static_cast<std::size_t>(window / period);

    // Amounts of work are thousandths of a core times milliseconds; as floating
    // point numbers, because callers may name any estimate.
    struct rate_sample
    {
        double work = 0;
        std::map<std::int64_t, double> completed;
        std::int64_t duration_ms = 0;
    };

    // By priority: work completed since the last update.
    std::map<std::int64_t, double> completed;
    // A ring; entries with a duration of 0 are unused.
    std::array<rate_sample, periods> samples{};
    std::size_t next_sample = 0;
    bool had_backlog = false;
    std::int64_t work_rate = 0;
    std::int64_t min_rate = 0;
    time_point updated_at{};
    std::vector<queue_estimate> current;
};

} // namespace toucanlever
