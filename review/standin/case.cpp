#include "case.hpp"

#include <algorithm>
#include <cstdio>

namespace review
{
namespace
{

constexpr char host[] = "jobs.example";
constexpr char prefix[] = "/queue/";
constexpr char service[] = "runner-service";
/// How long requesters wait for an answer.
constexpr int request_limit_ms = 3000;

std::string configuration()
{
    json route{{"Name", "queue"}, {"Host", host}, {"Prefix", prefix},
        {"Kind", "non_idempotent"}, {"TimeoutMs", 3000},
        {"TargetLatencyMs", 1000}, {"Priority", 1}, {"Service", service},
        {"MaxAttempts", 3}, {"SlackFactor", 2.0}};
    json runners{{"Name", service}, {"HealthPath", "/health"},
        {"ConnectionLimit", 64}, {"Protocol", "h1"}, {"Tls", false},
        {"EnforcesCapacity", false}, {"Standby", false}};
    return json{{"Version", 7}, {"Routes", json::array({route})},
        {"Services", json::array({runners})},
        {"Limits", {{"MaxBodyBytes", 262144}}}}
        .dump();
}

} // namespace

bool submission::accepted() const
{
    return std::any_of(this->statuses.begin(), this->statuses.end(),
        [](int status) { return status >= 200 && status < 300; });
}

bool submission::rejected() const
{
    return !this->statuses.empty() &&
           std::all_of(this->statuses.begin(), this->statuses.end(),
               [](int status) { return status == 429 || status == 503; });
}

small_cell::small_cell(
    cell_options const& options, std::string const& folder, recorder& record)
    : record(record)
    , ledger(record)
    , rows(options.nodes, record)
{
    this->rows.put("op", "config", configuration());
    for (int i = 0; i < options.workers; ++i)
    {
        std::string id =
            "runner-" + std::string(i < 10 ? "0" : "") + std::to_string(i);
        this->workers.push_back(std::make_unique<worker>(
            id, service, this->rows, this->ledger, record));
    }
    for (int i = 0; i < options.nodes; ++i)
    {
        this->nodes.push_back(
            std::make_unique<cell_process>("node-" + std::to_string(i),
                this->rows.port(i), folder, options.keep_ended_s, record));
    }
}

small_cell::~small_cell()
{
    this->nodes.clear();
    this->workers.clear();
}

bool small_cell::start()
{
    for (auto& node : this->nodes)
    {
        node->start();
    }
    bool ready = wait(15000,
        [this]
        {
            return std::all_of(this->nodes.begin(), this->nodes.end(),
                [](auto const& node) { return node->is_ready(); });
        });
    submission first{next_job_id(), {}};
    return ready && this->submit(first, 0, one_step(1, 20)) == 200 &&
           wait(10000,
               [this, &first]
               {
                   auto runs = this->ledger.runs_of(first.id);
                   return !runs.empty() && runs.front().how == "done";
               });
}

answer small_cell::request(std::string const& method, std::string const& job,
    int node, std::string const& body)
{
    std::string what = method + " " + job + " at " + this->nodes.at(node)->id();
    this->record.note("requester sends " + what + " " + body.substr(0, 200));
    answer result = call(this->nodes.at(node)->caller_port(), method,
        prefix + job, host, body, request_limit_ms);
    this->record.note(
        "answer to " + what + ": " +
        (result.status == 0 ? "none" : std::to_string(result.status)) + " " +
        result.body);
    return result;
}

int small_cell::submit(submission& job, int node, std::string const& body)
{
    answer result = this->request("POST", job.id, node, body);
    job.statuses.push_back(result.status);
    return result.status;
}

answer small_cell::look_up(std::string const& job, int node)
{
    return this->request("GET", job, node, "");
}

answer small_cell::cancel(std::string const& job, int node)
{
    return this->request("DELETE", job, node, "");
}

bool small_cell::wait(int limit_ms, std::function<bool()> const& condition)
{
    std::int64_t due = now_ms() + limit_ms;
    while (!condition())
    {
        if (now_ms() >= due)
        {
            return false;
        }
        pause(5);
    }
    return true;
}

void small_cell::pause(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

int small_cell::leader()
{
    return this->rows.last_writer("leader");
}

bool small_cell::all_running()
{
    return std::none_of(this->nodes.begin(), this->nodes.end(),
        [](auto const& node) { return node->has_ended(); });
}

std::string one_step(int tasks, int duration_ms, json more)
{
    json step{{"Count", tasks}, {"Cpu", 1000}, {"MemoryRequestMb", 1024},
        {"EstimatedMs", duration_ms}};
    step.update(more);
    return json{{"Specification", "ms=" + std::to_string(duration_ms)},
        {"Steps", json::array({step})}}
        .dump();
}

std::string next_job_id()
{
    static std::atomic<unsigned> last{0};
    char text[17];
    std::snprintf(text, sizeof text, "5c0e7a21%08x", ++last);
    return text;
}

bool ran_twice_at_once(
    std::vector<run_record> const& runs, std::int64_t at_least_ms)
{
    auto end_of = [](run_record const& each)
    { return each.ended_ms < 0 ? now_ms() : each.ended_ms; };
    for (std::size_t i = 0; i < runs.size(); ++i)
    {
        for (std::size_t j = 0; j < i; ++j)
        {
            std::int64_t overlap =
                std::min(end_of(runs[i]), end_of(runs[j])) -
                std::max(runs[i].started_ms, runs[j].started_ms);
            if (runs[i].task == runs[j].task && overlap >= at_least_ms)
            {
                return true;
            }
        }
    }
    return false;
}

std::vector<run_record> starts_after_done(std::vector<run_record> const& runs)
{
    std::map<std::string, std::int64_t> done_at;
    for (run_record const& each : runs)
    {
        if (each.how == "done" && each.noted)
        {
            auto [place, inserted] = done_at.emplace(each.task, each.ended_ms);
            place->second = std::min(place->second, each.ended_ms);
        }
    }
    std::vector<run_record> found;
    std::copy_if(runs.begin(), runs.end(), std::back_inserter(found),
        [&done_at](run_record const& each)
        {
            auto done = done_at.find(each.task);
            return done != done_at.end() && each.started_ms > done->second;
        });
    return found;
}

} // namespace review
