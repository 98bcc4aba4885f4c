#include "toucanlever/control/preemptible_jobs.hpp"

namespace toucanlever
{
namespace
{

// Workers named in one heartbeat, about 40 bytes each: enough for more than a
// rack whose control has moved to another scheduler.
constexpr std::size_t max_reported_workers = 64;

} // namespace

void preemptible_jobs::add(std::string const& worker, running_job job)
{
    this->remove(job.id);
    this->worker_of[job.id] = worker;
    this->by_worker[worker].push_back(std::move(job));
}

void preemptible_jobs::remove(std::string const& job_id)
{
    auto found = this->worker_of.find(job_id);
    if (found == this->worker_of.end())
    {
        return;
    }
    auto jobs = this->by_worker.find(found->second);
    std::erase_if(jobs->second,
        [&job_id](running_job const& job) { return job.id == job_id; });
    if (jobs->second.empty())
    {
        this->by_worker.erase(jobs);
    }
    this->worker_of.erase(found);
    this->chosen.erase(job_id);
}

std::vector<running_job> const& preemptible_jobs::jobs_on(
    std::string const& worker) const
{
    static std::vector<running_job> const none;
    auto found = this->by_worker.find(worker);
    return found == this->by_worker.end() ? none : found->second;
}

std::vector<borrowed_worker> preemptible_jobs::capacity_elsewhere(
    cell_view const& controlled) const
{
    std::vector<borrowed_worker> capacities;
    for (auto const& entry : this->by_worker)
    {
        if (controlled.find(entry.first))
        {
            continue;
        }
        if (capacities.size() >= max_reported_workers)
        {
            break;
        }
        borrowed_worker capacity{entry.first, {}};
        for (running_job const& job : entry.second)
        {
            capacity.preemptible += job.need;
        }
        capacities.push_back(std::move(capacity));
    }
    return capacities;
}

std::vector<std::string> preemptible_jobs::choose_victims(
    std::string const& worker, resources const& missing)
{
    std::vector<running_job> const& jobs = this->jobs_on(worker);
    resources freed{};
    for (running_job const& job : jobs)
    {
        if (this->chosen.count(job.id) > 0)
        {
            freed += job.need;
        }
    }
    std::vector<std::string> victims;
    for (auto each = jobs.rbegin(); each != jobs.rend() && !freed.fits(missing);
         ++each)
    {
        if (this->chosen.insert(each->id).second)
        {
            freed += each->need;
            victims.push_back(each->id);
        }
    }
    return victims;
}

} // namespace toucanlever
