/// A small cell with its stand-ins, and what all cases share.
#pragma once

#include "cell.hpp"
#include "store.hpp"
#include "worker.hpp"

namespace review
{

/// Exit codes of a case.
enum class verdict
{
    held = 0,
    broken = 1,
    not_run = 2
};

/// A submitted job and the answers to the attempts to hand it in.
struct submission
{
    std::string id;
    std::vector<int> statuses;

    bool accepted() const;
    /// At least one attempt, and each was answered with 429 or 503.
    bool rejected() const;
};

struct cell_options
{
    int nodes = 3;
    int workers = 4;
    /// In the settings of the processes; `status_s` of the installation.
    int keep_ended_s = 120;
};

class small_cell
{
public:
    small_cell(cell_options const& options, std::string const& folder,
        recorder& record);
    ~small_cell();

    /// Starts the processes, and waits until all are ready and a first job has
    /// run; false when that does not happen in time.
    bool start();

    /// One attempt of a requester to hand in a job; its answer is recorded.
    int submit(submission& job, int node, std::string const& body);
    answer look_up(std::string const& job, int node);
    answer cancel(std::string const& job, int node);

    /// Waits until the condition holds; false when `limit_ms` passes first.
    static bool wait(int limit_ms, std::function<bool()> const& condition);
    static void pause(int ms);

    /// The node that last wrote to the table of the leader.
    int leader();

    /// True when each process is still running.
    bool all_running();

    recorder& record;
    run_ledger ledger;
    store rows;
    std::vector<std::unique_ptr<worker>> workers;
    std::vector<std::unique_ptr<cell_process>> nodes;

private:
    answer request(std::string const& method, std::string const& job, int node,
        std::string const& body);
};

/// A job with one step.
std::string one_step(int tasks, int duration_ms, json more = json::object());

/// A different job id for each call.
std::string next_job_id();

/// Runs of one task that were at work at the same time for at least this long.
bool ran_twice_at_once(
    std::vector<run_record> const& runs, std::int64_t at_least_ms);

/// Runs that began after another run of their task had ended `done`, of which
/// the system had taken note.
std::vector<run_record> starts_after_done(std::vector<run_record> const& runs);

} // namespace review
