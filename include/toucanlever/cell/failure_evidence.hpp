/// Decides whether failed runs speak against their worker or against their own
/// job, and quarantines workers.
///
/// A step that fails on several workers and has succeeded on none is at fault
/// itself: its failures do not count against any worker. Until that is known,
/// it counts once for each worker. Once one of its tasks has succeeded, each
/// of its failures counts. A worker gets no work for a while after several
/// counted failures without a success in between.
#pragma once

#include "toucanlever/cell/work_registry.hpp"
#include "toucanlever/cell/worker_pool.hpp"

#include <string>

namespace toucanlever
{

/// Updates the health of workers with the outcomes of their runs.
class failure_evidence
{
public:
    /// Both outlive this object.
    failure_evidence(work_registry& registry, worker_pool& pool);

    /// Records that a run of the step has succeeded on the worker; to be called
    /// after the registry has recorded it.
    void record_success(
        std::string const& worker, step_id const& step, time_point now);

    /// Records that a run of the step has failed on the worker, or that the
    /// worker has refused to start one.
    void record_failure(
        std::string const& worker, step_id const& step, time_point now);

private:
    /// Counts the failures on the worker again. Quarantines it when there are
    /// more than before, and ends its quarantine when too few are left.
    void assess(pool_worker& worker, time_point now);
    /// The same for all workers on which the step has failed.
    void assess_failing_workers(registry_step const& step, time_point now);
    /// False when so many workers of its service are in quarantine already that
    /// the jobs are more likely to be the cause.
    bool may_quarantine(pool_worker const& worker, time_point now) const;

    work_registry& registry;
    worker_pool& pool;
};

} // namespace toucanlever
