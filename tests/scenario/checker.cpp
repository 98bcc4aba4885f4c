#include "checker.hpp"

#include <algorithm>
#include <compare>
#include <map>
#include <set>

namespace scenario
{
namespace
{

/// A task that was started on a worker.
struct task_location
{
    std::string worker;
    std::string task;

    auto operator<=>(task_location const&) const = default;
};

/// Replays the workers' ledger and checks capacity, location and checkpoints.
///
/// Tasks of a frozen worker do not run, but still count against its capacity.
/// Tasks that have not ended when the worker is thawed resume at that moment
/// and are checked as if they started there again.
class ledger_replay
{
public:
    ledger_replay(json const& ledger, std::vector<violation>& found)
        : found(found)
    {
        for (json const& event : ledger["events"])
        {
            this->apply(event);
        }
    }

    /// Number of starts by job and task index.
    std::map<std::string, std::map<int, int>> starts;
    std::map<std::string, int> successes;

private:
    void apply(json const& event)
    {
        std::string worker = event["worker"];
        if (event["event"] == "frozen")
        {
            this->frozen.insert(worker);
        }
        else if (event["event"] == "thawed")
        {
            this->frozen.erase(worker);
            this->check_tasks_on(worker);
        }
        else if (event["event"] == "kept")
        {
            std::int64_t& acknowledged = this->acknowledged_ms[key_of(event)];
            acknowledged =
                std::max(acknowledged, event["ran_ms"].get<std::int64_t>());
        }
        else
        {
            this->apply_task(worker, event);
        }
    }

    static std::string key_of(json const& event)
    {
        return event["job"].get<std::string>() + "#" +
               std::to_string(event["index"].get<int>());
    }

    void apply_task(std::string const& worker, json const& event)
    {
        std::string job = event["job"];
        int index = event["index"].get<int>();
        std::string task_key = key_of(event);
        task_location location{worker, event["task"]};
        bool is_start = event["event"] == "start";
        this->update_allocation(location, event, is_start ? 1 : -1);
        if (!is_start)
        {
            if (event.contains("made_ms"))
            {
                this->checkpoints_ms[task_key].insert(
                    event["made_ms"].get<std::int64_t>());
            }
            this->locations[task_key].erase(location);
            this->successes[job] += event["event"] == "succeeded";
            return;
        }
        ++this->starts[job][index];
        this->locations[task_key].insert(location);
        this->check_single_location(task_key);
        this->check_start_point(
            task_key, event.value("from_ms", std::int64_t(0)));
    }

    /// A task resumes from a checkpoint that was made, and not from one earlier
    /// than the last that its owner acknowledged. It may resume from a later
    /// one: the acknowledgement and the next start go to different workers, and
    /// the start may arrive first.
    void check_start_point(std::string const& task_key, std::int64_t from_ms)
    {
        bool was_made =
            from_ms == 0 || this->checkpoints_ms[task_key].count(from_ms) > 0;
        if (!was_made || from_ms < this->acknowledged_ms[task_key])
        {
            this->found.push_back({"kept-work",
                task_key + " starts at " + std::to_string(from_ms) +
                    " ms: no such checkpoint was made or a later one was "
                    "acknowledged; last acknowledged ms: " +
                    std::to_string(this->acknowledged_ms[task_key])});
        }
    }

    /// Adds (`sign` 1) or subtracts (`sign` -1) the capacity the task needs.
    void update_allocation(
        task_location const& location, json const& event, int sign)
    {
        for (auto const& need : event["need"].items())
        {
            std::int64_t& sum = this->allocated[location.worker][need.key()];
            sum += sign * need.value().get<std::int64_t>();
            std::int64_t capacity =
                event["capacity"][need.key()].get<std::int64_t>();
            if (sign > 0 && sum > capacity)
            {
                this->found.push_back({"capacity",
                    location.worker + " has allocated " + std::to_string(sum) +
                        " of " + std::to_string(capacity) + " " + need.key()});
            }
        }
    }

    /// A task may run on at most one worker that is not frozen.
    void check_single_location(std::string const& task_key)
    {
        std::string running;
        int count = 0;
        for (task_location const& each : this->locations[task_key])
        {
            if (this->frozen.count(each.worker) == 0)
            {
                running += " " + each.worker + "/" + each.task;
                ++count;
            }
        }
        if (count > 1)
        {
            this->found.push_back({"one-place",
                task_key + " runs in more than one place:" + running});
        }
    }

