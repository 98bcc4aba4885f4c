#include "worker.hpp"

namespace review
{
namespace
{

constexpr std::int64_t max_hold_ms = 10000;
constexpr std::int64_t heartbeat_ms = 1500;
constexpr std::size_t max_finished = 500;

std::int64_t duration_of(std::string const& specification)
{
    auto found = specification.find("ms=");
    return found == std::string::npos
               ? 100
               : std::stoll(specification.substr(found + 3));
}

std::int64_t wall_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

std::size_t run_ledger::begin(std::string const& task, std::int64_t run,
    std::string const& worker, std::string const& specification)
{
    std::lock_guard lock(this->mutex);
    this->all.push_back(
        {task, run, worker, specification, now_ms(), -1, "runs", false});
    this->record.note(
        "runner " + worker + " began " + task + " run " + std::to_string(run));
    return this->all.size() - 1;
}

void run_ledger::end(std::size_t index, std::string const& how)
{
    std::lock_guard lock(this->mutex);
    run_record& entry = this->all.at(index);
    entry.ended_ms = now_ms();
    entry.how = how;
    this->record.note("runner " + entry.worker + " ended " + entry.task +
                      " run " + std::to_string(entry.run) + ": " + how);
}

void run_ledger::note(std::size_t index)
{
    std::lock_guard lock(this->mutex);
    this->all.at(index).noted = true;
}

std::vector<run_record> run_ledger::runs() const
{
    std::lock_guard lock(this->mutex);
    return this->all;
}

std::vector<run_record> run_ledger::runs_of(std::string const& job) const
{
    std::vector<run_record> found;
    for (run_record const& each : this->runs())
    {
        if (each.task.starts_with(job + "."))
        {
            found.push_back(each);
        }
    }
    return found;
}

worker::worker(std::string id, std::string service, store& rows,
    run_ledger& ledger, recorder& record)
    : name(std::move(id))
    , service(std::move(service))
    , port(free_port())
    , rows(rows)
    , ledger(ledger)
    , record(record)
{
    this->restart();
    this->clockwork = std::thread([this] { this->run_clockwork(); });
}

worker::~worker()
{
    this->ending = true;
    this->changed.notify_all();
    this->clockwork.join();
    this->http.reset();
}

void worker::on_start(start_hook hook)
{
    std::lock_guard lock(this->mutex);
    this->start_decision = std::move(hook);
}

bool worker::is_up()
{
    std::lock_guard lock(this->mutex);
    return this->up;
}

void worker::cut_off(bool on)
{
    std::lock_guard lock(this->mutex);
    this->is_cut_off = on;
    this->record.note(
        "runner " + this->name + (on ? " is cut off" : " is in reach again"));
}

void worker::carry_out_late_orders()
{
    std::lock_guard lock(this->mutex);
    for (json const& order : this->late_orders)
    {
        response const result = this->carry_out(order);
        this->record.note("runner " + this->name + " carried out a late " +
                          order.dump() + ": " + std::to_string(result.status) +
                          " " + result.body);
    }
    this->late_orders.clear();
}

void worker::crash()
{
    std::unique_ptr<server> closing;
    {
        std::lock_guard lock(this->mutex);
        this->record.note("runner " + this->name + " crashes");
        this->up = false;
        for (auto const& [task, each] : this->running)
        {
            this->ledger.end(each.index, "crashed");
        }
        this->running.clear();
        this->finished.clear();
        this->barred.clear();
        this->last_number = 0;
        this->fence = 0;
        this->deadline = 0;
        closing = std::move(this->http);
        this->changed.notify_all();
    }
}

void worker::restart()
{
    auto opened = std::make_unique<server>(
        this->port, [this](request const& call) { return this->handle(call); });
    std::lock_guard lock(this->mutex);
    this->http = std::move(opened);
    this->booted_at = now_ms();
    this->born = wall_ms();
    this->sequence = 0;
    this->next_beat = 0;
    this->up = true;
    this->record.note("runner " + this->name + " is up");
}

void worker::beat()
{
    json entry{{"Service", this->service},
        {"Address", "127.0.0.1:" + std::to_string(this->port)},
        {"Zone", "zone-a"}, {"Version", "v1"}, {"Slots", 8}, {"State", "ready"},
        {"ColdRemainingMs", 0},
        {"Capacity",
            {{"Cpu", 32000}, {"MemoryRequestMb", 131072}, {"Gpus", 0}}},
        {"Labels", {"a", "r1-1"}}, {"ClockMs", this->clock()},
        {"Sequence", ++this->sequence}, {"born", this->born}};
    this->rows.put("servers", this->name, entry.dump());
}

void worker::run_clockwork()
{
    while (!this->ending)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(3));
        std::lock_guard lock(this->mutex);
        if (this->up)
        {
            this->tick();
            if (now_ms() >= this->next_beat)
            {
                this->next_beat = now_ms() + heartbeat_ms;
                this->beat();
            }
        }
    }
}

void worker::tick()
{
    std::vector<std::string> ended;
    bool lapsed = this->clock() >= this->deadline;
    for (auto const& [task, each] : this->running)
    {
        if (now_ms() >= each.done_at || lapsed)
        {
            ended.push_back(task);
        }
    }
    for (std::string const& task : ended)
    {
        bool done = now_ms() >= this->running.at(task).done_at;
        this->finish(task, done ? "done" : "lapsed");
    }
}

void worker::finish(std::string const& task, std::string const& how)
{
    active_run const ended = this->running.at(task);
    this->running.erase(task);
    this->barred[task] = std::max(this->barred[task], ended.run);
    this->finished.push_back(
        {++this->last_number, task, ended.run, how, ended.index});
    this->ledger.end(ended.index, how);
    this->changed.notify_all();
}

