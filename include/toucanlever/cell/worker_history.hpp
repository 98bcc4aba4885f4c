/// The recent behavior of one worker: how fast it runs tasks, and whether its
/// runs make progress.
///
/// Addresses workers of uneven speed, and workers that accept tasks and then
/// hang. Pure state; time is an argument. All evidence ages, so that a worker
/// is judged by what it does now.
#pragma once

#include "toucanlever/cell/work.hpp"
#include "toucanlever/core/clock.hpp"

#include <array>
#include <map>
#include <optional>
#include <vector>

namespace toucanlever
{

/// The speed of a worker in comparison with the others, fastest first. Workers
/// without evidence are `normal`.
enum class worker_speed
{
    fast,
    normal,
    slow
};

/// A run as a report lists it.
struct reported_run
{
    task_id task;
    std::uint64_t run = 0;
    /// Completed share of its work, in percent.
    int progress = 0;
    /// How long a working run may show the same progress; no value when the run
    /// is no evidence of a stall, for example in a gang that may wait for a
    /// member on another worker.
    std::optional<milliseconds> patience;
};

/// What an observation has changed.
enum class stall_change
{
    none,
    stalled,
    progresses
};

/// The behavior of one incarnation of a worker.
class worker_history
{
public:
    /// A run as observed in reports.
    struct observed_run
    {
        std::uint64_t run = 0;
        int progress = 0;
        /// The first report that listed the run with this progress.
        time_point since{};
    };

    /// Notes the arrival of a report.
    void note_report(time_point now) { this->last_report = now; }
    /// The arrival of the last report; unset before the first.
    time_point reported_at() const { return this->last_report; }

    /// Adds the ratio of a successful run's time to its estimate.
    void add_run(double ratio, time_point now);

    /// The median ratio of the recent runs; no value while they are too few.
    std::optional<double> median_ratio(time_point now) const;

    /// False while the last observation is so recent that runs need not have
    /// made progress since.
    bool is_observation_due(time_point now) const;

    /// Compares the runs of a report with the last observation. With
    /// `may_stall` false, no stall is concluded.
    stall_change observe(std::vector<reported_run> const& listed,
        bool may_stall, time_point now);

    /// Notes that a run has succeeded or failed, so that the worker works;
    /// true when it was stalled.
    bool end_stall();

    /// Forgets the observed runs, because reports were missing.
    void forget_progress();

    bool is_stalled() const { return this->stalled; }

    /// True while a stalled worker gets no work.
    bool is_barred(time_point now) const
    {
        return this->stalled && now < this->try_at;
    }

    /// Notes that a step was placed on the worker. While it is stalled, no
    /// other step is for some time.
    void note_placement(time_point now);

    std::map<task_id, observed_run> const& runs() const { return this->seen; }
    time_point observed_at() const { return this->last_observation; }
    /// When a run was last seen to have made progress; unset before.
    time_point progress_at() const { return this->last_progress; }

private:
    struct measured_run
    {
        double ratio = 0.0;
        time_point at{};
    };

    static constexpr std::size_t max_measured = 16;

    // A ring; entries that were never set have no time.
    std::array<measured_run, max_measured> measured;
    std::size_t next_measured = 0;
    std::map<task_id, observed_run> seen;
    time_point last_report{};
    time_point last_observation{};
    time_point last_progress{};
    bool stalled = false;
    // When a step may be tried on it; valid while `stalled`.
    time_point try_at{};
};

/// The median of the values, the greater of the two middle ones of an even
/// number; the values must not be empty.
double median_of(std::vector<double> values);

/// Compares the median ratio of a worker with that of all workers.
worker_speed compare_speed(double ratio, double median);

} // namespace toucanlever
