#include "standins.hpp"

#include <algorithm>
#include <cstring>
#include <fcntl.h>
#include <signal.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review
{
namespace
{

constexpr char digits64[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::int64_t transaction_ms = 5;
constexpr std::int64_t read_ms = 4;
/// The platform's limit on a lease.
constexpr std::int64_t max_hold_ms = 10000;
constexpr std::int64_t gang_timeout_ms = 3000;
constexpr std::size_t max_ends_listed = 500;
/// The last number of the runners' address.
constexpr int runner_address = 200;

std::string encode64(std::string const& bytes)
{
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        unsigned group = 0;
        std::size_t left = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t k = 0; k < 3; ++k)
        {
            group = group << 8U |
                    (k < left ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k)
        {
            text += k <= left ? digits64[group >> (18U - 6U * k) & 63U] : '=';
        }
    }
    return text;
}

std::string decode64(std::string const& text)
{
    std::string bytes;
    unsigned group = 0;
    int bits = 0;
    for (char c : text)
    {
        char const* place = c == '=' ? nullptr : std::strchr(digits64, c);
        if (place == nullptr)
        {
            break;
        }
        group = group << 6U | static_cast<unsigned>(place - digits64);
        bits += 6;
        if (bits >= 8)
        {
            bits -= 8;
            bytes += static_cast<char>(group >> static_cast<unsigned>(bits));
        }
    }
    return bytes;
}

std::int64_t number_in(
    std::string const& text, std::string const& name, std::int64_t fallback)
{
    std::size_t at = text.find(name + '=');
    return at == std::string::npos
               ? fallback
               : std::stoll(text.substr(at + name.size() + 1));
}

std::int64_t number_of(json const& object, char const* name)
{
    auto found = object.find(name);
    return found != object.end() && found->is_number()
               ? found->get<std::int64_t>()
               : 0;
}

std::string text_of(json const& object, char const* name)
{
    auto found = object.find(name);
    return found != object.end() && found->is_string()
               ? found->get<std::string>()
               : std::string();
}

std::string parameter(request const& call, std::string const& name)
{
    auto found = call.query.find(name);
    return found == call.query.end() ? std::string() : found->second;
}

/// Those that were started and have not been waited for.
std::mutex started_mutex;
std::set<pid_t> started_processes;

/// ID.K.STEP of a task.
std::string step_of(std::string const& task)
{
    return task.substr(0, task.rfind('.'));
}

} // namespace

record::record(std::string const& file)
    : out(file)
{
}

void record::line(std::string const& text)
{
    std::lock_guard lock(this->mutex);
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%8.3f ",
        static_cast<double>(now_ms() - this->begin) / 1000.0);
    this->out << stamp << text << std::endl;
}

// ---------------------------------------------------------------------------
// The store

store::store(record& log)
    : log(log)
{
}

std::string store::add_view()
{
    auto view = std::make_unique<http_server>(
        [this](request const& call) { return this->handle(call); });
    view->start();
    std::string address = view->address();
    this->views.push_back(std::move(view));
    return address;
}

void store::change(row_id const& id, std::optional<std::string> value)
{
    if (value)
    {
        this->removed.erase(id);
        this->table_rows[id] = {std::move(*value), this->version};
    }
    else if (this->table_rows.erase(id) > 0)
    {
        this->removed[id] = this->version;
    }
}

void store::put(
    std::string const& table, std::string const& key, std::string const& value)
{
    std::lock_guard lock(this->mutex);
    ++this->version;
    this->change({table, "", key}, encode64(value));
    this->changed.notify_all();
}

void store::drop(std::string const& table, std::string const& key)
{
    std::lock_guard lock(this->mutex);
    ++this->version;
    this->change({table, "", key}, std::nullopt);
    this->changed.notify_all();
}

std::map<std::string, std::string> store::rows(std::string const& table)
{
    std::lock_guard lock(this->mutex);
    std::map<std::string, std::string> found;
    for (auto const& [id, at] : this->table_rows)
    {
        if (id.table == table)
        {
            found[id.key] = decode64(at.value);
        }
    }
    return found;
}

