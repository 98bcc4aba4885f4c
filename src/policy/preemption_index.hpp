/// Running jobs that may be stopped at a checkpoint, by worker, and the choice
/// among them that interrupts the least work.
#pragma once

#include "toucanlever/policy/placement_policy.hpp"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace toucanlever
{

/// What would be stopped on a worker, and the work since its last start in
/// processor-thousandths times microseconds.
struct victim_set
{
    worker_slot slot = 0;
    std::vector<running_job> jobs;
    double lost_work = 0.0;
};

/// Whose jobs may be stopped.
class victim_rule
{
public:
    virtual ~victim_rule() = default;

    /// Whether this job may be stopped when its customer then loses `lost`
    /// in all.
    virtual bool may_stop(
        running_job const& job, resources const& lost) const = 0;
};

/// See the head of this file.
class preemption_index
{
public:
    void track(running_job job, worker_slot slot);
    void untrack(std::string const& job_id);

    /// The worker leaves the view.
    void remove_worker(worker_slot slot);

    /// The most of each dimension that stopping all of this could make free on
    /// one worker.
    resources max_reclaimable(cell_view const& cell) const;

    /// Of a few workers that could make room for `need`, the one where that
    /// interrupts the least. `lost` is what customers lose already.
    std::optional<victim_set> find_cheapest(cell_view const& cell,
        resources const& need, victim_rule const& rule,
        std::map<std::string, resources> const& lost, std::int64_t now_us);

private:
    std::optional<victim_set> victims_on(cell_view const& cell,
        worker_slot slot, resources const& need, victim_rule const& rule,
        std::map<std::string, resources> lost, std::int64_t now_us) const;

    std::unordered_map<worker_slot, std::vector<running_job>> by_slot;
    // Invariant: the slot under which each tracked job stands.
    std::unordered_map<std::string, worker_slot> slot_of;
    // Where the next search begins, so that all workers get their turn.
    worker_slot next_slot = 0;
};

} // namespace toucanlever
