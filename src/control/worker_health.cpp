#include "toucanlever/control/worker_health.hpp"

#include <algorithm>

namespace toucanlever
{

bool worker_health::record_failure(
    std::string const& worker, std::string const& job_id)
{
    std::set<std::string>& jobs = this->failed_jobs[worker];
    if (jobs.size() < suspect_after)
    {
        jobs.insert(job_id);
    }
    return jobs.size() < suspect_after;
}

bool worker_health::record_success(std::string const& worker)
{
    bool suspected = this->is_suspected(worker);
    this->failed_jobs.erase(worker);
    return suspected;
}

bool worker_health::is_suspected(std::string const& worker) const
{
    auto found = this->failed_jobs.find(worker);
    return found != this->failed_jobs.end() &&
           found->second.size() >= suspect_after;
}

std::size_t worker_health::suspected_count() const
{
    return static_cast<std::size_t>(
        std::count_if(this->failed_jobs.begin(), this->failed_jobs.end(),
            [](auto const& entry)
            { return entry.second.size() >= suspect_after; }));
}

} // namespace toucanlever