response store::handle(request const& call)
{
    if (call.path == "/-/rows-tx")
    {
        json change = json::parse(call.body, nullptr, false);
        if (!change.is_object())
        {
            return {400, "{}", false};
        }
        sleep_ms(transaction_ms);
        return this->transact(change);
    }
    sleep_ms(read_ms);
    if (call.path == "/-/rows-get")
    {
        return this->get(call);
    }
    if (call.path == "/-/rows-parts")
    {
        return this->parts(call);
    }
    if (call.path == "/-/rows-feed")
    {
        return this->feed(call);
    }
    return {404, "{}", false};
}

json store::encode(row_id const& id, row const& at) const
{
    return {{"Table", id.table}, {"part", id.part}, {"Key", id.key},
        {"Value", at.value}, {"RowVersion", at.version}};
}

response store::transact(json const& change)
{
    std::lock_guard lock(this->mutex);
    auto id_of = [](json const& entry)
    {
        return row_id{text_of(entry, "Table"), text_of(entry, "part"),
            text_of(entry, "Key")};
    };
    bool holds = true;
    json current = json::array();
    for (json const& entry : change.value("ExpectedRevision", json::array()))
    {
        row_id id = id_of(entry);
        auto found = this->table_rows.find(id);
        std::int64_t has =
            found == this->table_rows.end() ? 0 : found->second.version;
        holds = holds && has == number_of(entry, "RowVersion");
        if (has > 0)
        {
            current.push_back(this->encode(id, found->second));
        }
    }
    if (!holds)
    {
        return {412,
            json{{"rows", current}, {"RowVersion", this->version},
                {"NowMs", now_ms()}}
                .dump(),
            false};
    }
    for (json const& entry : change.value("Writes", json::array()))
    {
        std::string table = text_of(entry, "Table");
        constexpr std::size_t row_bytes = 65536;
        bool is_foreign = table == "op" || table == "servers";
        if (is_foreign || decode64(text_of(entry, "Value")).size() > row_bytes)
        {
            return {is_foreign ? 403 : 400, "{}", false};
        }
    }
    ++this->version;
    for (json const& entry : change.value("Writes", json::array()))
    {
        this->change(id_of(entry), text_of(entry, "Value"));
    }
    for (json const& entry : change.value("Remove", json::array()))
    {
        this->change(id_of(entry), std::nullopt);
    }
    this->changed.notify_all();
    return {200,
        json{{"RowVersion", this->version}, {"NowMs", now_ms()}}.dump(), false};
}

response store::get(request const& call)
{
    std::lock_guard lock(this->mutex);
    constexpr std::size_t max_rows = 500;
    std::string limit = parameter(call, "Limit");
    std::size_t most = limit.empty() ? max_rows : std::stoul(limit);
    std::string table = parameter(call, "Table");
    std::string part = parameter(call, "part");
    std::string until = parameter(call, "Target");
    json rows = json::array();
    bool has_more = false;
    for (auto at = this->table_rows.lower_bound(
             {table, part, parameter(call, "From")});
         at != this->table_rows.end(); ++at)
    {
        auto const& [id, found] = *at;
        if (id.table != table || id.part != part ||
            (!until.empty() && id.key >= until))
        {
            break;
        }
        if (rows.size() >= std::min(most, max_rows))
        {
            has_more = true;
            break;
        }
        rows.push_back(this->encode(id, found));
    }
    return {200,
        json{{"rows", rows}, {"HasMore", has_more},
            {"RowVersion", this->version}, {"NowMs", now_ms()}}
            .dump(),
        false};
}

response store::parts(request const& call)
{
    std::lock_guard lock(this->mutex);
    std::string table = parameter(call, "Table");
    std::string after = parameter(call, "After");
    bool from_start = call.query.count("After") == 0;
    std::set<std::string> found;
    for (auto const& [id, at] : this->table_rows)
    {
        if (id.table == table && (from_start || id.part > after))
        {
            found.insert(id.part);
        }
    }
    return {200,
        json{{"parts", found}, {"HasMore", false},
            {"RowVersion", this->version}, {"NowMs", now_ms()}}
            .dump(),
        false};
}

