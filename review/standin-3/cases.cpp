#include "cases.hpp"

#include <stdexcept>
#include <unistd.h>

namespace review
{

deployment::deployment(
    record& log, std::string const& folder, std::size_t machines)
    : log(log)
    , platform(log)
    , runs(log)
{
    for (std::size_t i = 0; i < machines; ++i)
    {
        std::string number = std::to_string(i + 1);
        std::string ip = own_ip(static_cast<int>(i) + 1);
        this->machines.push_back(
            std::make_unique<cell_process>("front-" + number, "zone-" + number,
                ip, this->platform.add_view(), folder));
    }
}

runner& deployment::add_runner(runner_options options)
{
    this->runners.push_back(std::make_unique<runner>(
        std::move(options), this->platform, this->runs, this->log));
    return *this->runners.back();
}

void deployment::start(json const& routes)
{
    json services = json::array({{{"Name", "svc"}, {"EnforcesCapacity", false},
        {"ConnectionLimit", 64}}});
    this->platform.put("op", "config",
        json{{"Version", 7}, {"Routes", routes}, {"Services", services},
            {"Limits", {{"MaxBodyBytes", 262144}}}}
            .dump());
    for (auto& each : this->runners)
    {
        each->start();
    }
    for (auto& each : this->machines)
    {
        each->start();
    }
    std::int64_t until = now_ms() + 15000;
    for (auto& each : this->machines)
    {
        while (call_once(
                   each->ready_address(), "GET", "/-/readiness", "x", "", 500)
                   .status != 200)
        {
            if (now_ms() > until || !each->is_running())
            {
                throw std::runtime_error("a machine does not become ready");
            }
            sleep_ms(50);
        }
    }
    // Traffic starts some seconds after the machines.
    sleep_ms(4000);
}

int deployment::leader()
{
    std::string row = this->platform.rows("leader")["holder"];
    for (std::size_t i = 0; i < this->machines.size(); ++i)
    {
        if (row.find(this->machines[i]->name()) != std::string::npos)
        {
            return static_cast<int>(i);
        }
    }
    return -1;
}

json route(std::string const& name, std::string const& prefix,
    std::int64_t priority, std::int64_t attempts)
{
    return {{"Name", name}, {"Host", host}, {"Prefix", prefix},
        {"Kind", "non_idempotent"}, {"TimeoutMs", 3000},
        {"TargetLatencyMs", 1000}, {"Priority", priority}, {"Service", "svc"},
        {"MaxAttempts", attempts}, {"SlackFactor", 2.2}};
}

std::map<std::string, case_function> const& cases()
{
    static std::map<std::string, case_function> const all{
        {"crash-verdict", crash_verdict}, {"stop-answers", stop_answers},
        {"failing-service", failing_service},
        {"settings-fraction", settings_fraction},
        {"gang-checkpoints", gang_checkpoints}};
    return all;
}

} // namespace review
