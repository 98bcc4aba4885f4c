/// Chooses workers for the waiting tasks of one step. No side effects: it reads
/// a pool, time is an argument, and nothing is sent.
///
/// Tasks go to the worker with the tightest fit, so that a full cell keeps
/// large blocks of free capacity for large tasks. Urgent tasks go to faster
/// workers first. A gang is placed whole or not at all.
#pragma once

#include "toucanlever/cell/worker_pool.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace toucanlever
{

/// Requirements of the tasks to place.
struct placement_request
{
    /// Per task, as it counts against the workers' capacity.
    resources need;
    std::uint32_t tasks = 1;
    bool all_or_none = false;
    bool prefers_one_rack = false;
    /// Maximum number of tasks of the step on one worker, including those in
    /// `placed_per_worker`; 0 for no limit (`placed_per_worker` is not read
    /// then).
    std::uint32_t max_per_worker = 0;
    std::map<std::string, std::uint32_t> placed_per_worker;
    std::string service;
    /// As in `work_step`; empty for none.
    std::string required_label;
    std::string data_rack;
    /// Workers on which one of the tasks failed last. They are used only while
    /// no other worker has capacity.
    std::set<std::string> failed_workers;
    /// Faster workers are preferred to the tightest fit.
    bool prefers_fast_workers = false;
    /// Workers that are held back are used only while no other one has
    /// capacity. Otherwise urgent tasks, which come first in each pass, keep
    /// taking the capacity that becomes free there, and the gang never fits.
    bool avoids_held_back_workers = false;
    /// Additional filter on usable workers; empty accepts all of them.
    std::function<bool(pool_worker const&)> allowed;
    /// Workers on which tasks can start at once; the others need a new ticket
    /// first. Empty when all of them can.
    std::function<bool(pool_worker const&)> ready;
};

/// Workers to choose from.
using candidate_workers = std::vector<pool_worker const*>;

/// The worker of each placed task, in task order; shorter than `request.tasks`
/// when there is no free capacity for the rest.
std::vector<std::string> place_step(candidate_workers const& workers,
    placement_request const& request, time_point now);

/// Reorders chosen workers so that, where possible, no task gets the worker on
/// which it failed last. `last_failed` has the worker of each task, in task
/// order; empty for none.
void avoid_failed_workers(std::vector<std::string>& chosen,
    std::vector<std::string_view> const& last_failed);

/// Chooses from all workers of a pool.
std::vector<std::string> place_step(
    worker_pool const& pool, placement_request const& request, time_point now);

/// Number of the request's waiting tasks that fit into this free capacity of
/// the worker.
std::uint32_t tasks_that_fit(worker_entry const& worker, resources const& free,
    placement_request const& request);

/// True when the worker can run such tasks at all, ignoring its current
/// allocations.
bool is_eligible(worker_entry const& worker, placement_request const& request);

} // namespace toucanlever