response store::feed(request const& call)
{
    std::string table = parameter(call, "Table");
    std::int64_t after = std::stoll(parameter(call, "After"));
    std::string wait = parameter(call, "WaitMs");
    std::int64_t until = now_ms() + (wait.empty() ? 0 : std::stoll(wait));
    std::unique_lock lock(this->mutex);
    for (;;)
    {
        std::map<std::int64_t, json> by_version;
        for (auto const& [id, at] : this->table_rows)
        {
            if (id.table == table && at.version > after)
            {
                by_version.try_emplace(at.version, json::array())
                    .first->second.push_back(this->encode(id, at));
            }
        }
        for (auto const& [id, when] : this->removed)
        {
            if (id.table == table && when > after)
            {
                json row = this->encode(id, {"", when});
                row["Deleted"] = true;
                by_version.try_emplace(when, json::array())
                    .first->second.push_back(row);
            }
        }
        if (!by_version.empty() || now_ms() >= until)
        {
            json rows = json::array();
            for (auto const& [when, some] : by_version)
            {
                rows.insert(rows.end(), some.begin(), some.end());
            }
            return {200,
                json{{"rows", rows}, {"RowVersion", this->version},
                    {"NowMs", now_ms()}}
                    .dump(),
                false};
        }
        this->changed.wait_for(
            lock, std::chrono::milliseconds(until - now_ms()));
    }
}

// ---------------------------------------------------------------------------
// The runners

void gang_board::join(std::string const& gang, std::size_t size)
{
    std::lock_guard lock(this->mutex);
    state& at = this->gangs[gang];
    at.size = size;
    if (++at.present == size)
    {
        at.complete_ms = now_ms();
    }
}

void gang_board::leave(std::string const& gang)
{
    std::lock_guard lock(this->mutex);
    this->gangs[gang].broken = true;
}

std::int64_t gang_board::complete_since(std::string const& gang)
{
    std::lock_guard lock(this->mutex);
    return this->gangs[gang].complete_ms;
}

bool gang_board::is_broken(std::string const& gang)
{
    std::lock_guard lock(this->mutex);
    return this->gangs[gang].broken;
}

run_log::run_log(record& log)
    : log(log)
{
}

std::size_t run_log::begin(run_record const& run)
{
    std::lock_guard lock(this->mutex);
    this->log.line("run     begins " + run.task + " run " +
                   std::to_string(run.run) + " on " + run.runner + " life " +
                   std::to_string(run.born) +
                   (run.checkpoint.empty() ? "" : " from " + run.checkpoint));
    this->runs.push_back(run);
    return this->runs.size() - 1;
}

void run_log::end(std::size_t index, std::string const& how)
{
    std::lock_guard lock(this->mutex);
    run_record& run = this->runs[index];
    run.ended_ms = now_ms();
    run.how = how;
    this->log.line("run     ends   " + run.task + " run " +
                   std::to_string(run.run) + " on " + run.runner + " after " +
                   std::to_string(run.ended_ms - run.began_ms) + " ms: " + how);
}

std::vector<run_record> run_log::all()
{
    std::lock_guard lock(this->mutex);
    return this->runs;
}

runner::runner(
    runner_options options, store& platform, run_log& runs, record& log)
    : options(std::move(options))
    , platform(platform)
    , runs(runs)
    , log(log)
    , server([this](request const& call) { return this->handle(call); },
          own_ip(runner_address))
{
}

runner::~runner()
{
    this->crash();
}

bool runner::is_up()
{
    std::lock_guard lock(this->mutex);
    return this->up;
}

void runner::start()
{
    {
        std::lock_guard lock(this->mutex);
        this->up = true;
        ++this->life;
        this->born = unix_ms();
        this->born_at = now_ms();
        this->sequence = 0;
        this->fence = 0;
        this->lease_until = 0;
        this->next_end = 1;
        this->tasks.clear();
        this->ends.clear();
        this->highest_ended.clear();
    }
    this->server.start();
    this->log.line("runner  starts " + this->options.id + " life " +
                   std::to_string(this->born));
    {
        std::lock_guard lock(this->mutex);
        this->write_entry();
    }
    std::thread([this] { this->work(); }).detach();
}

void runner::crash()
{
    std::uint64_t ended_life = 0;
    {
        std::lock_guard lock(this->mutex);
        if (!this->up)
        {
            return;
        }
        this->up = false;
        ended_life = this->life;
        for (auto const& [name, task] : this->tasks)
        {
            if (!task.gang.empty())
            {
                this->runs.gangs.leave(task.gang);
            }
            this->runs.end(task.log_index, "crashed");
        }
        this->tasks.clear();
        this->changed.notify_all();
    }
    this->server.stop();
    this->log.line("runner  crashes " + this->options.id);
    std::thread(
        [this, ended_life]
        {
            sleep_ms(3 * this->options.heartbeat_ms);
            std::lock_guard lock(this->mutex);
            if (this->life == ended_life)
            {
                this->platform.drop("servers", this->options.id);
            }
        })
        .detach();
}

