/// This scheduler's running jobs that may be stopped at a checkpoint, by the
/// worker they run on, whoever controls that worker now.
#pragma once

#include "toucanlever/policy/placement_policy.hpp"
#include "toucanlever/wire/messages.hpp"

#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace toucanlever
{

/// See the head of this file.
class stoppable_jobs
{
public:
    void add(std::string const& worker, running_job job);
    void remove(std::string const& job_id);

    /// In the order in which they started.
    std::vector<running_job> const& jobs_on(std::string const& worker) const;

    /// What runs on workers that are not in the view, for as many workers as
    /// a heartbeat carries.
    std::vector<borrowed_worker> capacity_elsewhere(
        cell_view const& controlled) const;

    /// Jobs to stop so that `missing` becomes free on the worker, youngest
    /// first: they have done the least. What was chosen before and still runs
    /// counts, and is not named again.
    std::vector<std::string> choose_victims(
        std::string const& worker, resources const& missing);

private:
    std::unordered_map<std::string, std::vector<running_job>> by_worker;
    // Invariant: the worker under which each job stands.
    std::unordered_map<std::string, std::string> worker_of;
    // Invariant: every one stands in `worker_of`.
    std::unordered_set<std::string> chosen;
};

} // namespace toucanlever
