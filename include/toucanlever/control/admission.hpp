/// Admission control: checks a new job's customer, the limits on open jobs,
/// and whether the capacity of any worker suffices for one of its tasks.
#pragma once

#include "toucanlever/control/configuration_controller.hpp"
#include "toucanlever/control/job_table.hpp"
#include "toucanlever/core/job.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace toucanlever
{

/// Checks new jobs; keeps no record of them.
class admission
{
public:
    /// `max_open` limits the open jobs of all customers together.
    admission(configuration_controller const& configuration,
        job_table const& jobs, std::int64_t max_open);

    /// Sets the worker capacities that jobs are checked against. While the
    /// list is empty, no job is rejected for its size.
    void set_capacities(std::vector<resources> capacities);

    /// Throws an `error` with the reason if the job cannot be accepted.
    void check(job_spec const& spec) const;

private:
    void check_limits(job_spec const& spec) const;
    bool fits_somewhere(resources const& need) const;
    std::string lacking_dimension(resources const& need) const;

    configuration_controller const& configuration;
    job_table const& jobs;
    std::int64_t max_open;
    std::vector<resources> capacities;
};

} // namespace toucanlever
