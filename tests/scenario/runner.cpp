#include "runner.hpp"

#include "address_block.hpp"
#include "cell_reader.hpp"
#include "yaml_get.hpp"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <pcg_random.hpp>

namespace scenario
{
namespace
{

constexpr int default_wait_s = 60;
constexpr int poll_ms = 50;
constexpr int revision_poll_ms = 100;

json to_json(YAML::Node const& node)
{
    json out = json::object();
    for (auto const& entry : node)
    {
        std::string text = entry.second.as<std::string>();
        json parsed = json::parse(text, nullptr, false);
        out[entry.first.as<std::string>()] =
            parsed.is_number() || parsed.is_boolean() ? parsed : json(text);
    }
    return out;
}

void pause_ms(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

} // namespace

runner::runner(run_options options)
    : options(std::move(options))
    , random_state(this->options.seed)
{
}

runner::~runner()
{
    this->stopping = true;
    if (this->poller.joinable())
    {
        this->poller.join();
    }
}

int runner::run()
{
    YAML::Node file = YAML::LoadFile(this->options.file);
    this->name = file["name"].as<std::string>();
    std::string pattern = "/tmp/toucan-scenario-XXXXXX";
    this->folder = mkdtemp(pattern.data());
    std::string scenario_folder =
        std::filesystem::path(this->options.file).parent_path().string();
    int block = reserve_address_block();
    this->target = std::make_unique<cell>(
        read_cell(
            file["cell"], scenario_folder.empty() ? "." : scenario_folder),
        this->folder, this->options.bin, block);
    this->clients =
        std::make_unique<callers>(*this->target, this->options.seed);
    try
    {
        this->target->start();
        this->disable_mechanism(this->options.disabled_mechanism);
        this->poller = std::thread([this] { this->poll_revisions(); });
        for (YAML::Node const& step : file["steps"])
        {
            this->run_step(step);
        }
        this->clients->join();
    }
    catch (std::exception const& problem)
    {
        this->fail(problem.what());
    }
    return this->finish();
}

void runner::disable_mechanism(std::string const& mechanism)
{
    if (mechanism == "checks")
    {
        post_admin(this->target->platform(), "/admin/fault",
            {{"mode", "ignore-checks"}});
    }
    if (mechanism == "leases")
    {
        post_admin(
            this->target->workers(), "/admin/fault", {{"fault", "lawless"}});
    }
    if (mechanism == "checkpoints")
    {
        post_admin(
            this->target->workers(), "/admin/fault", {{"fault", "forgetful"}});
    }
    if (mechanism == "capacity")
    {
        post_admin(
            this->target->workers(), "/admin/fault", {{"fault", "unguard"}});
    }
}

void runner::run_step(YAML::Node const& step)
{
    for (auto const& entry : step)
    {
        std::string verb = entry.first.as<std::string>();
        auto begin = std::chrono::steady_clock::now();
        this->run_verb(verb, entry.second);
        if (this->options.verbose)
        {
            std::chrono::duration<double> took =
                std::chrono::steady_clock::now() - begin;
            std::cout << "step=" << verb << " took_s=" << took.count()
                      << std::endl;
        }
    }
}

void runner::run_verb(std::string const& verb, YAML::Node const& argument)
{
    if (verb == "submit")
    {
        this->make_calls(argument, "job");
    }
    else if (verb == "request")
    {
        this->make_calls(argument, "request");
    }
    else if (verb == "join")
    {
        this->clients->join();
    }
    else if (verb == "kill")
    {
        this->target->processes().send_signal(
            this->pick_process(argument.as<std::string>()), SIGKILL);
    }
    else if (verb == "restart")
    {
        this->restart(argument.as<std::string>());
    }
    else if (verb == "stop")
    {
        std::string process = this->pick_process(argument.as<std::string>());
        this->target->processes().send_signal(process, SIGTERM);
        int code = this->target->processes().wait_for_exit(process);
        if (code != 0)
        {
            this->fail(process + " did not exit cleanly; status " +
                       std::to_string(code));
        }
    }
    else if (verb == "freeze")
    {
        this->target->processes().send_signal(
            this->pick_process(argument.as<std::string>()), SIGSTOP);
    }
    else if (verb == "thaw")
    {
        this->target->processes().send_signal(
            this->pick_process(argument.as<std::string>()), SIGCONT);
    }
    else if (verb == "pause-ms")
    {
        pause_ms(argument.as<int>());
    }
    else if (verb == "store")
    {
        json body = to_json(argument);
        post_admin(this->target->platform(), "/admin/fault", body);
    }
    else if (verb == "instances")
    {
        post_admin(
            this->target->platform(), "/admin/instances", to_json(argument));
    }
    else if (verb == "worker")
    {
        post_admin(this->target->workers(), "/admin/fault", to_json(argument));
    }
    else if (verb == "runner")
    {
        post_admin(this->target->runners(), "/admin/fault", to_json(argument));
    }
    else if (verb == "network")
    {
        post_admin(this->target->relay(), "/admin/fault", to_json(argument));
    }
    else if (verb == "storm")
    {
        this->run_storm(argument);
    }
    else if (verb == "ctl")
    {
        this->run_toucanctl(argument.as<std::string>());
    }
    else if (verb == "usage")
    {
        this->usage.print_usage(*this->target);
    }
    else if (verb == "show-packing")
    {
        usage_report::print_packing(*this->target);
    }
    else if (verb == "cancel")
    {
        this->clients->cancel(argument["label"].as<std::string>(),
            get<std::string>(argument, "token", "strekbod-example-token"));
    }
    else if (verb == "switch-preset")
    {
        this->switch_preset(argument);
    }
    else if (verb == "wait-until")
    {
        this->wait_until(argument);
    }
    else if (verb == "expect")
    {
        this->expect(argument);
    }
    else if (verb == "expect-preset")
    {
        this->expect_preset(argument);
    }
    else
    {
        throw std::runtime_error("unknown step: " + verb);
    }
}

std::string runner::pick_process(std::string const& pattern)
{
    if (pattern.find('*') == std::string::npos)
    {
        return pattern;
    }
    std::string prefix = pattern.substr(0, pattern.find('*'));
    std::vector<std::string> matching;
    for (std::string const& each : this->target->processes().names())
    {
        if (each.rfind(prefix, 0) == 0)
        {
            matching.push_back(each);
        }
    }
    pcg32 random(this->random_state++);
    return matching.at(random(static_cast<std::uint32_t>(matching.size())));
}

void runner::make_calls(YAML::Node const& argument, std::string const& kind)
{
    call_group group;
    group.label = argument["label"].as<std::string>();
    group.kind = kind;
    group.token = get<std::string>(argument, "token", "strekbod-example-token");
    group.count = get(argument, "count", 1);
    group.threads = get(argument, "threads", group.threads);
    group.keyed = get(argument, "keyed", true);
    group.service = this->target->options().service;
    group.run_ms = get(argument, "run_ms", group.run_ms);
    group.rate_per_s = get(argument, "rate_per_s", group.rate_per_s);
    group.retry_timeout_ms =
        get(argument, "patience_ms", group.retry_timeout_ms);
    group.call_timeout_ms =
        get(argument, "call_timeout_ms", group.call_timeout_ms);
    group.first_gateway = get<std::string>(argument, "via", "");
    if (argument["job"])
    {
        group.job = to_json(argument["job"]);
    }
    if (get(argument, "background", false))
    {
        this->clients->run_in_background(group);
        return;
    }
    this->clients->run(group);
}

/// Injects a seeded sequence of faults; each is undone before the next but one.
void runner::run_storm(YAML::Node const& argument)
{
    constexpr int fault_kinds = 8;
    int faults = get(argument, "faults", 10);
    int gap_ms = get(argument, "gap_ms", 700);
    // 54 selects the stream of the generator; any fixed number would do.
    pcg32 random(this->options.seed, 54);
    for (int i = 0; i < faults; ++i)
    {
        this->inject_fault(static_cast<int>(random(fault_kinds)));
        pause_ms(gap_ms + static_cast<int>(random(gap_ms)));
    }
}

void runner::inject_fault(int kind)
{
    std::string worker = "w0" + std::to_string(1 + this->random_state++ % 8);
    std::string scheduler = this->pick_process("scheduler-*");
    std::string gateway = this->pick_process("gateway-*");
    process_table& processes = this->target->processes();
    auto set_fault = [](std::string const& address, json const& body)
    { post_admin(address, "/admin/fault", body); };
    switch (kind)
    {
    case 0:
        processes.send_signal(scheduler, SIGKILL);
        processes.restart(scheduler);
        break;
    case 1:
        processes.send_signal(gateway, SIGKILL);
        processes.restart(gateway);
        break;
    case 2:
        processes.send_signal(scheduler, SIGSTOP);
        pause_ms(3000);
        processes.send_signal(scheduler, SIGCONT);
        break;
    case 3:
        set_fault(this->target->workers(),
            {{"worker", worker}, {"fault", "restart"}});
        break;
    case 4:
        set_fault(
            this->target->workers(), {{"worker", worker}, {"fault", "cut"}});
        pause_ms(2000);
        set_fault(
            this->target->workers(), {{"worker", worker}, {"fault", "heal"}});
        break;
    case 5:
        set_fault(this->target->platform(), {{"mode", "down"}});
        pause_ms(2000);
        set_fault(this->target->platform(), {{"mode", "up"}});
        break;
    case 6:
        set_fault(
            this->target->platform(), {{"mode", "lose-answers"}, {"count", 5}});
        pause_ms(1500);
        set_fault(this->target->platform(), {{"mode", "up"}});
        break;
    default:
        set_fault(
            this->target->workers(), {{"worker", worker}, {"fault", "freeze"}});
        pause_ms(2500);
        set_fault(
            this->target->workers(), {{"worker", worker}, {"fault", "thaw"}});
    }
}

/// Runs toucanctl with these arguments, as an operator would, and prints its
/// output.
void runner::run_toucanctl(std::string const& arguments)
{
    std::string command = this->options.bin + "/toucanctl --gateway " +
                          this->target->gateways().front() + " --token " +
                          operator_token + " " + arguments;
    std::cout << "\n$ toucanctl " << arguments << std::endl;
    if (std::system(command.c_str()) != 0)
    {
        this->fail("toucanctl " + arguments + " failed");
    }
}

void runner::restart(std::string const& name)
{
    this->target->processes().restart(name);
}

void runner::switch_preset(YAML::Node const& argument)
{
    std::string gateway = this->target->gateways().front();
    if (argument["via"])
    {
        gateway = this->target->gateway(argument["via"].as<std::string>());
    }
    json body{{"preset", argument["to"].as<std::string>()},
        {"author", get<std::string>(argument, "author", "scenario")}};
    if (argument["base_revision"])
    {
        body["base_revision"] = argument["base_revision"].as<int>();
    }
    reply answer = call("POST", "http://" + gateway + "/v1/operator/preset",
        body.dump(),
        {{"Authorization", std::string("Bearer ") + operator_token}}, 10000);
    int wanted = get(argument, "status", 200);
    if (wanted != 0 && answer.status != wanted)
    {
        this->fail("switch-preset returned status " +
                   std::to_string(answer.status) + " " + answer.body);
    }
}

void runner::wait_until(YAML::Node const& argument)
{
    int within_ms = get(argument, "within_s", default_wait_s) * 1000;
    if (argument["ended"])
    {
        std::string label = argument["ended"].as<std::string>();
        if (!this->clients->wait_for_jobs(
                label == "all" ? "" : label, within_ms))
        {
            this->fail("jobs " + label + " did not all end in time");
        }
        return;
    }
    auto until =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(within_ms);
    while (std::chrono::steady_clock::now() < until)
    {
        if (argument["ready"] &&
            cell::wait_ready(
                this->target->gateway(argument["ready"].as<std::string>()),
                1000))
        {
            return;
        }
        if (argument["rows"] &&
            this->count_rows(argument["rows"].as<std::string>()) <=
                static_cast<std::size_t>(get(argument, "at_most", 0)))
        {
            return;
        }
        if (argument["running"] &&
            this->count_events("start", argument["running"].as<std::string>() +
                                            "-") >= get(argument, "count", 1))
        {
            return;
        }
        if (argument["kept"] &&
            this->count_events("kept", "") >= get(argument, "kept", 1))
        {
            return;
        }
        pause_ms(poll_ms);
    }
    this->fail("condition of wait-until was not met in time");
}

/// Number of events of this kind in the workers' ledger for jobs whose mark has
/// this prefix.
int runner::count_events(
    std::string const& event_kind, std::string const& mark_prefix)
{
    json ledger = call("GET",
        "http://" + this->target->workers() + "/admin/ledger", "", {}, 10000)
                      .json_body();
    int count = 0;
    for (json const& event : ledger["events"])
    {
        count += event["event"] == event_kind &&
                 event.value("mark", "").rfind(mark_prefix, 0) == 0;
    }
    return count;
}

/// Number of rows of the table service whose keys have this prefix; npos when
/// the service does not answer.
std::size_t runner::count_rows(std::string const& prefix)
{
    json found = call("GET",
        "http://" + this->target->platform() +
            "/v1/rows?limit=1000000&prefix=" + prefix,
        "", {}, 10000)
                     .json_body();
    if (!found.contains("rows"))
    {
        return std::string::npos;
    }
    return found["rows"].size();
}

void runner::expect(YAML::Node const& argument)
{
    std::string label = argument["label"].as<std::string>();
    auto counts = this->clients->count_outcomes(label);
    for (auto const& entry : argument)
    {
        std::string key = entry.first.as<std::string>();
        if (key == "label")
        {
            continue;
        }
        std::string text = entry.second.as<std::string>();
        bool at_least = text.rfind(">=", 0) == 0;
        int wanted = std::atoi(text.c_str() + (at_least ? 2 : 0));
        int answer = counts[key];
        bool satisfied = at_least ? answer >= wanted : answer == wanted;
        if (!satisfied)
        {
            this->fail("expected " + text + " of " + label + " to be " + key +
                       ", found " + std::to_string(answer));
        }
    }
}

void runner::expect_preset(YAML::Node const& argument)
{
    std::string wanted = argument["name"].as<std::string>();
    int within_ms = get(argument, "within_ms", 3000);
    auto until =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(within_ms);
    std::size_t in_force = 0;
    do
    {
        in_force = 0;
        for (std::string const& gateway : this->target->gateways())
        {
            json config = call("GET",
                "http://" + gateway + "/v1/operator/config", "",
                {{"Authorization", std::string("Bearer ") + operator_token}},
                1000)
                              .json_body();
            in_force += config.value("preset", "") == wanted;
        }
        if (in_force == this->target->gateways().size())
        {
            return;
        }
        pause_ms(poll_ms);
    } while (std::chrono::steady_clock::now() < until);
    this->fail("preset " + wanted + " is in force at " +
               std::to_string(in_force) + " gateways only");
}

void runner::poll_revisions()
{
    while (!this->stopping)
    {
        for (std::string const& gateway : this->target->gateways())
        {
            json config = call("GET",
                "http://" + gateway + "/v1/operator/config", "",
                {{"Authorization", std::string("Bearer ") + operator_token}},
                1000)
                              .json_body();
            if (config.contains("revision"))
            {
                this->revisions.push_back(
                    {gateway, config["revision"].get<std::int64_t>(),
                        config.value("preset", "")});
            }
        }
        pause_ms(revision_poll_ms);
    }
}

void runner::fail(std::string const& reason)
{
    this->failures.push_back(reason);
    std::cout << "failure: " << reason << std::endl;
}

void runner::report_waits() const
{
    std::map<std::string, std::vector<double>> waits;
    for (call_record const& each : this->clients->records())
    {
        if (each.waited_ms >= 0)
        {
            waits[each.label].push_back(static_cast<double>(each.waited_ms));
        }
        std::string call = each.kind == "request" ? "" : "/accepted";
        waits[each.label + call].push_back(each.duration_ms);
    }
    for (auto& entry : waits)
    {
        auto& list = entry.second;
        std::sort(list.begin(), list.end());
        std::cout << "waits label=" << entry.first << " count=" << list.size()
                  << " p50_ms=" << list[list.size() / 2]
                  << " p99_ms=" << list[list.size() * 99 / 100]
                  << " max_ms=" << list.back() << std::endl;
    }
}

int runner::finish()
{
    this->stopping = true;
    if (this->poller.joinable())
    {
        this->poller.join();
    }
    observations all;
    all.calls = this->clients->records();
    all.revisions = this->revisions;
    all.workers = call("GET",
        "http://" + this->target->workers() + "/admin/ledger", "", {}, 30000)
                      .json_body();
    all.runners = call("GET",
        "http://" + this->target->runners() + "/admin/ledger", "", {}, 30000)
                      .json_body();
    if (!all.workers.contains("events") || !all.runners.contains("requests"))
    {
        this->fail("cannot read the ledger of the workers or runners");
    }
    std::vector<violation> violations;
    if (this->failures.empty() || all.workers.contains("events"))
    {
        violations = check(all);
    }
    for (violation const& each : violations)
    {
        std::cout << "violation promise=" << each.invariant << " detail=\""
                  << each.detail << "\"" << std::endl;
    }
    this->report_waits();
    json stats = call("GET",
        "http://" + this->target->platform() + "/admin/stats", "", {}, 10000)
                     .json_body();
    std::cout << "platform " << stats.dump() << std::endl;
    bool passed = violations.empty() && this->failures.empty();
    if (passed && !this->options.keep)
    {
        this->target.reset();
        std::filesystem::remove_all(this->folder);
    }
    else
    {
        std::cout << "logs " << this->folder << std::endl;
    }
    std::cout << "scenario=" << this->name << " seed=" << this->options.seed
              << " result=" << (passed ? "pass" : "fail")
              << " violations=" << violations.size() << std::endl;
    return passed ? 0 : 1;
}

} // namespace scenario
