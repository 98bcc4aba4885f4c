/// Stand-ins for the platform's store and its runners, and the processes of the
/// cell that is tested.
#pragma once

#include "http.hpp"

#include <condition_variable>
#include <deque>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sys/types.h>
#include <vector>

namespace review
{

using json = nlohmann::json;

/// Writes lines with the time since the start to record.txt.
class record
{
public:
    explicit record(std::string const& file);
    void line(std::string const& text);

private:
    std::mutex mutex;
    std::ofstream out;
    std::int64_t begin = now_ms();
};

/// The platform's store: rows, transactions and the feed of changes.
class store
{
public:
    explicit store(record& log);

    /// Another address at which the store answers; one for each machine.
    std::string add_view();
    /// Writes a row as the operator or a runner does.
    void put(std::string const& table, std::string const& key,
        std::string const& value);
    void drop(std::string const& table, std::string const& key);
    /// The values of a table's rows by key, of all parts.
    std::map<std::string, std::string> rows(std::string const& table);

private:
    struct row_id
    {
        std::string table;
        std::string part;
        std::string key;
        auto operator<=>(row_id const&) const = default;
    };
    struct row
    {
        std::string value;
        std::int64_t version = 0;
    };

    response handle(request const& call);
    response transact(json const& change);
    response get(request const& call);
    response parts(request const& call);
    response feed(request const& call);
    json encode(row_id const& id, row const& at) const;
    void change(row_id const& id, std::optional<std::string> value);

    record& log;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<row_id, row> table_rows;
    // Removed rows: the version of the removal.
    std::map<row_id, std::int64_t> removed;
    std::int64_t version = 1;
    std::vector<std::unique_ptr<http_server>> views;
};

/// What a runner has begun, and how it ended.
struct run_record
{
    std::string runner;
    std::int64_t born = 0;
    std::string task;
    std::int64_t run = 0;
    std::string checkpoint;
    std::int64_t began_ms = 0;
    std::int64_t ended_ms = 0;
    // Empty while it runs; "crashed" when its runner went down.
    std::string how;
};

/// The gangs that are present on the runners, by step and run.
class gang_board
{
public:
    void join(std::string const& gang, std::size_t size);
    void leave(std::string const& gang);
    /// When all members became present; 0 before.
    std::int64_t complete_since(std::string const& gang);
    bool is_broken(std::string const& gang);

private:
    struct state
    {
        std::size_t present = 0;
        std::size_t size = 0;
        std::int64_t complete_ms = 0;
        bool broken = false;
    };

    std::mutex mutex;
    std::map<std::string, state> gangs;
};

/// The runs of all runners, as the runners saw them.
class run_log
{
public:
    explicit run_log(record& log);
    gang_board gangs;
    std::size_t begin(run_record const& run);
    void end(std::size_t index, std::string const& how);
    std::vector<run_record> all();

private:
    record& log;
    std::mutex mutex;
    std::vector<run_record> runs;
};

struct runner_options
{
    std::string id;
    std::string service = "svc";
    std::string zone = "z1";
    std::vector<std::string> labels{"a", "r1-1"};
    std::int64_t cpu = 8000;
    std::int64_t memory_mb = 32768;
    std::int64_t heartbeat_ms = 1500;
    std::int64_t checkpoint_interval_ms = 500;
    std::int64_t restore_ms = 250;
};

/// A runner. The specification of a job is "work=MILLISECONDS", with
/// "fails=1" for tasks that fail then, "saves=1" for checkpoints and
/// "gang=MEMBERS" for a gang.
class runner
{
public:
    runner(runner_options options, store& platform, run_log& runs, record& log);
    ~runner();

    void start();
    /// Ends like a process that is killed: its channels are reset, it says
    /// nothing more. Its entry goes after three intervals of silence.
    void crash();
    bool is_up();
    std::string const& id() const { return this->options.id; }

private:
    struct running
    {
        std::string name;
        std::int64_t run = 0;
        std::int64_t begun_at = 0;
        std::int64_t work_ms = 0;
        // Work that a checkpoint carried over.
        std::int64_t base_ms = 0;
        // It ends as failed, by its own fault.
        bool fails = false;
        bool saves = false;
        std::string saved;
        // The gang's name on the board; empty for other tasks.
        std::string gang;
        std::size_t log_index = 0;
    };

    response handle(request const& call);
    response start_run(json const& order);
    response stop_run(json const& order);
    response hold(json const& order);
    bool is_fenced(json const& order);
    void take_lease(json const& order);
    response reply(int status, json body);
    std::int64_t clock() const { return now_ms() - this->born_at + 1; }
    void finish(std::string const& task, std::string const& how);
    void advance();
    void work();
    void write_entry();

    runner_options options;
    store& platform;
    run_log& runs;
    record& log;
    http_server server;
    std::mutex mutex;
    std::condition_variable changed;
    bool up = false;
    std::uint64_t life = 0;
    std::int64_t born = 0;
    std::int64_t born_at = 0;
    std::int64_t sequence = 0;
    std::int64_t written_at = 0;
    std::int64_t fence = 0;
    std::int64_t lease_until = 0;
    std::int64_t next_end = 1;
    std::map<std::string, running> tasks;
    std::deque<json> ends;
    std::int64_t ends_listed = 0;
    std::map<std::string, std::int64_t> highest_ended;
};

/// One process of the deploy file.
class cell_process
{
public:
    cell_process(std::string name, std::string zone, std::string ip,
        std::string store_address, std::string const& folder);
    ~cell_process();

    /// Kills all processes that were started.
    static void kill_all();
    /// Fills in the template of the deploy file; `changed` goes before the
    /// values of the start.
    void write_settings(std::map<std::string, std::string> const& changed = {});
    void start();
    void signal(int number);
    /// Waits for the end of the process; false after the time.
    bool wait(std::int64_t timeout_ms);
    bool is_running() { return !this->wait(0); }
    std::string const& name() const { return this->machine; }
    std::string const& caller_address() const { return this->caller; }
    std::string const& ready_address() const { return this->ready; }
    std::string log_file() const { return this->output; }

private:
    std::string machine;
    std::string caller;
    std::string ready;
    std::map<std::string, std::string> values;
    std::string settings_file;
    std::string output;
    pid_t pid = -1;
};

/// The folder of the repository, and the settings template filled in.
std::string fill_template(
    std::string text, std::map<std::string, std::string> const& values);

std::string job_body(std::string const& specification, json const& steps);
/// The state in an answer to GET, or an empty text.
std::string state_in(answer const& from);
std::string hex_id(std::uint64_t number);

} // namespace review
