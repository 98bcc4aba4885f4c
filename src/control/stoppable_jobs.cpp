#include "toucanlever/control/stoppable_jobs.hpp"

namespace toucanlever
{
namespace
{

// Workers named in one heartbeat, some 40 bytes each: a rack that changed
// hands and more.
constexpr std::size_t max_lent_workers = 64;

} // namespace

void stoppable_jobs::add(std::string const& worker, running_job job)
{
    this->remove(job.id);
    this->worker_of[job.id] = worker;
    this->by_worker[worker].push_back(std::move(job));
}

void stoppable_jobs::remove(std::string const& job_id)
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

std::vector<running_job> const& stoppable_jobs::jobs_on(
    std::string const& worker) const
{
    static std::vector<running_job> const none;
    auto found = this->by_worker.find(worker);
    return found == this->by_worker.end() ? none : found->second;
}

std::vector<borrowed_worker> stoppable_jobs::capacity_elsewhere(
    cell_view const& controlled) const
{
    std::vector<borrowed_worker> rooms;
    for (auto const& entry : this->by_worker)
    {
        if (controlled.find(entry.first))
        {
            continue;
        }
        if (rooms.size() >= max_lent_workers)
        {
            break;
        }
        borrowed_worker room{entry.first, {}};
        for (running_job const& job : entry.second)
        {
            room.preemptible += job.need;
        }
        rooms.push_back(std::move(room));
    }
    return rooms;
}

std::vector<std::string> stoppable_jobs::choose_victims(
    std::string const& worker, resources const& missing)
{
    std::vector<running_job> const& jobs = this->jobs_on(worker);
    resources made{};
    for (running_job const& job : jobs)
    {
        if (this->chosen.count(job.id) > 0)
        {
            made += job.need;
        }
    }
    std::vector<std::string> fresh;
    for (auto each = jobs.rbegin(); each != jobs.rend() && !made.fits(missing);
         ++each)
    {
        if (this->chosen.insert(each->id).second)
        {
            made += each->need;
            fresh.push_back(each->id);
        }
    }
    return fresh;
}

} // namespace toucanlever
