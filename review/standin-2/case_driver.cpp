#include "case_driver.hpp"

#include <csignal>
#include <iostream>

namespace standin
{

case_driver::case_driver(
    std::string const& folder, std::string const& record_path, int machines)
    : record(record_path)
    , log(this->record)
    , installation(folder, this->record, machines)
{
}

runner& case_driver::add_runner(std::vector<std::string> const& labels)
{
    std::size_t number = this->runners.size();
    char const* zones[] = {"vestland-a", "vestland-b", "vestland-c"};
    runner_terms terms;
    terms.id = "i-runner" + std::to_string(number + 10);
    terms.service = service_name;
    terms.zone = zones[number % 3];
    terms.rack = "r1-" + std::to_string(number / 8 + 1);
    terms.labels = labels;
    this->runners.push_back(std::make_unique<runner>(
        terms, this->installation.platform, this->log));
    return *this->runners.back();
}

bool case_driver::start(int count)
{
    return this->installation.start(count);
}

runner* case_driver::wait_for_holder(
    std::string const& job, std::int64_t time_ms)
{
    std::int64_t until = now_ms() + time_ms;
    while (now_ms() < until)
    {
        for (auto const& each : this->runners)
        {
            if (each->runs(job))
            {
                return each.get();
            }
        }
        sleep_ms(5);
    }
    return nullptr;
}

int case_driver::conclude(bool broken, std::string const& what)
{
    this->record.write((broken ? "rule broken: " : "rule held: ") + what);
    std::cout << (broken ? "broken: " : "held: ") << what << std::endl;
    return broken ? rule_broken : rule_held;
}

std::string job_text(std::int64_t work_ms, json const& steps)
{
    return json{{"Specification", "work_ms=" + std::to_string(work_ms)},
        {"Steps", steps}}
        .dump();
}

json make_step(int count, int cpu, int memory_mb, json const& more)
{
    json step{{"Count", count}, {"Cpu", cpu}, {"MemoryRequestMb", memory_mb}};
    if (more.is_object())
    {
        step.update(more);
    }
    return step;
}

int run_case(int argc, char** argv, int machines, int (*play)(case_driver&))
{
    constexpr int expected_arguments = 3;
    if (argc != expected_arguments)
    {
        std::cerr << "usage: " << argv[0] << " FOLDER RECORD\n";
        return could_not_run;
    }
    ::signal(SIGPIPE, SIG_IGN);
    try
    {
        case_driver driver(argv[1], argv[2], machines);
        driver.record.write(
            with_trouble() ? "with the disruption" : "without the disruption");
        return play(driver);
    }
    catch (std::exception const& problem)
    {
        std::cerr << problem.what() << "\n";
        return could_not_run;
    }
}

} // namespace standin
