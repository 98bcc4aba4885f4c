/// A scheduler's state for operators, as JSON.
#pragma once

#include "toucanlever/control/configuration_controller.hpp"
#include "toucanlever/control/job_controller.hpp"
#include "toucanlever/control/placement_controller.hpp"
#include "toucanlever/control/worker_health.hpp"
#include "toucanlever/control/worker_registry.hpp"
#include "toucanlever/wire/messages.hpp"

#include <memory>
#include <string>

namespace toucanlever
{

/// Answers operator queries from the controllers' state; changes nothing.
class operator_listing
{
public:
    operator_listing(configuration_controller const& configuration,
        placement_controller const& placement, worker_registry const& workers,
        worker_health const& health,
        std::unique_ptr<job_controller> const& jobs)
        : configuration(configuration)
        , placement(placement)
        , workers(workers)
        , health(health)
        , jobs(jobs)
    {
    }

    /// Returns the answer as JSON; throws an `error` for an unknown listing.
    /// `own` is the scheduler's state as sent in its heartbeats.
    std::string answer(
        operator_query const& query, scheduler_state const& own) const;

private:
    std::string list_members(scheduler_state const& own) const;
    std::string list_workers(scheduler_state const& own) const;
    std::string list_jobs() const;

    configuration_controller const& configuration;
    placement_controller const& placement;
    worker_registry const& workers;
    worker_health const& health;
    // Null until the scheduler creates it, before the first query.
    std::unique_ptr<job_controller> const& jobs;
};

} // namespace toucanlever
