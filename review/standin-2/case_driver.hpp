/// What the drivers of all cases share: the arguments, the runners, and the
/// verdict.
#pragma once

#include "cell.hpp"
#include "runner.hpp"

#include <string>
#include <vector>

namespace standin
{

/// Exit codes of a script.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int could_not_run = 2;

/// Bounds of the small sites.
inline constexpr std::int64_t cancel_ms = 3000;
inline constexpr std::int64_t finish_ms = 14000;
/// How long a job may have nothing running while it could.
inline constexpr std::int64_t idle_ms = 3000;

/// A store, a record and runners; the processes are started by the case.
class case_driver
{
public:
    /// `machines` processes, of which the case may start some later.
    case_driver(std::string const& folder, std::string const& record_path,
        int machines);

    /// Adds a runner with 32 cores and 128 GB.
    runner& add_runner(std::vector<std::string> const& labels = {});

    /// Starts the first `count` processes and waits for them; all when 0.
    bool start(int count = 0);

    /// The runner that runs a task of the job, waiting for it; a null pointer
    /// when there is none in time.
    runner* wait_for_holder(std::string const& job, std::int64_t time_ms);

    /// Writes the verdict and returns the exit code.
    int conclude(bool broken, std::string const& what);

    record_file record;
    run_log log;
    cell installation;
    std::vector<std::unique_ptr<runner>> runners;
};

/// The text of a job.
std::string job_text(std::int64_t work_ms, json const& steps);

/// A step of `count` tasks.
json make_step(int count, int cpu, int memory_mb, json const& more = {});

/// Runs a case with the arguments FOLDER and RECORD.
int run_case(int argc, char** argv, int machines, int (*play)(case_driver&));

} // namespace standin