json worker::with_clock(json body) const
{
    body["ClockMs"] = this->clock();
    body["born"] = this->born;
    return body;
}

response worker::refuse(std::string const& reason) const
{
    return {409, this->with_clock({{"Reason", reason}}).dump()};
}

bool worker::obeys(json const& order)
{
    auto token = order.value("FencingToken", std::uint64_t{0});
    if (token < this->fence)
    {
        return false;
    }
    this->fence = token;
    return true;
}

void worker::extend(json const& order)
{
    std::int64_t wanted = order.value("DeadlineMs", std::int64_t{0});
    this->deadline =
        std::max(this->deadline, std::min(wanted, this->clock() + max_hold_ms));
}

response worker::handle(request const& call)
{
    if (call.path == "/health")
    {
        return {200, "{}"};
    }
    auto expected = call.headers.find("expected-runner");
    if (expected != call.headers.end() && expected->second != this->name)
    {
        return {421, "{}"};
    }
    std::int64_t boot = 0;
    {
        std::lock_guard lock(this->mutex);
        boot = this->up ? this->born : -1;
        if (this->is_cut_off)
        {
            return {200, "{}", delivery::silence};
        }
    }
    json order = json::parse(call.body);
    response result{404, "{}"};
    if (call.path == "/-/run-start")
    {
        result = this->start(order);
    }
    else if (call.path == "/-/run-stop")
    {
        result = this->stop(order);
    }
    else if (call.path == "/-/hold")
    {
        result = this->hold(order);
    }
    std::lock_guard lock(this->mutex);
    if (this->is_cut_off)
    {
        result.how = delivery::silence;
    }
    else if (!this->up || this->born != boot)
    {
        // A process that has ended answers nothing.
        result.how = delivery::reset;
    }
    return result;
}

response worker::start(json const& order)
{
    std::lock_guard lock(this->mutex);
    std::string task = order.at("Task");
    std::int64_t run = order.at("Run");
    start_treatment chosen = this->start_decision
                                 ? this->start_decision(task, run)
                                 : start_treatment::usual;
    if (chosen == start_treatment::refuse)
    {
        this->record.note("runner " + this->name + " refuses " + task +
                          " run " + std::to_string(run) + " with 503");
        return {503, "{}"};
    }
    if (chosen == start_treatment::carry_out_late)
    {
        this->record.note("runner " + this->name + " leaves " + task + " run " +
                          std::to_string(run) + " unanswered");
        this->late_orders.push_back(order);
        return {200, "{}", delivery::silence};
    }
    response result = this->carry_out(order);
    if (chosen == start_treatment::carry_out_and_reset)
    {
        this->record.note("runner " + this->name + " resets the channel of " +
                          task + " run " + std::to_string(run));
        result.how = delivery::reset;
    }
    return result;
}

response worker::carry_out(json const& order)
{
    std::string task = order.at("Task");
    std::int64_t run = order.at("Run");
    this->tick();
    if (!this->obeys(order))
    {
        return this->refuse("fence");
    }
    this->extend(order);
    auto found = this->running.find(task);
    if (found != this->running.end() && found->second.run == run)
    {
        return {200, this->with_clock(json::object()).dump()};
    }
    auto barrier = this->barred.find(task);
    if (found != this->running.end() ||
        (barrier != this->barred.end() && run <= barrier->second))
    {
        return this->refuse("old");
    }
    if (order.value("DeadlineMs", std::int64_t{0}) <= this->clock())
    {
        return this->refuse("late");
    }
    std::string specification = order.at("Specification");
    std::size_t index =
        this->ledger.begin(task, run, this->name, specification);
    this->running[task] = {run, now_ms() + duration_of(specification), index};
    return {200, this->with_clock(json::object()).dump()};
}

response worker::stop(json const& order)
{
    std::lock_guard lock(this->mutex);
    if (!this->obeys(order))
    {
        return this->refuse("fence");
    }
    std::string task = order.at("Task");
    std::int64_t run = order.at("Run");
    auto found = this->running.find(task);
    if (found != this->running.end() && found->second.run <= run)
    {
        this->finish(task, "stopped");
    }
    this->barred[task] = std::max(this->barred[task], run);
    return {200, this->with_clock(json::object()).dump()};
}

response worker::hold(json const& order)
{
    std::unique_lock lock(this->mutex);
    if (!this->obeys(order))
    {
        return this->refuse("fence");
    }
    this->extend(order);
    auto acknowledged = order.value("AckedThrough", std::int64_t{0});
    std::erase_if(this->finished,
        [this, acknowledged](finished_run const& each)
        {
            bool forgotten = each.number <= acknowledged;
            if (forgotten)
            {
                this->ledger.note(each.index);
            }
            return forgotten;
        });
    std::int64_t due = now_ms() + order.value("WaitMs", std::int64_t{0});
    std::int64_t boot = this->born;
    while (this->finished.empty() && now_ms() < due && !this->ending &&
           this->up && this->born == boot)
    {
        this->changed.wait_for(lock, std::chrono::milliseconds(10));
    }
    json running = json::array();
    for (auto const& [task, each] : this->running)
    {
        running.push_back({task, each.run, "", 50, 0});
    }
    json finished = json::array();
    for (finished_run const& each : this->finished)
    {
        if (finished.size() < max_finished)
        {
            finished.push_back(
                {each.number, each.task, each.run, each.how, ""});
        }
    }
    return {
        200, this->with_clock({{"Running", running}, {"Finished", finished}})
                 .dump()};
}

} // namespace review
