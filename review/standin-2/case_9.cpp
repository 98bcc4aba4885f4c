/// A runner is lost for good; a gang that would fill all runners no longer
/// fits, and other requesters hand in small jobs of a less urgent queue.
#include "case_driver.hpp"

#include <algorithm>
#include <cstdio>

namespace
{

using namespace standin;

constexpr int runner_count = 8;
constexpr int small_jobs = 4;
// Beyond what the rule asks for: the jobs don't start later either.
constexpr std::int64_t further_ms = 30000;
// Three tasks of 9 cores on each runner of 32.
constexpr int gang_tasks = 3 * runner_count;
constexpr char gang_job[] = "5e00000000009001";

std::string small_id(int number)
{
    char text[17];
    std::snprintf(text, sizeof text, "5e09%012x", number);
    return text;
}

int play(case_driver& driver)
{
    for (int i = 0; i < runner_count; ++i)
    {
        driver.add_runner();
    }
    // The terms of the queues portrait-render and proof-thumbs.
    driver.installation.configure(
        json::array({make_route("render", "/render/", 1, 4, 2.2, 1000),
            make_route("thumbs", "/thumbs/", 2, 2, 4.0, 3000)}));
    if (!driver.start())
    {
        return could_not_run;
    }
    cell& cell = driver.installation;
    if (with_trouble())
    {
        runner& lost = *driver.runners.back();
        driver.record.write("runner " + lost.id() + " is lost for good");
        lost.crash();
        // After three ping intervals of silence its entry is removed.
        sleep_ms(4500);
        cell.platform.remove("servers", lost.id());
        sleep_ms(8000);
    }
    json gang = make_step(gang_tasks, 9000, 33000,
        {{"EstimatedMs", 5000}, {"GangScheduled", true}});
    if (cell.call(0, "POST", std::string("/render/") + gang_job,
                job_text(5000, json::array({gang})))
            .status != 200)
    {
        return could_not_run;
    }
    sleep_ms(1000);
    json any = make_step(1, 2000, 5600, {{"EstimatedMs", 700}});
    for (int i = 0; i < small_jobs; ++i)
    {
        if (cell.call(i % 3, "POST", "/thumbs/" + small_id(i),
                    job_text(700, json::array({any})))
                .status != 200)
        {
            return could_not_run;
        }
    }
    sleep_ms(finish_ms + idle_ms + further_ms);
    int lost = 0;
    for (int i = 0; i < small_jobs; ++i)
    {
        cell.call(i % 3, "GET", "/thumbs/" + small_id(i));
        lost += driver.log.starts_of(small_id(i)).empty() ? 1 : 0;
    }
    return driver.conclude(lost > 0,
        std::to_string(lost) + " of " + std::to_string(small_jobs) +
            " small jobs have had nothing running since they were accepted, "
            "47 s after the end of the traffic, while all runners are empty");
}

} // namespace

int main(int argc, char** argv)
{
    return standin::run_case(argc, argv, 3, &play);
}
