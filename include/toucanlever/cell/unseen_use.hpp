/// What may run for the customers on workers that a new leader has not heard
/// yet. Without it, a successor would start a customer's whole cap again beside
/// the runs of its predecessor.
#pragma once

#include "toucanlever/cell/worker_roster.hpp"

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

namespace toucanlever
{

/// An upper bound per customer, recomputed at most every 100 ms and after
/// `expire`. In between, answers of workers only lower the true figure.
class unseen_use
{
public:
    /// `may_have_unseen_runs` tells of a job whether an earlier scheduler may
    /// have started it on a worker that has not answered.
    unseen_use(dispatch_state const& state, worker_roster const& roster,
        std::function<bool(registry_job const&)> may_have_unseen_runs);

    /// False once all workers have answered and the jobs of all runs are known.
    static bool is_needed(worker_pool const& pool, worker_roster const& roster)
    {
        return !roster.is_reconciled() || roster.closed_count() > 0 ||
               pool.has_unknown_needs();
    }

    /// The smaller of the capacity of the workers that have not answered and
    /// the needs of the customer's tasks that may run there, and the capacity
    /// of all workers with runs of unknown jobs.
    resources of(std::string const& customer, time_point now);

    /// Recomputes at the next call of `of`.
    void expire() { this->computed_at.reset(); }

private:
    void compute();
    void add_tasks_of(registry_job const& job);

    /// The needs of a customer's tasks that may have unseen runs.
    struct unseen_tasks
    {
        // As they count against the workers' capacity.
        resources need;
        // Processors that do not.
        std::int64_t idle_cpu_millis = 0;
    };

    dispatch_state const& state;
    worker_roster const& roster;
    std::function<bool(registry_job const&)> may_have_unseen_runs;
    // No value when it has to be recomputed.
    std::optional<time_point> computed_at;
    // The capacity of workers that have not answered, and of those with runs of
    // unknown jobs.
    resources unheard;
    resources unknown;
    // By customer.
    std::unordered_map<std::string, unseen_tasks> tasks;
};

} // namespace toucanlever
