#include "toucanlever/cell/job_objective.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

/// Estimates come from callers unchecked; with this limit no sum of them
/// overflows.
constexpr std::int64_t max_estimate_ms = 1000000000;

} // namespace

job_objective objective_of(work_record const& record)
{
    constexpr std::int64_t permille = 1000;
    job_objective result;
    // By step: the longest path that ends with it. Steps name earlier ones
    // only.
    std::vector<std::int64_t> longest;
    longest.reserve(record.steps.size());
    for (work_step const& step : record.steps)
    {
        std::int64_t before = 0;
        for (std::uint32_t earlier : step.after)
        {
            before = std::max(before, longest.at(earlier));
        }
        longest.push_back(before + std::clamp<std::int64_t>(
                                       step.estimated_ms, 0, max_estimate_ms));
        result.critical_path_ms =
            std::max(result.critical_path_ms, longest.back());
    }
    result.objective_ms =
        record.queue.target_ms +
        result.critical_path_ms * record.queue.slack_permille / permille;
    return result;
}

bool is_of_use_at_any_time(work_record const& record)
{
    return record.repetitions > 0 ||
           std::any_of(record.steps.begin(), record.steps.end(),
               [](work_step const& step) { return step.long_running; });
}

bool is_started_in_vain(work_record const& record, std::int64_t wall_ms)
{
    job_objective const times = objective_of(record);
    return !is_of_use_at_any_time(record) &&
           wall_ms + times.critical_path_ms >
               record.accepted_ms + times.useful_ms();
}

} // namespace toucanlever
