/// Index by worker of the running jobs that may be stopped at a checkpoint.
/// Chooses the preemption victims that interrupt the least work.
#pragma once

#include "toucanlever/policy/placement_policy.hpp"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace toucanlever
{

/// Jobs to stop on one worker.
struct victim_set
{
    worker_slot slot = 0;
    std::vector<running_job> jobs;
    /// Work since the jobs' last start, in thousandths of a processor times
    /// microseconds.
    double lost_work = 0.0;
};

/// Decides which jobs may be preempted.
class victim_rule
{
public:
    virtual ~victim_rule() = default;

    /// True when this job may be stopped; `lost` is the total that its customer
    /// loses then.
    virtual bool may_stop(
        running_job const& job, resources const& lost) const = 0;
};

class preemption_index
{
public:
    void track(running_job job, worker_slot slot);
    void untrack(std::string const& job_id);

    /// Drops all jobs of a worker that is about to leave the view.
    void remove_worker(worker_slot slot);

    /// The maximum of each dimension that stopping all tracked jobs can make
    /// free on any one worker.
    resources max_reclaimable(cell_view const& cell) const;

    /// Of a few workers on which preemption makes `need` fit, the one with the
    /// least interrupted work; nothing when none is found. `lost` is what each
    /// customer already loses to the same job.
    std::optional<victim_set> find_cheapest(cell_view const& cell,
        resources const& need, victim_rule const& rule,
        std::map<std::string, resources> const& lost, std::int64_t now_us);

private:
    std::optional<victim_set> victims_on(cell_view const& cell,
        worker_slot slot, resources const& need, victim_rule const& rule,
        std::map<std::string, resources> lost, std::int64_t now_us) const;

    std::unordered_map<worker_slot, std::vector<running_job>> by_slot;
    // Invariant: the slot of every job in `by_slot`.
    std::unordered_map<std::string, worker_slot> slot_of;
    // Start of the next search, so that searches rotate over all workers.
    worker_slot next_slot = 0;
};

} // namespace toucanlever
