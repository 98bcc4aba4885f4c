#include "toucanlever/control/takeover.hpp"

#include "toucanlever/core/ids.hpp"

#include <algorithm>

namespace toucanlever
{

void takeover::read_journal_row(table_row const& row)
{
    this->journal_rows.push_back(row.key);
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
        this->worker_incarnations[entry.worker].insert(
            entry.worker_incarnation);
        break;
    case journal_event::took_over:
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
        advance_attempt(job, entry);
        // It may have been handed over and come back.
        job.moved_to.clear();
        break;
    case journal_event::attempt:
        advance_attempt(job, entry);
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

/// A summary that cleaning wrote may stand before or after the attempt itself.
void takeover::advance_attempt(job_record& job, journal_entry const& entry)
{
    if (entry.attempt >= job.attempt)
    {
        job.attempt = entry.attempt;
        job.checkpoint = entry.checkpoint;
    }
}

void takeover::read_owner_row(table_row const& row)
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
    job->second.owner_row_version = row.version;
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

void takeover::on_worker_fenced(
    std::string const& worker, follow_result const& result)
{
    this->unreported_means_not_started =
        this->unreported_means_not_started &&
        this->worker_incarnations[worker].count(result.incarnation) > 0;
    if (!result.tasks.empty())
    {
        journal_entry seen;
        seen.event = journal_event::worker_seen;
        seen.worker = worker;
        seen.worker_incarnation = result.incarnation;
        this->workers_with_tasks.push_back(std::move(seen));
    }
    this->unfenced_workers.erase(worker);
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

transfer_request takeover::make_transfer_request() const
{
    return transfer_request{this->chain,
        {this->served.begin(), this->served.end()}, this->workers_with_tasks,
        this->job_ids(), this->journal_rows};
}

} // namespace toucanlever