void runner::write_entry()
{
    this->written_at = now_ms();
    json entry{{"Service", this->options.service},
        {"Address", this->server.address()}, {"Zone", this->options.zone},
        {"Version", "v1"}, {"Slots", 8}, {"State", "ready"},
        {"ColdRemainingMs", 0},
        {"Capacity",
            {{"Cpu", this->options.cpu},
                {"MemoryRequestMb", this->options.memory_mb}, {"Gpus", 0}}},
        {"Labels", this->options.labels}, {"ClockMs", this->clock()},
        {"Sequence", ++this->sequence}, {"born", this->born}};
    this->platform.put("servers", this->options.id, entry.dump());
}

void runner::work()
{
    std::unique_lock lock(this->mutex);
    std::uint64_t const own_life = this->life;
    while (this->up && this->life == own_life)
    {
        this->advance();
        if (now_ms() - this->written_at >= this->options.heartbeat_ms)
        {
            this->write_entry();
        }
        lock.unlock();
        sleep_ms(5);
        lock.lock();
    }
}

void runner::advance()
{
    std::vector<std::pair<std::string, std::string>> ended;
    bool lapsed = this->lease_until > 0 && this->clock() > this->lease_until;
    for (auto& [name, task] : this->tasks)
    {
        std::int64_t begun = task.begun_at;
        if (!task.gang.empty())
        {
            begun = this->runs.gangs.complete_since(task.gang);
        }
        std::int64_t restore = task.base_ms > 0 ? this->options.restore_ms : 0;
        std::int64_t worked =
            begun == 0 ? 0
                       : std::max<std::int64_t>(now_ms() - begun - restore, 0);
        std::int64_t total = task.base_ms + worked;
        std::int64_t interval = this->options.checkpoint_interval_ms;
        if (task.saves && worked >= interval)
        {
            task.saved = "c" + std::to_string(
                                   task.base_ms + worked / interval * interval);
        }
        if (lapsed)
        {
            ended.emplace_back(name, "lapsed");
        }
        else if (!task.gang.empty() && this->runs.gangs.is_broken(task.gang))
        {
            ended.emplace_back(name, "broken");
        }
        else if (begun == 0 && now_ms() - task.begun_at >= gang_timeout_ms)
        {
            ended.emplace_back(name, "alone");
        }
        else if (begun > 0 && total >= task.work_ms)
        {
            ended.emplace_back(name, task.fails ? "failed" : "done");
        }
    }
    for (auto const& [name, how] : ended)
    {
        this->finish(name, how);
    }
}

void runner::finish(std::string const& task, std::string const& how)
{
    running& run = this->tasks.at(task);
    this->ends.push_back(
        json::array({this->next_end++, task, run.run, how, run.saved}));
    std::int64_t& highest = this->highest_ended[task];
    highest = std::max(highest, run.run);
    if (!run.gang.empty() && how != "done")
    {
        this->runs.gangs.leave(run.gang);
    }
    this->runs.end(run.log_index, how);
    this->tasks.erase(task);
    this->changed.notify_all();
}

response runner::reply(int status, json body)
{
    body["ClockMs"] = this->clock();
    body["born"] = this->born;
    return {status, body.dump(), false};
}

bool runner::is_fenced(json const& order)
{
    std::int64_t token = number_of(order, "FencingToken");
    if (token < this->fence)
    {
        return true;
    }
    this->fence = token;
    return false;
}

void runner::take_lease(json const& order)
{
    std::int64_t until =
        std::min(number_of(order, "DeadlineMs"), this->clock() + max_hold_ms);
    this->lease_until = std::max(this->lease_until, until);
}

response runner::handle(request const& call)
{
    auto expected = call.headers.find("expected-runner");
    json order = json::parse(call.body, nullptr, false);
    std::lock_guard lock(this->mutex);
    if (!this->up)
    {
        return {0, {}, true};
    }
    if (expected != call.headers.end() && expected->second != this->options.id)
    {
        return this->reply(421, json::object());
    }
    if (!order.is_object())
    {
        return this->reply(400, json::object());
    }
    if (call.path == "/-/run-start")
    {
        return this->start_run(order);
    }
    if (call.path == "/-/run-stop")
    {
        return this->stop_run(order);
    }
    if (call.path == "/-/hold")
    {
        return this->hold(order);
    }
    return this->reply(404, json::object());
}

