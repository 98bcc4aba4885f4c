#include "toucanlever/control/takeover.hpp"

#include "toucanlever/core/ids.hpp"

#include <algorithm>

namespace toucanlever
{

void takeover::read(table_row const& row)
{
    this->rows.push_back(row.key);
    for (auto const& json : nlohmann::json::parse(row.value))
    {
        this->apply(json.get<journal_entry>());
    }
}

void takeover::apply(journal_entry const& entry)
{
    switch (entry.event)
    {
    case journal_event::worker_seen:
        this->workers[entry.worker].insert(entry.worker_incarnation);
        break;
    case journal_event::succeeded:
        this->served.insert(entry.reason);
        break;
    default:
        this->apply_to_job(entry);
    }
}

void takeover::apply_to_job(journal_entry const& entry)
{
    job_record& job = this->jobs[entry.job_id];
    job.id = entry.job_id;
    switch (entry.event)
    {
    case journal_event::accepted:
        job.spec = entry.spec;
        go_on(job, entry);
        // The job may have been handed over and have returned.
        job.moved_to.clear();
        break;
    case journal_event::attempt:
        go_on(job, entry);
        break;
    case journal_event::moved:
        job.moved_to = entry.reason;
        break;
    default:
        job.state = entry.state;
        job.worker = entry.worker;
        job.reason = entry.reason;
        job.result = entry.result;
        job.waited_ms = entry.waited_ms;
    }
}

/// Ignores entries of older attempts: an entry that compaction appended again
/// may come before or after the entry of the attempt itself.
void takeover::go_on(job_record& job, journal_entry const& entry)
{
    if (entry.attempt >= job.attempt)
    {
        job.attempt = entry.attempt;
        job.checkpoint = entry.checkpoint;
    }
}

void takeover::read_owner(table_row const& row)
{
    auto json = nlohmann::json::parse(row.value, nullptr, false);
    if (!json.is_object())
    {
        return;
    }
    auto record = json.get<key_record>();
    auto job = this->jobs.find(record.job_id);
    if (job == this->jobs.end())
    {
        return;
    }
    job->second.move_version = row.version;
    bool ours = this->served.count(record.claimant) > 0;
    job->second.moved_to = ours ? "" : record.claimant;
}

std::set<std::string> takeover::acceptors() const
{
    std::set<std::string> found;
    for (auto const& entry : this->jobs)
    {
        found.insert(incarnation_of_job(entry.first));
    }
    return found;
}

void takeover::fenced(std::string const& worker, follow_result const& result)
{
    this->certain =
        this->certain && this->workers[worker].count(result.incarnation) > 0;
    if (!result.tasks.empty())
    {
        journal_entry seen;
        seen.event = journal_event::worker_seen;
        seen.worker = worker;
        seen.worker_incarnation = result.incarnation;
        this->tasks_on.push_back(std::move(seen));
    }
    this->unfenced.erase(worker);
}

std::vector<std::string> takeover::job_ids() const
{
    std::vector<std::string> ids;
    for (auto const& entry : this->jobs)
    {
        ids.push_back(entry.first);
    }
    return ids;
}

transfer_request takeover::to_transfer() const
{
    return transfer_request{this->chain,
        {this->served.begin(), this->served.end()}, this->tasks_on,
        this->job_ids(), this->rows};
}

} // namespace toucanlever
