/// The tasks of one long-running job fail shortly after each start. The other
/// jobs that were accepted must run all the same.
#include "cases.hpp"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <thread>

namespace review
{
namespace
{

constexpr std::size_t runner_count = 10;
constexpr std::int64_t runner_cpu = 8000;
constexpr std::int64_t job_cpu = 2000;
/// A job each 70 ms uses a fifth of the room.
constexpr std::int64_t job_interval_ms = 70;
constexpr std::int64_t job_work_ms = 600;
constexpr std::int64_t traffic_ms = 30000;
constexpr std::int64_t finish_ms = 14000;
constexpr std::int64_t waits_ms = 3000;
constexpr std::int64_t call_ms = 3000;

/// The processors in use by the runs that go on.
std::int64_t used_cpu(std::vector<run_record> const& runs)
{
    return job_cpu * std::count_if(runs.begin(), runs.end(),
                         [](run_record const& run) { return run.how.empty(); });
}

} // namespace

int failing_service(record& log, std::string const& folder, bool disturbed)
{
    deployment& cell = *new deployment(log, folder, 3);
    for (std::size_t i = 0; i < runner_count; ++i)
    {
        runner_options options;
        options.id = "i-" + hex_id(0x7f3a0000 + i * 7919).substr(8);
        options.zone = "zone-" + std::to_string(i % 3 + 1);
        options.cpu = runner_cpu;
        cell.add_runner(options);
    }
    cell.start(json::array({route("r-short", "/short/", 0, 3),
        route("r-lasting", "/lasting/", 1, 3)}));
    std::int64_t begin = now_ms();
    std::vector<std::string> accepted;
    bool submitted = false;
    for (std::uint64_t i = 1; now_ms() - begin < traffic_ms; ++i)
    {
        if (!submitted && now_ms() - begin > 3000)
        {
            submitted = true;
            json lasting = json::array(
                {{{"Count", 5}, {"Cpu", 500}, {"MemoryRequestMb", 256},
                    {"EstimatedMs", 1000}, {"LongRunning", true}}});
            std::string id = hex_id(0x5c0e7a21d94b36f8);
            answer got = call_once(cell.machines[0]->caller_address(), "POST",
                "/lasting/" + id, host,
                job_body(
                    disturbed ? "work=300 fails=1" : "work=100000000", lasting),
                call_ms);
            log.line("client  POST /lasting/" + id + ": " +
                     std::to_string(got.status));
        }
        json steps = json::array({{{"Count", 1}, {"Cpu", job_cpu},
            {"MemoryRequestMb", 256}, {"EstimatedMs", job_work_ms}}});
        std::string id = hex_id(0x1a00000000000000 + i * 2654435761U);
        answer got = call_once(
            cell.machines[i % cell.machines.size()]->caller_address(), "POST",
            "/short/" + id, host,
            job_body("work=" + std::to_string(job_work_ms), steps), call_ms);
        log.line(
            "client  POST /short/" + id + ": " + std::to_string(got.status));
        if (got.status == 200)
        {
            accepted.push_back(id);
        }
        std::int64_t next =
            begin + static_cast<std::int64_t>(i) * job_interval_ms;
        sleep_ms(std::max<std::int64_t>(next - now_ms(), 0));
    }
    log.line("client  " + std::to_string(accepted.size()) + " jobs accepted");
    sleep_ms(finish_ms);
    // For 3 s: which jobs have not begun, and how much room is in use?
    std::set<std::string> waiting(accepted.begin(), accepted.end());
    std::int64_t most_used = 0;
    std::int64_t until = now_ms() + waits_ms;
    for (;;)
    {
        std::vector<run_record> runs = cell.runs.all();
        for (run_record const& run : runs)
        {
            waiting.erase(run.task.substr(0, run.task.find('.')));
        }
        most_used = std::max(most_used, used_cpu(runs));
        if (now_ms() >= until)
        {
            break;
        }
        sleep_ms(50);
    }
    constexpr std::size_t shown = 10;
    std::size_t asked = 0;
    for (std::string const& id : waiting)
    {
        if (++asked > shown)
        {
            break;
        }
        answer got = call_once(cell.machines[0]->caller_address(), "GET",
            "/short/" + id, host, "", call_ms);
        log.line("client  GET /short/" + id + ": " +
                 std::to_string(got.status) + ' ' + state_in(got));
    }
    std::int64_t room = runner_cpu * static_cast<std::int64_t>(runner_count);
    bool idle = most_used * 2 < room;
    log.line("room    " + std::to_string(most_used) + " of " +
             std::to_string(room) + " thousandths of a core in use at most");
    log.line("waiting " + std::to_string(waiting.size()) +
             " accepted jobs have never begun");
    bool broken = !waiting.empty() && idle;
    if (broken)
    {
        log.line("BROKEN  first of them: " + *waiting.begin());
    }
    return broken ? 1 : 0;
}

} // namespace review