response runner::start_run(json const& order)
{
    if (this->is_fenced(order))
    {
        return this->reply(409, {{"Reason", "fence"}});
    }
    std::string task = text_of(order, "Task");
    std::int64_t run = number_of(order, "Run");
    auto there = this->tasks.find(task);
    if (there != this->tasks.end() && there->second.run == run)
    {
        this->take_lease(order);
        return this->reply(200, json::object());
    }
    auto ended = this->highest_ended.find(task);
    if (there != this->tasks.end() ||
        (ended != this->highest_ended.end() && run <= ended->second))
    {
        this->take_lease(order);
        return this->reply(409, {{"Reason", "old"}});
    }
    std::int64_t until = number_of(order, "DeadlineMs");
    if (until > 0 && until < this->clock())
    {
        return this->reply(409, {{"Reason", "late"}});
    }
    this->take_lease(order);
    std::string specification = text_of(order, "Specification");
    running begun;
    begun.name = task;
    begun.run = run;
    begun.begun_at = now_ms();
    begun.work_ms = number_in(specification, "work", 1000);
    begun.fails = number_in(specification, "fails", 0) > 0;
    begun.saves = number_in(specification, "saves", 0) > 0;
    std::string checkpoint = text_of(order, "Checkpoint");
    if (!checkpoint.empty())
    {
        begun.base_ms = std::stoll(checkpoint.substr(1));
        begun.saved = checkpoint;
    }
    std::int64_t members = number_in(specification, "gang", 0);
    if (members > 0)
    {
        begun.gang = step_of(task) + '/' + std::to_string(run);
        this->runs.gangs.join(begun.gang, static_cast<std::size_t>(members));
    }
    begun.log_index = this->runs.begin(
        {this->options.id, this->born, task, run, checkpoint, now_ms(), 0, {}});
    this->tasks[task] = begun;
    return this->reply(200, json::object());
}

response runner::stop_run(json const& order)
{
    if (this->is_fenced(order))
    {
        return this->reply(409, {{"Reason", "fence"}});
    }
    std::string task = text_of(order, "Task");
    std::int64_t run = number_of(order, "Run");
    std::int64_t& highest = this->highest_ended[task];
    highest = std::max(highest, run);
    auto there = this->tasks.find(task);
    if (there != this->tasks.end() && there->second.run <= run)
    {
        this->finish(task, "stopped");
    }
    return this->reply(200, json::object());
}

response runner::hold(json const& order)
{
    if (this->is_fenced(order))
    {
        return this->reply(409, {{"Reason", "fence"}});
    }
    this->take_lease(order);
    std::int64_t acknowledged = number_of(order, "AckedThrough");
    while (!this->ends.empty() &&
           this->ends.front()[0].get<std::int64_t>() <= acknowledged)
    {
        this->ends.pop_front();
    }
    // The caller holds the lock; it is given up while the response waits.
    std::int64_t until =
        now_ms() + std::min<std::int64_t>(number_of(order, "WaitMs"), 2000);
    std::uint64_t const own_life = this->life;
    std::unique_lock lock(this->mutex, std::adopt_lock);
    while (this->up && this->life == own_life && this->ends.empty() &&
           now_ms() < until)
    {
        this->changed.wait_for(
            lock, std::chrono::milliseconds(until - now_ms()));
    }
    lock.release();
    if (!this->up || this->life != own_life)
    {
        return {0, {}, true};
    }
    json running = json::array();
    for (auto const& [name, task] : this->tasks)
    {
        std::int64_t elapsed = now_ms() - task.begun_at;
        std::int64_t percent =
            task.work_ms > 0
                ? std::clamp<std::int64_t>(
                      (task.base_ms + elapsed) * 100 / task.work_ms, 0, 99)
                : 0;
        running.push_back(
            json::array({name, task.run, task.saved, percent, 0}));
    }
    json finished = json::array();
    for (json const& end : this->ends)
    {
        if (finished.size() < max_ends_listed)
        {
            finished.push_back(end);
        }
    }
    return this->reply(200, {{"Running", running}, {"Finished", finished}});
}

// ---------------------------------------------------------------------------
// The processes

