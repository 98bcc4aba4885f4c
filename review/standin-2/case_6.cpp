/// A machine is added after wide jobs have run. Each runner has the
/// `ConnectionLimit` of the small sites.
#include "case_driver.hpp"

#include <cstdio>

namespace
{

using namespace standin;

constexpr int runner_count = 8;
constexpr int machines_at_start = 3;
constexpr int machines = 4;
// With the channel of the call that waits for ends, as many as a runner has.
constexpr int tasks_of_wide_job = 63;

std::string job_id(char const* kind, int number)
{
    char text[17];
    std::snprintf(text, sizeof text, "5e%s%012x", kind, number);
    return text;
}

bool is_completed(case_driver& driver, std::string const& path)
{
    return state_in(driver.installation.call(2, "GET", path)) == "completed";
}

int play(case_driver& driver)
{
    std::vector<std::string> labels;
    for (int i = 0; i < runner_count; ++i)
    {
        labels.push_back("kind-" + std::to_string(i));
        driver.add_runner({labels.back()});
    }
    driver.installation.configure(
        json::array({make_route("thumbs", "/thumbs/", 2, 2, 4.0, 3000),
            make_route("confirm", "/confirm/", 0, 3, 1.5, 250)}));
    if (!driver.start(machines_at_start))
    {
        return could_not_run;
    }
    cell& cell = driver.installation;
    // 19 of 32 cores, and 16 of 128 GB, of each runner.
    for (int i = 0; i < runner_count; ++i)
    {
        json step = make_step(tasks_of_wide_job, 300, 250,
            {{"EstimatedMs", 1500}, {"Requirements", labels[i]}});
        if (cell.call(i % machines_at_start, "POST",
                    "/thumbs/" + job_id("03", i),
                    job_text(1500, json::array({step})))
                .status != 200)
        {
            return could_not_run;
        }
        sleep_ms(100);
    }
    sleep_ms(6000);
    for (int i = 0; i < runner_count; ++i)
    {
        if (!is_completed(driver, "/thumbs/" + job_id("03", i)))
        {
            driver.record.write("a wide job has not ended");
            return could_not_run;
        }
    }
    if (with_trouble())
    {
        cell.nodes.back()->start();
    }
    sleep_ms(5000);
    for (int i = 0; i < runner_count; ++i)
    {
        json step = make_step(1, 2800, 10000,
            {{"EstimatedMs", 640}, {"Requirements", labels[i]}});
        if (cell.call(i % machines_at_start, "POST",
                    "/confirm/" + job_id("04", i),
                    job_text(640, json::array({step})))
                .status != 200)
        {
            return could_not_run;
        }
    }
    sleep_ms(finish_ms + idle_ms);
    int lost = 0;
    for (int i = 0; i < runner_count; ++i)
    {
        std::string id = job_id("04", i);
        runner& only = *driver.runners[static_cast<std::size_t>(i)];
        driver.record.write("runner " + only.id() + " has reset " +
                            std::to_string(only.refused_channels()) +
                            " channels over its limit of 64");
        std::vector<task_end> ends = driver.log.ends_of(id);
        bool is_idle = !only.runs(id) &&
                       (ends.empty() || ends.back().at_ms + idle_ms < now_ms());
        bool is_lost = !is_completed(driver, "/confirm/" + id) && is_idle;
        lost += is_lost ? 1 : 0;
    }
    return driver.conclude(lost > 0,
        std::to_string(lost) + " of " + std::to_string(runner_count) +
            " jobs have had nothing running for 3 s, 14 s after the end of "
            "the traffic, while their runners are empty");
}

} // namespace

int main(int argc, char** argv)
{
    return standin::run_case(argc, argv, machines, &play);
}
