/// This scheduler's running jobs that may be stopped at a checkpoint, by
/// worker, including workers that another scheduler now controls.
#pragma once

#include "toucanlever/policy/placement_policy.hpp"
#include "toucanlever/wire/messages.hpp"

#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace toucanlever
{

/// Indexes the jobs by worker and chooses which to preempt.
class preemptible_jobs
{
public:
    void add(std::string const& worker, running_job job);
    void remove(std::string const& job_id);

    /// The jobs on a worker in the order in which they started.
    std::vector<running_job> const& jobs_on(std::string const& worker) const;

    /// What stopping jobs could free on workers that are not in the view, for
    /// at most as many workers as a heartbeat carries.
    std::vector<borrowed_worker> capacity_elsewhere(
        cell_view const& controlled) const;

    /// Chooses jobs to stop so that `missing` becomes free on the worker,
    /// youngest first, as these lose the least work. Jobs that were chosen
    /// before and still run count towards `missing` and are not returned again.
    std::vector<std::string> choose_victims(
        std::string const& worker, resources const& missing);

private:
    std::unordered_map<std::string, std::vector<running_job>> by_worker;
    // Invariant: the key in `by_worker` of each job.
    std::unordered_map<std::string, std::string> worker_of;
    // Invariant: each chosen job is in `worker_of`.
    std::unordered_set<std::string> chosen;
};

} // namespace toucanlever
