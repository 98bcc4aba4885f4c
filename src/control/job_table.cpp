#include "toucanlever/control/job_table.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

// Callers find a job that runs elsewhere through the record of its move.
constexpr std::chrono::seconds moved_retention{24 * 3600};

bool is_over_here(job_record const& job)
{
    return is_terminal(job.state) || !job.moved_to.empty();
}

/// Only the record of a moved or offered job may be replaced: the record found
/// at the succession names the job's current owner in the table service. The
/// stored record stays when that owner is this scheduler or one that it has
/// succeeded.
bool may_be_replaced(job_record const& stored, job_record const& found,
    std::set<std::string> const& served_before)
{
    bool came_here = served_before.count(found.moved_to) > 0;
    return (stored.offered || !stored.moved_to.empty()) && !came_here;
}

} // namespace

journal_entry ended_entry(
    job_record const& job, job_state state, std::string const& reason)
{
    journal_entry entry;
    entry.event = journal_event::ended;
    entry.job_id = job.id;
    entry.attempt = job.attempt;
    entry.state = state;
    entry.worker = job.worker;
    entry.reason = reason;
    entry.result = state == job_state::succeeded ? job.result : "";
    entry.waited_ms = job.waited_ms;
    return entry;
}

journal_entry moved_entry(std::string const& job_id, std::string const& owner)
{
    journal_entry entry;
    entry.event = journal_event::moved;
    entry.job_id = job_id;
    entry.reason = owner;
    return entry;
}

job_table::job_table(clock const& time, std::chrono::seconds ended_retention)
    : time(time)
    , ended_retention(ended_retention)
{
}

job_record* job_table::find(std::string const& job_id)
{
    auto found = this->jobs.find(job_id);
    return found == this->jobs.end() ? nullptr : &found->second;
}

job_record const* job_table::find(std::string const& job_id) const
{
    auto found = this->jobs.find(job_id);
    return found == this->jobs.end() ? nullptr : &found->second;
}

job_record& job_table::insert(job_record job)
{
    this->count_open(job, 1);
    job_record& stored = this->jobs[job.id];
    stored = std::move(job);
    return stored;
}

bool job_table::adopt(
    job_record job, std::set<std::string> const& served_before)
{
    job_record const* known = this->find(job.id);
    if (known != nullptr && !may_be_replaced(*known, job, served_before))
    {
        return false;
    }
    if (known != nullptr && known->offered)
    {
        this->count_open(*known, -1);
    }
    job_record const& stored = this->insert(std::move(job));
    if (is_over_here(stored))
    {
        this->close(stored);
        return false;
    }
    return true;
}

void job_table::close(job_record const& job)
{
    this->count_open(job, -1);
    auto& finished = job.moved_to.empty() ? this->ended_jobs : this->moved_jobs;
    finished.push_back(finished_job{this->time.now(), job.id});
}

void job_table::count_open(job_record const& job, int change)
{
    this->open_jobs = static_cast<std::size_t>(
        static_cast<std::int64_t>(this->open_jobs) + change);
    this->open_by_customer[job.spec.customer] += change;
}

std::int64_t job_table::open_count_of(std::string const& customer) const
{
    auto found = this->open_by_customer.find(customer);
    return found == this->open_by_customer.end() ? 0 : found->second;
}

std::vector<job_view> job_table::list(std::size_t limit) const
{
    std::vector<job_view> views;
    for (auto const& entry : this->jobs)
    {
        if (views.size() >= limit)
        {
            break;
        }
        views.push_back(make_job_view(entry.second));
    }
    return views;
}

std::vector<journal_entry> job_table::entries_of_job(
    std::string const& job_id) const
{
    job_record const* job = this->find(job_id);
    if (job == nullptr)
    {
        return {};
    }
    journal_entry accepted;
    accepted.event = journal_event::accepted;
    accepted.job_id = job->id;
    accepted.spec = job->spec;
    accepted.attempt = job->attempt;
    accepted.checkpoint = job->checkpoint;
    std::vector<journal_entry> entries{std::move(accepted)};
    if (!job->moved_to.empty())
    {
        entries.push_back(moved_entry(job->id, job->moved_to));
    }
    if (is_terminal(job->state))
    {
        entries.push_back(ended_entry(*job, job->state, job->reason));
    }
    return entries;
}

void job_table::forget_old()
{
    this->forget(this->ended_jobs, this->ended_retention);
    this->forget(
        this->moved_jobs, std::max(moved_retention, this->ended_retention));
}

void job_table::forget(
    std::deque<finished_job>& finished, std::chrono::seconds keep)
{
    auto now = this->time.now();
    while (!finished.empty() && now - finished.front().finished_at > keep)
    {
        job_record const* job = this->find(finished.front().id);
        if (job != nullptr && is_over_here(*job))
        {
            this->jobs.erase(finished.front().id);
        }
        finished.pop_front();
    }
}

} // namespace toucanlever
