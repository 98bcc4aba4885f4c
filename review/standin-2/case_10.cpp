/// The only runner of a kind is lost for good; jobs that need that kind wait,
/// and other requesters hand in jobs that any runner can run.
#include "case_driver.hpp"

#include <algorithm>
#include <cstdio>

namespace
{

using namespace standin;

constexpr int runner_count = 8;
constexpr int waiting_jobs = 450;
constexpr int small_jobs = 4;

std::string job_id(char const* kind, int number)
{
    char text[17];
    std::snprintf(text, sizeof text, "5e%s%012x", kind, number);
    return text;
}

int play(case_driver& driver)
{
    for (int i = 0; i + 1 < runner_count; ++i)
    {
        driver.add_runner({"a"});
    }
    runner& special = driver.add_runner({"b"});
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
        driver.record.write("runner " + special.id() + " is lost for good");
        special.crash();
        sleep_ms(4500);
        cell.platform.remove("servers", special.id());
    }
    json needs_kind = make_step(
        1, 1000, 1000, {{"EstimatedMs", 30000}, {"Requirements", "b"}});
    std::string waiting = job_text(100, json::array({needs_kind}));
    for (int i = 0; i < waiting_jobs; ++i)
    {
        if (cell.call(i % 3, "POST", "/render/" + job_id("07", i), waiting)
                .status != 200)
        {
            return could_not_run;
        }
        sleep_ms(5);
    }
    json any = make_step(1, 2000, 5600, {{"EstimatedMs", 1000}});
    std::string small = job_text(1000, json::array({any}));
    for (int i = 0; i < small_jobs; ++i)
    {
        if (cell.call(i % 3, "POST", "/thumbs/" + job_id("08", i), small)
                .status != 200)
        {
            return could_not_run;
        }
    }
    sleep_ms(finish_ms + idle_ms);
    int lost = 0;
    for (int i = 0; i < small_jobs; ++i)
    {
        std::string id = job_id("08", i);
        cell.call(i % 3, "GET", "/thumbs/" + id);
        lost += driver.log.starts_of(id).empty() ? 1 : 0;
    }
    return driver.conclude(lost > 0,
        std::to_string(lost) + " of " + std::to_string(small_jobs) +
            " small jobs have had nothing running since they were accepted, "
            "14 s and more after the end of the traffic, while 7 runners are "
            "empty");
}

} // namespace

int main(int argc, char** argv)
{
    return standin::run_case(argc, argv, 3, &play);
}
