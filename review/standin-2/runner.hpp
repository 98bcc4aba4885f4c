/// A runner: starts, stops and lists tasks, holds their lease, writes its entry
/// into the store, and can crash and start again under its id.
///
/// The number in a specification "work_ms=N" is how long a task works; a task
/// with "work_ms=0" works until it is stopped.
#pragma once

#include "record.hpp"
#include "store.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <vector>

namespace standin
{

struct runner_terms
{
    std::string id;
    std::string service;
    std::string zone;
    std::string rack;
    std::int64_t cpu = 32000;
    std::int64_t memory_mb = 131072;
    std::vector<std::string> labels;
    std::int64_t heartbeat_ms = 1500;
    std::int64_t max_hold_ms = 10000;
    std::int64_t stop_ms = 100;
    /// Channels beyond this many are reset; 0 for no limit.
    int max_channels = 64;
};

struct task_start
{
    std::int64_t at_ms = 0;
    std::string runner;
    std::string task;
    std::int64_t run = 0;
};

struct task_end
{
    std::int64_t at_ms = 0;
    std::string runner;
    std::string task;
    std::int64_t run = 0;
    /// As the runner lists it, or `crashed`.
    std::string how;
};

/// What all runners have started and ended.
class run_log
{
public:
    explicit run_log(record_file& record)
        : record(record)
    {
    }

    void note_start(task_start start);
    void note_end(task_end end);
    std::vector<task_start> starts_of(std::string const& job);
    std::vector<task_end> ends_of(std::string const& job);

private:
    record_file& record;
    std::mutex mutex;
    std::vector<task_start> starts;
    std::vector<task_end> ends;
};

class runner
{
public:
    runner(runner_terms terms, store& platform, run_log& log);
    ~runner();

    std::string const& id() const { return this->terms.id; }

    /// Starts a boot: it knows nothing of an earlier one.
    void boot();
    /// All that runs ends, and nothing is sent any more.
    void crash();
    bool is_up() const { return this->up; }

    /// True when a task of the job is running here.
    bool runs(std::string const& job);
    /// Channels that this boot has reset because there were too many.
    int refused_channels();

private:
    struct run
    {
        std::int64_t number = 0;
        std::int64_t started_ms = 0;
        std::int64_t work_ms = 0;
        // When a stop takes effect; 0 for none.
        std::int64_t stops_ms = 0;
    };
    struct end
    {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };

    response handle(request const& call);
    response start(json const& call);
    response stop(json const& call);
    response hold(json const& call, std::unique_lock<std::mutex>& lock);
    response refuse(char const* reason);
    bool is_fenced(json const& call);
    void extend_lease(json const& call);
    std::int64_t clock() const { return now_ms() - this->booted_ms; }
    json answer() const;
    void finish(std::string const& task, run const& ended, std::string how);
    void advance();
    void tick();
    void write_entry();

    runner_terms terms;
    store& platform;
    run_log& log;
    std::mutex mutex;
    std::condition_variable ended;
    std::atomic<bool> up = false;
    std::atomic<bool> stopping = false;
    int port = 0;
    std::unique_ptr<http_server> server;
    std::vector<std::unique_ptr<http_server>> earlier_servers;
    std::int64_t booted_ms = 0;
    std::int64_t born = 0;
    std::int64_t sequence = 0;
    std::int64_t next_entry_ms = 0;
    std::int64_t fence = 0;
    std::int64_t lease_until = 0;
    std::int64_t last_end = 0;
    std::map<std::string, run> running;
    // The highest run that was stopped or has ended, by task.
    std::map<std::string, std::int64_t> barred;
    std::vector<end> ends;
    std::thread ticker;
};

} // namespace standin
