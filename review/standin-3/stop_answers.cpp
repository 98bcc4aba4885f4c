/// A machine is stopped with SIGTERM while requesters ask for the states of
/// their jobs over channels that they opened before.
#include "cases.hpp"

#include <algorithm>
#include <signal.h>
#include <thread>

namespace review
{

int stop_answers(record& log, std::string const& folder, bool disturbed)
{
    constexpr std::int64_t grace_ms = 6000;
    constexpr std::int64_t loss_slack_ms = 200;
    constexpr std::int64_t call_ms = 3000;
    constexpr std::size_t clients = 100;
    deployment& cell = *new deployment(log, folder, 3);
    for (std::size_t i = 0; i < 4; ++i)
    {
        runner_options options;
        options.id = "i-" + hex_id(0x7f3a0000 + i * 7919).substr(8);
        cell.add_runner(options);
    }
    cell.start(json::array({route("r-long", "/long/", 1, 3)}));
    cell_process& machine = *cell.machines[0];
    json steps = json::array({{{"Count", 1}, {"Cpu", 100},
        {"MemoryRequestMb", 64}, {"EstimatedMs", 100000}}});
    std::vector<std::string> jobs;
    for (std::uint64_t i = 1; i <= clients; ++i)
    {
        std::string id = hex_id(0x5c0e000000000000 + i * 2654435761U);
        answer got = call_once(machine.caller_address(), "POST", "/long/" + id,
            host, job_body("work=100000", steps), call_ms);
        log.line("client  POST " + id + ": " + std::to_string(got.status));
        if (got.status == 200)
        {
            jobs.push_back(id);
        }
    }
    // Each client has a channel open, and sends one request on it after a
    // pause of its own.
    std::vector<std::unique_ptr<channel>> channels;
    for (std::size_t i = 0; i < jobs.size(); ++i)
    {
        channels.push_back(std::make_unique<channel>(machine.caller_address()));
        channels.back()->call("GET", "/long/", host, "", call_ms);
    }
    sleep_ms(1500);
    std::int64_t begin = now_ms();
    if (disturbed)
    {
        log.line("signal  SIGTERM to " + machine.name());
        machine.signal(SIGTERM);
    }
    std::vector<std::thread> threads;
    std::vector<answer> answers(jobs.size());
    for (std::size_t i = 0; i < jobs.size(); ++i)
    {
        threads.emplace_back(
            [&, i]
            {
                auto pause = static_cast<std::int64_t>(
                    i < 45 ? 2700 + i * 45 : 4700 + (i - 45) * 16);
                sleep_ms(begin + pause - now_ms());
                answers[i] = channels[i]->call(
                    "GET", "/long/" + jobs[i], host, "", call_ms);
            });
    }
    for (std::thread& each : threads)
    {
        each.join();
    }
    bool ended = !disturbed || machine.wait(begin + grace_ms - now_ms());
    log.line(std::string("process ") + (ended ? "ended" : "still runs") +
             " after " + std::to_string(now_ms() - begin) + " ms");
    int wrong = 0;
    for (std::size_t i = 0; i < jobs.size(); ++i)
    {
        answer const& got = answers[i];
        std::int64_t held = got.ended_ms - got.sent_ms;
        std::string text =
            jobs[i] + " sent " + std::to_string(got.sent_ms - begin) +
            " ms after the signal, " +
            (got.status == 0 ? got.problem : std::to_string(got.status)) +
            " after " + std::to_string(held) + " ms";
        bool lost = got.status == 0 && !got.unsent && held > loss_slack_ms;
        wrong += lost ? 1 : 0;
        log.line((lost ? "BROKEN  " : "client  ") + text);
    }
    return wrong > 0 ? 1 : 0;
}

} // namespace review
