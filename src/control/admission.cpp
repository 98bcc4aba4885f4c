#include "toucanlever/control/admission.hpp"

#include "toucanlever/core/error.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

char const* const step = "accept-job";

} // namespace

admission::admission(configuration_controller const& configuration,
    job_table const& jobs, std::int64_t max_open)
    : configuration(configuration)
    , jobs(jobs)
    , max_open(max_open)
{
}

void admission::set_capacities(std::vector<resources> capacities)
{
    this->capacities = std::move(capacities);
}

void admission::check(job_spec const& spec) const
{
    this->check_limits(spec);
    if (!this->fits_somewhere(spec.need))
    {
        throw error(error_code::rejected,
            "no worker has the requested " + this->lacking_dimension(spec.need),
            step);
    }
}

void admission::check_limits(job_spec const& spec) const
{
    cell_config const& config = this->configuration.config();
    auto customer = config.customers.find(spec.customer);
    if (customer == config.customers.end())
    {
        throw error(error_code::unauthenticated,
            "no such customer: " + spec.customer, step);
    }
    auto open = static_cast<std::int64_t>(this->jobs.open_count());
    bool too_many = this->jobs.open_count_of(spec.customer) >=
                        customer->second.max_open_jobs ||
                    open >= this->max_open;
    if (too_many)
    {
        throw error(error_code::limited,
            "too many open jobs: the limit of the customer or of the scheduler "
            "is reached",
            step);
    }
}

bool admission::fits_somewhere(resources const& need) const
{
    return this->capacities.empty() ||
           std::any_of(this->capacities.begin(), this->capacities.end(),
               [&need](resources const& capacity)
               { return capacity.fits(need); });
}

std::string admission::lacking_dimension(resources const& need) const
{
    for (std::size_t d = 0; d < resources::dimensions; ++d)
    {
        bool enough =
            std::any_of(this->capacities.begin(), this->capacities.end(),
                [&need, d](resources const& capacity)
                { return capacity.at(d) >= need.at(d); });
        if (!enough)
        {
            return std::string(dimension_name(d));
        }
    }
    return "combination of resources";
}

} // namespace toucanlever
