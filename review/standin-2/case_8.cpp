/// A runner crashes once under a task that has just begun, while a service has
/// a task on each runner.
#include "case_driver.hpp"

namespace
{

using namespace standin;

constexpr char service_job[] = "5e0000000000a001";
constexpr char task_job[] = "5e0000000000a002";
constexpr int runner_count = 8;

int play(case_driver& driver)
{
    for (int i = 0; i < runner_count; ++i)
    {
        driver.add_runner();
    }
    // The terms of the queues portrait-render and slot-confirm.
    driver.installation.configure(
        json::array({make_route("serve", "/serve/", 1, 4, 2.2, 1000),
            make_route("confirm", "/confirm/", 0, 3, 1.5, 250)}));
    if (!driver.start())
    {
        return could_not_run;
    }
    cell& cell = driver.installation;
    json service = make_step(
        runner_count, 2000, 1024, {{"LongRunning", true}, {"AntiAffinity", 1}});
    if (cell.call(0, "POST", std::string("/serve/") + service_job,
                job_text(0, json::array({service})))
            .status != 200)
    {
        return could_not_run;
    }
    sleep_ms(6000);
    json step = make_step(1, 2800, 10000, {{"EstimatedMs", 640}});
    if (cell.call(1, "POST", std::string("/confirm/") + task_job,
                job_text(640, json::array({step})))
            .status != 200)
    {
        return could_not_run;
    }
    std::int64_t end_of_traffic = now_ms();
    runner* holder = driver.wait_for_holder(task_job, 2000);
    if (holder == nullptr)
    {
        return could_not_run;
    }
    if (with_trouble())
    {
        sleep_ms(300);
        driver.record.write("runner " + holder->id() + " crashes");
        holder->crash();
        sleep_ms(1500);
        driver.record.write("runner " + holder->id() + " starts again");
        holder->boot();
    }
    // LOST, `finish_s` after the end of the traffic: for 3 s nothing of the
    // job runs.
    std::int64_t until = end_of_traffic + finish_ms + idle_ms;
    std::string state;
    while (now_ms() < until)
    {
        state =
            state_in(cell.call(2, "GET", std::string("/confirm/") + task_job));
        if (state == "completed")
        {
            return driver.conclude(false, "the job is completed");
        }
        sleep_ms(1000);
    }
    std::int64_t last_run = 0;
    for (task_end const& end : driver.log.ends_of(task_job))
    {
        last_run = end.at_ms;
    }
    std::int64_t idle = now_ms() - last_run;
    // The service uses 2 of the 32 cores of each runner.
    return driver.conclude(idle > idle_ms,
        "the job is shown as " + state + " and has had nothing running for " +
            std::to_string(idle) +
            " ms, while 30 of the 32 cores of each of 8 runners are free");
}

} // namespace

int main(int argc, char** argv)
{
    return standin::run_case(argc, argv, 3, &play);
}
