/// Two runners crash, one after the other, shortly after the task of a
/// long-running job has begun there.
#include "case_driver.hpp"

namespace
{

using namespace standin;

constexpr char service_job[] = "5e0000000000b001";
constexpr int runner_count = 16;

int play(case_driver& driver)
{
    for (int i = 0; i < runner_count; ++i)
    {
        driver.add_runner();
    }
    driver.installation.configure(
        json::array({make_route("serve", "/serve/", 1, 4, 2.2, 1000)}));
    if (!driver.start())
    {
        return could_not_run;
    }
    cell& cell = driver.installation;
    std::string path = std::string("/serve/") + service_job;
    json service = make_step(1, 2000, 1024, {{"LongRunning", true}});
    if (cell.call(0, "POST", path, job_text(0, json::array({service})))
            .status != 200)
    {
        return could_not_run;
    }
    for (int crash = 0; crash < 2; ++crash)
    {
        runner* holder = driver.wait_for_holder(service_job, 12000);
        if (holder == nullptr)
        {
            break;
        }
        if (!with_trouble())
        {
            sleep_ms(2000);
            continue;
        }
        sleep_ms(200);
        driver.record.write("runner " + holder->id() + " crashes");
        holder->crash();
        sleep_ms(1500);
        driver.record.write("runner " + holder->id() + " starts again");
        holder->boot();
    }
    std::string state;
    std::int64_t until = now_ms() + finish_ms + idle_ms;
    while (now_ms() < until)
    {
        state = state_in(cell.call(2, "GET", path));
        sleep_ms(1000);
    }
    std::size_t failed = 0;
    for (task_end const& end : driver.log.ends_of(service_job))
    {
        failed += end.how == "failed" ? 1 : 0;
    }
    bool runs = driver.wait_for_holder(service_job, 10) != nullptr;
    return driver.conclude(state == "failed" || !runs,
        "the job, which nobody has cancelled, is shown as " + state +
            " after " + std::to_string(failed) + " ends `failed`; its task " +
            (runs ? "runs" : "does not run"));
}

} // namespace

int main(int argc, char** argv)
{
    return standin::run_case(argc, argv, 3, &play);
}
