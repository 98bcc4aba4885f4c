#include "runner.hpp"

#include <algorithm>

namespace standin
{
namespace
{

constexpr std::size_t max_listed_ends = 500;

std::int64_t work_of(std::string const& specification)
{
    auto found = specification.find("work_ms=");
    return found == std::string::npos
               ? 1000
               : std::stoll(specification.substr(found + 8));
}

bool is_of(std::string const& task, std::string const& job)
{
    return task.compare(0, job.size() + 1, job + '.') == 0;
}

std::int64_t number(json const& call, char const* name)
{
    return call.value(name, std::int64_t(0));
}

} // namespace

void run_log::note_start(task_start start)
{
    this->record.write("runner " + start.runner + " starts " + start.task +
                       " run " + std::to_string(start.run));
    std::lock_guard lock(this->mutex);
    this->starts.push_back(std::move(start));
}

void run_log::note_end(task_end end)
{
    this->record.write("runner " + end.runner + " ends " + end.task + " run " +
                       std::to_string(end.run) + " " + end.how);
    std::lock_guard lock(this->mutex);
    this->ends.push_back(std::move(end));
}

std::vector<task_start> run_log::starts_of(std::string const& job)
{
    std::lock_guard lock(this->mutex);
    std::vector<task_start> found;
    std::copy_if(this->starts.begin(), this->starts.end(),
        std::back_inserter(found),
        [&job](task_start const& each) { return is_of(each.task, job); });
    return found;
}

std::vector<task_end> run_log::ends_of(std::string const& job)
{
    std::lock_guard lock(this->mutex);
    std::vector<task_end> found;
    std::copy_if(this->ends.begin(), this->ends.end(),
        std::back_inserter(found),
        [&job](task_end const& each) { return is_of(each.task, job); });
    return found;
}

runner::runner(runner_terms terms, store& platform, run_log& log)
    : terms(std::move(terms))
    , platform(platform)
    , log(log)
{
    this->boot();
    this->ticker = std::thread(
        [this]
        {
            while (!this->stopping)
            {
                this->tick();
                sleep_ms(5);
            }
        });
}

runner::~runner()
{
    this->stopping = true;
    this->ticker.join();
    this->up = false;
    this->ended.notify_all();
    this->server.reset();
}

void runner::boot()
{
    std::lock_guard lock(this->mutex);
    this->booted_ms = now_ms();
    this->born = unix_ms();
    this->sequence = 0;
    this->fence = 0;
    this->lease_until = 0;
    this->last_end = 0;
    this->running.clear();
    this->barred.clear();
    this->ends.clear();
    this->up = true;
    this->server = std::make_unique<http_server>(
        this->port, [this](request const& call) { return this->handle(call); },
        this->terms.max_channels);
    this->port = this->server->port();
    this->next_entry_ms = 0;
}

void runner::crash()
{
    std::unique_ptr<http_server> ended_server;
    {
        std::lock_guard lock(this->mutex);
        this->up = false;
        for (auto const& [task, entry] : this->running)
        {
            this->log.note_end({now_ms(), this->terms.id, task, entry.number,
                "crashed with its runner"});
        }
        this->running.clear();
        ended_server = std::move(this->server);
    }
    this->ended.notify_all();
    ended_server->stop();
    std::lock_guard lock(this->mutex);
    this->earlier_servers.push_back(std::move(ended_server));
}

bool runner::runs(std::string const& job)
{
    std::lock_guard lock(this->mutex);
    return std::any_of(this->running.begin(), this->running.end(),
        [&job](auto const& each) { return is_of(each.first, job); });
}

int runner::refused_channels()
{
    std::lock_guard lock(this->mutex);
    return this->server ? this->server->refused_channels() : 0;
}

void runner::write_entry()
{
    json labels = this->terms.labels;
    labels.push_back(this->terms.rack);
    this->platform.put("servers", this->terms.id,
        {{"Service", this->terms.service},
            {"Address", "127.0.0.1:" + std::to_string(this->port)},
            {"Zone", this->terms.zone}, {"Version", "v1"}, {"Slots", 8},
            {"State", "ready"}, {"ColdRemainingMs", 0},
            {"Capacity",
                {{"Cpu", this->terms.cpu},
                    {"MemoryRequestMb", this->terms.memory_mb}, {"Gpus", 0}}},
            {"Labels", labels}, {"ClockMs", this->clock()},
            {"born", this->born}, {"Sequence", ++this->sequence}});
}

void runner::tick()
{
    std::lock_guard lock(this->mutex);
    if (!this->up)
    {
        return;
    }
    if (now_ms() >= this->next_entry_ms)
    {
        this->next_entry_ms = now_ms() + this->terms.heartbeat_ms;
        this->write_entry();
    }
    this->advance();
}

void runner::finish(std::string const& task, run const& ended, std::string how)
{
    std::int64_t& bar = this->barred[task];
    bar = std::max(bar, ended.number);
    this->ends.push_back({++this->last_end, task, ended.number, how});
    this->log.note_end(
        {now_ms(), this->terms.id, task, ended.number, std::move(how)});
    this->ended.notify_all();
}

void runner::advance()
{
    std::int64_t now = now_ms();
    bool lapsed = this->clock() > this->lease_until;
    for (auto each = this->running.begin(); each != this->running.end();)
    {
        run const entry = each->second;
        std::string how;
        if (entry.stops_ms > 0 && now >= entry.stops_ms)
        {
            how = "stopped";
        }
        else if (lapsed)
        {
            how = "lapsed";
        }
        else if (entry.work_ms > 0 && now >= entry.started_ms + entry.work_ms)
        {
            how = "done";
        }
        if (how.empty())
        {
            ++each;
            continue;
        }
        std::string task = each->first;
        each = this->running.erase(each);
        this->finish(task, entry, how);
    }
}

json runner::answer() const
{
    return {{"ClockMs", this->clock()}, {"born", this->born}};
}

response runner::refuse(char const* reason)
{
    json body = this->answer();
    body["Reason"] = reason;
    return {409, body.dump()};
}

bool runner::is_fenced(json const& call)
{
    std::int64_t token = number(call, "FencingToken");
    if (token < this->fence)
    {
        return true;
    }
    this->fence = token;
    return false;
}

void runner::extend_lease(json const& call)
{
    std::int64_t until = std::min(
        number(call, "DeadlineMs"), this->clock() + this->terms.max_hold_ms);
    this->lease_until = std::max(this->lease_until, until);
}

response runner::handle(request const& call)
{
    if (call.path == "/health")
    {
        return {200, "{}"};
    }
    std::unique_lock lock(this->mutex);
    if (!this->up)
    {
        return {};
    }
    auto expected = call.headers.find("expected-runner");
    if (expected != call.headers.end() && expected->second != this->terms.id)
    {
        return {421, this->answer().dump()};
    }
    json body = json::parse(call.body);
    this->advance();
    if (this->is_fenced(body))
    {
        return this->refuse("fence");
    }
    if (call.path == "/-/run-start")
    {
        return this->start(body);
    }
    if (call.path == "/-/run-stop")
    {
        return this->stop(body);
    }
    if (call.path == "/-/hold")
    {
        return this->hold(body, lock);
    }
    return {400, this->answer().dump()};
}

response runner::start(json const& call)
{
    std::string task = call.value("Task", "");
    std::int64_t run_number = number(call, "Run");
    this->extend_lease(call);
    auto found = this->running.find(task);
    if (found != this->running.end() && found->second.number == run_number)
    {
        return {200, this->answer().dump()};
    }
    if (found != this->running.end() || run_number <= this->barred[task])
    {
        return this->refuse("old");
    }
    if (number(call, "DeadlineMs") <= this->clock())
    {
        return this->refuse("late");
    }
    this->running[task] = {
        run_number, now_ms(), work_of(call.value("Specification", "")), 0};
    this->log.note_start({now_ms(), this->terms.id, task, run_number});
    return {200, this->answer().dump()};
}

response runner::stop(json const& call)
{
    std::string task = call.value("Task", "");
    std::int64_t run_number = number(call, "Run");
    auto found = this->running.find(task);
    if (found != this->running.end() && found->second.number <= run_number)
    {
        found->second.stops_ms = now_ms() + this->terms.stop_ms;
    }
    std::int64_t& bar = this->barred[task];
    bar = std::max(bar, run_number);
    return {200, this->answer().dump()};
}

response runner::hold(json const& call, std::unique_lock<std::mutex>& lock)
{
    if (call.contains("DeadlineMs"))
    {
        this->extend_lease(call);
    }
    std::int64_t acked = number(call, "AckedThrough");
    std::erase_if(
        this->ends, [acked](end const& each) { return each.number <= acked; });
    std::int64_t const boot = this->born;
    auto until =
        steady::now() + std::chrono::milliseconds(number(call, "WaitMs"));
    while (this->ends.empty() && steady::now() < until && this->up &&
           this->born == boot)
    {
        this->ended.wait_until(lock, until);
    }
    if (!this->up || this->born != boot)
    {
        return {};
    }
    json body = this->answer();
    body["Running"] = json::array();
    for (auto const& [task, entry] : this->running)
    {
        std::int64_t percent =
            entry.work_ms == 0
                ? 100
                : std::min<std::int64_t>(
                      99, (now_ms() - entry.started_ms) * 100 / entry.work_ms);
        body["Running"].push_back(
            json::array({task, entry.number, "", percent}));
    }
    body["Finished"] = json::array();
    for (end const& each : this->ends)
    {
        if (body["Finished"].size() < max_listed_ends)
        {
            body["Finished"].push_back(
                json::array({each.number, each.task, each.run, each.how, ""}));
        }
    }
    return {200, body.dump()};
}

} // namespace standin
