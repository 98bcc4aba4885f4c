#include "toucanlever/cell/crash_evidence.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace toucanlever
{
namespace
{

using double_seconds = std::chrono::duration<double>;

/// Crashes per second that are expected of each worker of a calm cell.
constexpr double calm_rate = 1.0 / 120;
/// A crash is evidence when at most this many were expected.
constexpr double max_expected_crashes = 0.01;
/// The outages of workers are noticed in another order than that in which they
/// happen.
constexpr milliseconds retention{30000};

} // namespace

bool crash_suspect::was_at(worker_outage const& outage) const
{
    if (!this->gang)
    {
        return outage.tasks.contains(this->task);
    }
    auto first = outage.tasks.lower_bound({this->task.step, 0});
    return first != outage.tasks.end() && first->step == this->task.step;
}

void crash_evidence::record(worker_outage outage)
{
    std::erase_if(this->recent,
        [&outage](worker_outage const& each) {
            return each.worker == outage.worker ||
                   each.at + retention < outage.at;
        });
    this->recent.push_back(std::move(outage));
}

bool crash_evidence::speaks_against(crash_suspect const& suspect,
    worker_outage const& crash, std::size_t cell_size) const
{
    auto others = std::count_if(this->recent.begin(), this->recent.end(),
        [&suspect, &crash](worker_outage const& each)
        {
            return each.worker != crash.worker &&
                   std::chrono::abs(each.at - crash.at) <= same_cause &&
                   !suspect.was_at(each);
        });
    // Expected crashes per second of one worker.
    double rate = calm_rate +
                  static_cast<double>(others) /
                      static_cast<double>(std::max(cell_size, std::size_t{1})) /
                      double_seconds(same_cause).count();
    double_seconds age = crash.at - suspect.started_at;
    double expected = rate * static_cast<double>(suspect.workers) *
                      std::max(age.count(), 0.0);
    return expected <= max_expected_crashes;
}

} // namespace toucanlever
