/// One runner goes down and up by turns. No run ends `failed`, so no job may be
/// shown as `failed`: neither jobs of one task nor a service with a task on
/// each runner.
#include "cases.hpp"

#include <algorithm>
#include <thread>

namespace review
{
namespace
{

constexpr std::size_t runner_count = 10;
/// A job each 250 ms fills half of the room.
constexpr std::int64_t job_interval_ms = 250;
constexpr std::int64_t traffic_ms = 30000;
/// Within what the sites set: a pause of 0.93 to 1.81 s, 6 to 6.9 s in all. The
/// runner is up for good 6.5 s after it went down first.
constexpr std::int64_t flap_at_ms = 8000;
constexpr int flap_turns = 4;
constexpr std::int64_t flap_gap_ms = 930;
constexpr std::int64_t finish_ms = 14000;
constexpr std::int64_t call_ms = 3000;

void flap(runner& one)
{
    for (int i = 0; i < flap_turns; ++i)
    {
        one.crash();
        sleep_ms(flap_gap_ms);
        one.start();
        sleep_ms(flap_gap_ms);
    }
}

} // namespace

int crash_verdict(record& log, std::string const& folder, bool disturbed)
{
    deployment& cell = *new deployment(log, folder, 3);
    for (std::size_t i = 0; i < runner_count; ++i)
    {
        runner_options options;
        options.id = "i-" + hex_id(0x7f3a0000 + i * 7919).substr(8);
        options.zone = "zone-" + std::to_string(i % 3 + 1);
        cell.add_runner(options);
    }
    cell.start(json::array({route("r-long", "/long/", 1, 3)}));
    std::int64_t begin = now_ms();
    std::thread trouble(
        [&]
        {
            sleep_ms(flap_at_ms);
            if (disturbed)
            {
                flap(*cell.runners[4]);
            }
        });
    json steps = json::array({{{"Count", 1}, {"Cpu", 3000},
        {"MemoryRequestMb", 512}, {"EstimatedMs", 5000}}});
    std::vector<std::string> accepted;
    json lasting = json::array({{{"Count", runner_count}, {"Cpu", 500},
        {"MemoryRequestMb", 64}, {"EstimatedMs", 1000}, {"LongRunning", true},
        {"AntiAffinity", 1}}});
    std::string service = hex_id(0x7a11d21d94b36f8e);
    answer taken = call_once(cell.machines[0]->caller_address(), "POST",
        "/long/" + service, host, job_body("work=100000000", lasting), call_ms);
    log.line("client  POST " + service +
             " (a service): " + std::to_string(taken.status));
    if (taken.status == 200)
    {
        accepted.push_back(service);
    }
    for (std::uint64_t i = 1; now_ms() - begin < traffic_ms; ++i)
    {
        std::string id = hex_id(0x5c0e000000000000 + i * 2654435761U);
        cell_process& machine = *cell.machines[i % cell.machines.size()];
        answer got = call_once(machine.caller_address(), "POST", "/long/" + id,
            host, job_body("work=5000", steps), call_ms);
        log.line("client  POST " + id + " at " + machine.name() + ": " +
                 std::to_string(got.status));
        if (got.status == 200)
        {
            accepted.push_back(id);
        }
        std::int64_t next =
            begin + static_cast<std::int64_t>(i) * job_interval_ms;
        sleep_ms(std::max<std::int64_t>(next - now_ms(), 0));
    }
    trouble.join();
    sleep_ms(finish_ms);
    std::vector<run_record> runs = cell.runs.all();
    int wrong = 0;
    std::map<std::string, int> states;
    for (std::string const& id : accepted)
    {
        answer got = call_once(cell.machines[0]->caller_address(), "GET",
            "/long/" + id, host, "", call_ms);
        std::string state = state_in(got);
        ++states[state];
        int failed_ends = 0;
        std::string story;
        for (run_record const& run : runs)
        {
            if (run.task.rfind(id + '.', 0) == 0)
            {
                failed_ends += run.how == "failed" ? 1 : 0;
                story += " run " + std::to_string(run.run) + " on " +
                         run.runner + ' ' + run.how + " after " +
                         std::to_string(run.ended_ms - run.began_ms) + " ms;";
            }
        }
        if (state == "failed" && failed_ends == 0)
        {
            ++wrong;
            log.line("BROKEN  " + id +
                     " is shown as failed; no run of it ended failed:" + story);
        }
    }
    for (auto const& [state, count] : states)
    {
        log.line("states  " + state + ": " + std::to_string(count));
    }
    return wrong > 0 ? 1 : 0;
}

} // namespace review
