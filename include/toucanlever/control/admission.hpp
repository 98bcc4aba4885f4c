/// Decides whether a new job may be accepted at all: its customer, how much
/// is open already, and whether any worker could ever run it.
#pragma once

#include "toucanlever/control/configuration_controller.hpp"
#include "toucanlever/control/job_table.hpp"
#include "toucanlever/core/job.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace toucanlever
{

/// See the head of this file.
class admission
{
public:
    admission(configuration_controller const& configuration,
        job_table const& jobs, std::int64_t max_open);

    /// The capacities a job may count on, for refusing impossible ones.
    void set_capacities(std::vector<resources> shapes);

    /// Throws an `error` that says why the job cannot be accepted.
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
