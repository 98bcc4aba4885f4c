/// A machine freezes and wakes; what it accepts then is cancelled through
/// another machine at once.
#include "case_driver.hpp"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <thread>

namespace
{

using namespace standin;

constexpr int runner_count = 8;
constexpr int cancelled_jobs = 3;
// A round trip between a requester and the platform, twice 3 ms, and as much
// for the opening of a channel.
constexpr std::int64_t network_ms = 12;

std::string job_id(char const* kind, int number)
{
    char text[17];
    std::snprintf(text, sizeof text, "5e%s%012x", kind, number);
    return text;
}

int play(case_driver& driver)
{
    for (int i = 0; i < runner_count; ++i)
    {
        driver.add_runner();
    }
    driver.installation.configure(
        json::array({make_route("render", "/render/", 1, 4, 2.2, 1000),
            make_route("confirm", "/confirm/", 0, 3, 1.5, 250)}));
    if (!driver.start())
    {
        return could_not_run;
    }
    cell& cell = driver.installation;
    int leader = cell.leader();
    int frozen = (leader + 1) % 3;
    int other = (leader + 2) % 3;
    driver.record.write("active scheduler: " +
                        cell.nodes[static_cast<std::size_t>(leader)]->name());
    // Other requesters' jobs, as on any day.
    std::atomic<bool> traffic = true;
    std::thread others(
        [&]
        {
            json step = make_step(1, 200, 100, {{"EstimatedMs", 100}});
            std::string text = job_text(100, json::array({step}));
            for (int i = 0; traffic; ++i)
            {
                cell.call(other, "POST", "/confirm/" + job_id("02", i), text);
                sleep_ms(25);
            }
        });
    sleep_ms(2000);
    cell_process& machine = *cell.nodes[static_cast<std::size_t>(frozen)];
    json first = make_step(1, 2000, 1024, {{"EstimatedMs", 4500}});
    json second = make_step(
        1, 2000, 1024, {{"EstimatedMs", 4500}, {"After", json::array({0})}});
    std::string text = job_text(4500, json::array({first, second}));
    std::int64_t acknowledged_at[cancelled_jobs] = {};
    std::vector<std::unique_ptr<http_channel>> channels;
    for (int i = 0; i < cancelled_jobs; ++i)
    {
        // Opened before the machine freezes: an open channel stays with it.
        channels.push_back(
            std::make_unique<http_channel>(machine.caller_port()));
    }
    if (with_trouble())
    {
        machine.signal(SIGSTOP);
        sleep_ms(1300);
    }
    std::vector<std::thread> requesters;
    for (int i = 0; i < cancelled_jobs; ++i)
    {
        requesters.emplace_back(
            [&, i]
            {
                std::string path = "/render/" + job_id("01", i);
                driver.record.write("requester sends POST " + path + " to " +
                                    machine.name() + " " + text);
                response answer = channels[static_cast<std::size_t>(i)]->send(
                    "POST", path, route_host, text);
                driver.record.write("requester gets " +
                                    std::to_string(answer.status) +
                                    " to POST " + path);
                if (answer.status != 200)
                {
                    return;
                }
                // The machine is out of rotation: a new channel goes to
                // another one.
                sleep_ms(network_ms);
                response cancel = cell.call(other, "DELETE", path);
                if (cancel.status == 200 || cancel.status == 410)
                {
                    acknowledged_at[i] = now_ms();
                }
            });
    }
    if (with_trouble())
    {
        sleep_ms(1200);
        machine.signal(SIGCONT);
    }
    for (std::thread& requester : requesters)
    {
        requester.join();
    }
    sleep_ms(12000);
    traffic = false;
    others.join();
    int late = 0;
    int cancelled = 0;
    for (int i = 0; i < cancelled_jobs; ++i)
    {
        cancelled += acknowledged_at[i] > 0 ? 1 : 0;
        for (task_start const& start : driver.log.starts_of(job_id("01", i)))
        {
            bool is_late = acknowledged_at[i] > 0 &&
                           start.at_ms > acknowledged_at[i] + cancel_ms;
            late += is_late ? 1 : 0;
        }
    }
    if (cancelled == 0)
    {
        driver.record.write("no cancelling was acknowledged");
        return could_not_run;
    }
    return driver.conclude(late > 0,
        std::to_string(cancelled) +
            " accepted jobs were cancelled with an answer; tasks started over "
            "3 s after it: " +
            std::to_string(late));
}

} // namespace

int main(int argc, char** argv)
{
    return standin::run_case(argc, argv, 3, &play);
}
