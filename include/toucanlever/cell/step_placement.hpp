/// Chooses workers for the waiting tasks of one step. Pure: it reads a pool,
/// time is an argument, and nothing is sent.
///
/// Answers the load of a full cell: small tasks go where they leave the least
/// room over, so that room for large ones stays whole; a gang is placed whole
/// or not at all.
#pragma once

#include "toucanlever/cell/worker_pool.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace toucanlever
{

/// What is to be placed.
struct placement_request
{
    /// Of each task, as it counts against the workers' capacity.
    resources need;
    std::uint32_t tasks = 1;
    bool all_or_none = false;
    bool prefers_one_rack = false;
    /// Most tasks of the step on one worker, those in `placed` counted; 0 for
    /// no limit, and `placed` is not read then.
    std::uint32_t max_per_worker = 0;
    std::map<std::string, std::uint32_t> placed_per_worker;
    std::string service;
    std::string required_label;
    std::string data_rack;
    /// Whether a worker may be chosen, beside what the pool says; all may when
    /// empty.
    std::function<bool(pool_worker const&)> allowed;
};

/// Workers among which to choose.
using candidate_workers = std::vector<pool_worker const*>;

/// A worker for each task that was placed, in the order of the tasks; fewer
/// than asked for when there is no room for the others.
std::vector<std::string> place_step(candidate_workers const& workers,
    placement_request const& request, time_point now);

/// The same among all workers of a pool.
std::vector<std::string> place_step(
    worker_pool const& pool, placement_request const& request, time_point now);

/// True when the worker runs such tasks at all, whatever is free on it.
bool is_eligible(worker_entry const& worker, placement_request const& request);

} // namespace toucanlever