std::string fill_template(
    std::string text, std::map<std::string, std::string> const& values)
{
    std::size_t at = text.find("{{");
    while (at != std::string::npos)
    {
        std::size_t end = text.find("}}", at);
        auto found = values.find(text.substr(at + 2, end - at - 2));
        std::string value = found == values.end() ? "" : found->second;
        text.replace(at, end + 2 - at, value);
        at = text.find("{{", at + value.size());
    }
    return text;
}

cell_process::cell_process(std::string name, std::string zone, std::string ip,
    std::string store_address, std::string const& folder)
    : machine(std::move(name))
{
    auto address = [&ip] { return ip + ':' + std::to_string(free_port(ip)); };
    this->caller = address();
    this->ready = address();
    this->settings_file = folder + '/' + this->machine + ".yaml";
    this->output = folder + '/' + this->machine + ".log";
    this->values = {{"NodeName", this->machine}, {"Zone", zone},
        {"ListenAddresses.Frontend", this->caller},
        {"ListenAddresses.Ready", this->ready}, {"IpAddress", ip},
        {"InternalPortRange.0", std::to_string(free_port(ip))},
        {"platform.Address", store_address},
        // No queue here has a policy, so that nothing listens.
        {"Advice", ip + ':' + std::to_string(free_port(ip))},
        {"Limits.CpuShare", "0.25"}, {"Bounds.GracePeriodS", "6"},
        {"Bounds.status_s", "120"}};
    this->write_settings();
}

void cell_process::write_settings(
    std::map<std::string, std::string> const& changed)
{
    std::ifstream source("deploy/settings.yaml");
    std::stringstream text;
    text << source.rdbuf();
    if (text.str().empty())
    {
        throw std::runtime_error("no deploy/settings.yaml here");
    }
    std::map<std::string, std::string> all = changed;
    all.insert(this->values.begin(), this->values.end());
    std::ofstream(this->settings_file) << fill_template(text.str(), all);
}

void cell_process::kill_all()
{
    std::lock_guard lock(started_mutex);
    for (pid_t each : started_processes)
    {
        ::kill(each, SIGKILL);
        ::waitpid(each, nullptr, 0);
    }
    started_processes.clear();
}

cell_process::~cell_process()
{
    if (this->pid > 0 && !this->wait(0))
    {
        ::kill(this->pid, SIGCONT);
        ::kill(this->pid, SIGKILL);
        this->wait(5000);
    }
}

void cell_process::start()
{
    this->pid = ::fork();
    if (this->pid < 0)
    {
        throw std::runtime_error("cannot start a process");
    }
    if (this->pid > 0)
    {
        std::lock_guard lock(started_mutex);
        started_processes.insert(this->pid);
        return;
    }
    // It ends with this process, whatever ends that.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    // The signals that this process waits for are blocked here.
    sigset_t none;
    sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    int out = ::open(this->output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    ::setenv("TOUCANLEVER_SETTINGS", this->settings_file.c_str(), 1);
    ::setenv("TOUCAN_STRICT_REVOCATION", "", 1);
    ::setenv("TOUCAN_REVOCATION_BOUND_MS", "", 1);
    char program[] = "target/bin/toucan-cell";
    char* arguments[] = {program, nullptr};
    ::execv(program, arguments);
    ::_exit(127);
}

void cell_process::signal(int number)
{
    if (this->pid > 0)
    {
        ::kill(this->pid, number);
    }
}

bool cell_process::wait(std::int64_t timeout_ms)
{
    std::int64_t until = now_ms() + timeout_ms;
    while (this->pid > 0)
    {
        int status = 0;
        if (::waitpid(this->pid, &status, WNOHANG) == this->pid)
        {
            std::lock_guard lock(started_mutex);
            started_processes.erase(this->pid);
            this->pid = -1;
            break;
        }
        if (now_ms() >= until)
        {
            return false;
        }
        sleep_ms(5);
    }
    return true;
}

std::string job_body(std::string const& specification, json const& steps)
{
    return json{{"Specification", specification}, {"Steps", steps}}.dump();
}

std::string state_in(answer const& from)
{
    json body = json::parse(from.body, nullptr, false);
    return from.status == 200 && body.is_object() ? text_of(body, "State")
                                                  : std::string();
}

std::string hex_id(std::uint64_t number)
{
    char text[17];
    std::snprintf(
        text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
    return text;
}

} // namespace review
