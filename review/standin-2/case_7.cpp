/// Three jobs of many steps come at once; other requesters hand in small jobs.
#include "case_driver.hpp"

#include <algorithm>
#include <cstdio>

namespace
{

using namespace standin;

constexpr int runner_count = 8;
constexpr int small_jobs = 3;
constexpr int large_jobs = 3;
constexpr int steps_of_large_job = 700;
/// Each step starts after this many earlier ones.
constexpr int earlier_steps = 20;
/// `MaxBodyBytes` of the desired state.
constexpr std::size_t max_body_bytes = 262144;

std::string large_job()
{
    json steps = json::array();
    for (int i = 0; i < steps_of_large_job; ++i)
    {
        json after = json::array();
        for (int j = std::max(0, i - earlier_steps); j < i; ++j)
        {
            after.push_back(j);
        }
        json more{{"EstimatedMs", 100}};
        if (!after.empty())
        {
            more["After"] = after;
        }
        steps.push_back(make_step(1, 500, 256, more));
    }
    return job_text(100, steps);
}

std::string small_path(int number)
{
    char text[17];
    std::snprintf(text, sizeof text, "5e05%012x", number);
    return std::string("/confirm/") + text;
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
    if (with_trouble())
    {
        std::string text = large_job();
        driver.record.write(
            "the large job has " + std::to_string(text.size()) + " bytes");
        // Handed in again at another machine if there is no answer.
        int first = cell.leader() + 1;
        int accepted_large = 0;
        for (int i = 0; i < large_jobs && text.size() <= max_body_bytes; ++i)
        {
            std::string path = "/render/5e0600000000000" + std::to_string(i);
            bool is_accepted = false;
            for (int attempt = 0; attempt < 2 && !is_accepted; ++attempt)
            {
                int node = (first + i + attempt) % 3;
                is_accepted = cell.call(node, "POST", path, text).status == 200;
            }
            accepted_large += is_accepted ? 1 : 0;
        }
        if (accepted_large == 0)
        {
            return could_not_run;
        }
        sleep_ms(2000);
    }
    // Each is handed in until it is accepted, as requesters do.
    json step = make_step(1, 2800, 10000, {{"EstimatedMs", 640}});
    std::string text = job_text(640, json::array({step}));
    std::vector<int> accepted;
    for (int i = 0; i < small_jobs; ++i)
    {
        for (int attempt = 0; attempt < 3; ++attempt)
        {
            if (cell.call((i + attempt) % 3, "POST", small_path(i), text)
                    .status == 200)
            {
                accepted.push_back(i);
                break;
            }
        }
    }
    if (accepted.empty())
    {
        driver.record.write("no small job was accepted");
        return could_not_run;
    }
    sleep_ms(finish_ms + idle_ms);
    int lost = 0;
    for (int i : accepted)
    {
        std::string id = small_path(i).substr(std::string("/confirm/").size());
        // A node that does not answer in time is not the only one.
        for (int node = 0; node < 3; ++node)
        {
            if (cell.call(node, "GET", small_path(i)).status == 200)
            {
                break;
            }
        }
        std::vector<task_end> ends = driver.log.ends_of(id);
        bool is_done = std::any_of(ends.begin(), ends.end(),
            [](task_end const& end) { return end.how == "done"; });
        bool is_running = driver.wait_for_holder(id, 5) != nullptr;
        lost += is_done || is_running ? 0 : 1;
    }
    return driver.conclude(lost > 0,
        std::to_string(lost) + " of " + std::to_string(accepted.size()) +
            " accepted small jobs have had nothing running since they were "
            "accepted, 14 s and more after the end of the traffic, while the "
            "runners are idle");
}

} // namespace

int main(int argc, char** argv)
{
    return standin::run_case(argc, argv, 3, &play);
}
