#include "toucanlever/control/job_offers.hpp"

namespace toucanlever
{

job_offers::job_offers(event_loop& loop, journal& log, job_table& jobs,
    job_waiters& waiters, placement_controller& placement,
    std::function<void(std::string const&)> requeue)
    : loop(loop)
    , log(log)
    , jobs(jobs)
    , waiters(waiters)
    , placement(placement)
    , requeue(std::move(requeue))
{
}

std::optional<offered_job> job_offers::begin_offer(std::string const& id)
{
    job_record* job = this->jobs.find(id);
    if (job == nullptr || job->recording || job->cancel_requested ||
        job->attached || !this->placement.remove(id))
    {
        return std::nullopt;
    }
    job->recording = true;
    job->offered = true;
    offered_job offered;
    offered.id = id;
    offered.spec = job->spec;
    offered.attempt = job->attempt;
    offered.failures = job->failures;
    offered.refused_placements = job->refused_placements;
    offered.checkpoint = job->checkpoint;
    offered.waiting_us = (this->loop.now() - job->accepted_at).count();
    offered.move_version = job->owner_row_version;
    return offered;
}

job_record* job_offers::find_offered(offered_job const& offered)
{
    job_record* job = this->jobs.find(offered.id);
    bool open = job != nullptr && job->offered &&
                job->owner_row_version == offered.move_version;
    return open ? job : nullptr;
}

void job_offers::confirm_transfer(
    offered_job const& offered, std::string const& owner)
{
    job_record* job = this->find_offered(offered);
    if (job == nullptr)
    {
        return;
    }
    job->offered = false;
    job->moved_to = owner;
    job->spec.input.clear();
    this->jobs.close(*job);
    this->waiters.answer(make_job_view(*job));
    this->log.append(moved_entry(job->id, owner), [](append_result const&) {});
}

void job_offers::return_to_queue(
    offered_job const& offered, std::int64_t move_version)
{
    job_record* job = this->find_offered(offered);
    if (job == nullptr)
    {
        return;
    }
    job->offered = false;
    job->owner_row_version = move_version;
    job->recording = false;
    this->requeue(job->id);
}

void job_offers::receive(offered_job const& offered)
{
    job_record job;
    job.id = offered.id;
    job.spec = offered.spec;
    job.attempt = offered.attempt;
    job.failures = offered.failures;
    job.refused_placements = offered.refused_placements;
    job.checkpoint = offered.checkpoint;
    job.accepted_at = this->loop.now() - microseconds(offered.waiting_us);
    job.owner_row_version = offered.move_version + 1;
    this->requeue(this->jobs.insert(std::move(job)).id);
}

} // namespace toucanlever