    void check_tasks_on(std::string const& worker)
    {
        for (auto const& entry : this->locations)
        {
            bool here = std::any_of(entry.second.begin(), entry.second.end(),
                [&worker](task_location const& each)
                { return each.worker == worker; });
            if (here)
            {
                this->check_single_location(entry.first);
            }
        }
    }

    std::vector<violation>& found;
    /// Allocated capacity by worker and dimension.
    std::map<std::string, std::map<std::string, std::int64_t>> allocated;
    std::map<std::string, std::set<task_location>> locations;
    std::set<std::string> frozen;
    /// By job and task index: the latest acknowledged checkpoint and all
    /// checkpoints made, in milliseconds of completed work.
    std::map<std::string, std::int64_t> acknowledged_ms;
    std::map<std::string, std::set<std::int64_t>> checkpoints_ms;
};

void check_jobs(observations const& all, std::vector<violation>& found)
{
    ledger_replay replay(all.workers, found);
    std::set<std::string> marks_started;
    std::map<std::string, std::set<std::string>> jobs_of_mark;
    for (json const& event : all.workers["events"])
    {
        if (event["event"] == "start")
        {
            std::string mark = event.value("mark", "");
            marks_started.insert(mark);
            jobs_of_mark[mark].insert(event["job"].get<std::string>());
        }
    }
    for (call_record const& call : all.calls)
    {
        if (call.kind != "job")
        {
            continue;
        }
        bool started = marks_started.count(call.mark) > 0;
        if (started && call.ran == "no" && call.job_id.empty() &&
            !call.ever_unknown)
        {
            found.push_back({"not-run",
                call.mark + " ran, but its caller learned that it did not"});
        }
        if (started && (call.state == "not-run" || call.state == "rejected"))
        {
            found.push_back({"not-run",
                call.job_id +
                    " ran, but its reported state says that it did not"});
        }
        if (call.keyed && jobs_of_mark[call.mark].size() > 1)
        {
            found.push_back(
                {"at-most-once", call.mark + " created more than one job"});
        }
        if (!call.idempotent && !call.job_id.empty())
        {
            for (auto const& entry : replay.starts[call.job_id])
            {
                if (entry.second > 1)
                {
                    found.push_back(
                        {"at-most-once", call.job_id + " ran twice"});
                }
            }
        }
        if (call.state == "succeeded" && replay.successes[call.job_id] == 0)
        {
            found.push_back(
                {"truthful", call.job_id + " is reported as succeeded, but no "
                                           "worker recorded a success"});
        }
    }
}

void check_requests(observations const& all, std::vector<violation>& found)
{
    std::map<std::string, int> runs;
    for (json const& request : all.runners["requests"])
    {
        ++runs[request["body"]];
        if (request["busy"].get<int>() > request["slots"].get<int>())
        {
            found.push_back(
                {"slots", request["runner"].get<std::string>() + " had " +
                              std::to_string(request["busy"].get<int>()) +
                              " concurrent requests, more than its slots"});
        }
    }
    for (call_record const& call : all.calls)
    {
        if (call.kind != "request")
        {
            continue;
        }
        int count = runs[call.mark];
        if (count > 1)
        {
            found.push_back({"at-most-once",
                call.mark + " ran " + std::to_string(count) + " times"});
        }
        if (call.ran == "no" && !call.ever_unknown && count > 0)
        {
            found.push_back({"not-run",
                call.mark + " ran, but its caller learned that it did not"});
        }
        bool answered = call.last_status == 200;
        if (answered && call.response != "confirmed:" + call.mark)
        {
            found.push_back({"answers",
                call.mark + " got a wrong response: " + call.response});
        }
    }
}

void check_revisions(observations const& all, std::vector<violation>& found)
{
    std::map<std::string, std::int64_t> highest;
    std::map<std::int64_t, std::string> preset_of;
    for (revision_sample const& sample : all.revisions)
    {
        std::int64_t& highest_seen = highest[sample.gateway];
        if (sample.revision < highest_seen)
        {
            found.push_back({"preset",
                sample.gateway + " reported an older revision after revision " +
                    std::to_string(highest_seen)});
        }
        highest_seen = std::max(highest_seen, sample.revision);
        auto first_seen =
            preset_of.emplace(sample.revision, sample.preset).first;
        if (first_seen->second != sample.preset)
        {
            found.push_back(
                {"preset", "revision " + std::to_string(sample.revision) +
                               " has two presets: " + first_seen->second +
                               " and " + sample.preset});
        }
    }
}

} // namespace

std::vector<violation> check(observations const& all)
{
    std::vector<violation> found;
    check_jobs(all, found);
    check_requests(all, found);
    check_revisions(all, found);
    return found;
}

} // namespace scenario
