#include "programs/ctl/verbs.hpp"

#include "programs/ctl/table.hpp"
#include "toucanlever/control/cell_config.hpp"
#include "toucanlever/core/settings_file.hpp"

#include <boost/program_options.hpp>
#include <chrono>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace toucanlever
{
namespace
{

namespace po = boost::program_options;

constexpr int call_timeout_s = 15;
/// Longest wait that one status request asks for; below the gateway's limit of
/// 60 s.
constexpr int max_wait_s = 50;

std::string read_file(std::string const& name)
{
    std::ifstream in(name);
    if (!in)
    {
        throw po::error("cannot read " + name);
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

/// Prints the response and returns the exit code for it.
ctl_exit show(verb_input const& input, api_answer const& answer)
{
    if (answer.status == 0)
    {
        std::cerr << "toucanctl: " << input.target.gateway
                  << " did not respond: " << answer.text << "\n";
        return ctl_exit::unreachable;
    }
    bool is_success = answer.status < 300;
    if (input.json_output || !answer.body.is_structured())
    {
        (is_success ? std::cout : std::cerr) << answer.text << "\n";
    }
    else if (answer.body.is_object() && answer.body.contains("items"))
    {
        print_table(std::cout, answer.body["items"]);
        for (auto const& peer : answer.body["silent"])
        {
            std::cout << "no answer from " << peer.get<std::string>() << "\n";
        }
    }
    else
    {
        print_table(is_success ? std::cout : std::cerr, answer.body);
    }
    return is_success ? ctl_exit::done : ctl_exit::refused;
}

api_answer get(verb_input const& input, std::string const& path)
{
    return call_api(input.target, "GET", path, "", "", call_timeout_s);
}

api_answer post(verb_input const& input, std::string const& path,
    nlohmann::json const& body)
{
    return call_api(
        input.target, "POST", path, body.dump(), "", call_timeout_s);
}

std::string require_argument(
    verb_input const& input, std::size_t index, std::string const& what)
{
    if (input.words.size() <= index)
    {
        throw po::error("expected " + what);
    }
    return input.words[index];
}

ctl_exit submit(verb_input const& input)
{
    std::string file;
    std::string key;
    std::string kind = "batch";
    std::string name = "job";
    std::string payload;
    std::int64_t cpu = 1000;
    std::int64_t memory = std::int64_t(256) << 20;
    std::int64_t accelerators = 0;
    std::int64_t run_ms = 1000;
    std::uint32_t tasks = 1;
    bool urgent = false;
    bool once = false;
    po::options_description description("toucanctl submit");
    auto add = description.add_options();
    add("file", po::value(&file),
        "JSON file with the job; options other than --key are ignored");
    add("key", po::value(&key), "idempotency key");
    add("kind", po::value(&kind), "batch, service or gang");
    add("name", po::value(&name), "name of the job");
    add("cpu-millis", po::value(&cpu),
        "CPU of each task, in thousandths of a core");
    add("memory-bytes", po::value(&memory), "memory of each task, in bytes");
    add("accelerators", po::value(&accelerators), "accelerators of each task");
    add("run-ms", po::value(&run_ms), "expected run time, in milliseconds");
    add("tasks", po::value(&tasks), "number of tasks (gangs only)");
    add("input", po::value(&payload), "input of the job");
    add("urgent", po::bool_switch(&urgent),
        "start before jobs that are not urgent");
    add("at-most-once", po::bool_switch(&once),
        "never run the job a second time");
    po::variables_map values;
    po::store(po::command_line_parser(input.words).options(description).run(),
        values);
    po::notify(values);
    nlohmann::json body{{"kind", kind}, {"name", name}, {"cpu_millis", cpu},
        {"memory_bytes", memory}, {"accelerators", accelerators},
        {"declared_run_ms", run_ms}, {"tasks", tasks}, {"urgent", urgent},
        {"idempotent", !once}, {"input", payload}};
    std::string text = file.empty() ? body.dump() : read_file(file);
    return show(input,
        call_api(input.target, "POST", "/v1/jobs", text, key, call_timeout_s));
}

ctl_exit status(verb_input const& input)
{
    return show(input,
        get(input, "/v1/jobs/" + require_argument(input, 0, "a job id")));
}

ctl_exit wait(verb_input const& input)
{
    std::string id = require_argument(input, 0, "a job id");
    for (;;)
    {
        api_answer answer = call_api(input.target, "GET",
            "/v1/jobs/" + id + "?wait=" + std::to_string(max_wait_s), "", "",
            max_wait_s + call_timeout_s);
        std::string state =
            answer.body.is_object() ? answer.body.value("state", "") : "";
        if (state == "queued" || state == "running")
        {
            continue;
        }
        ctl_exit shown = show(input, answer);
        bool failed = shown == ctl_exit::done && state != "succeeded";
        return failed ? ctl_exit::job_failed : shown;
    }
}

ctl_exit result(verb_input const& input)
{
    return show(input,
        get(input,
            "/v1/jobs/" + require_argument(input, 0, "a job id") + "/result"));
}

ctl_exit cancel(verb_input const& input)
{
    return show(input,
        call_api(input.target, "DELETE",
            "/v1/jobs/" + require_argument(input, 0, "a job id") + "?wait=5",
            "", "", call_timeout_s));
}

ctl_exit list_jobs(verb_input const& input)
{
    return show(input, get(input, "/v1/operator/jobs"));
}

ctl_exit list_workers(verb_input const& input)
{
    return show(input, get(input, "/v1/operator/workers"));
}

ctl_exit list_members(verb_input const& input)
{
    return show(input, get(input, "/v1/operator/members"));
}

ctl_exit explain(verb_input const& input)
{
    return show(input, get(input, "/v1/operator/explain/" +
                                      require_argument(input, 0, "a job id")));
}

ctl_exit drain(verb_input const& input)
{
    std::string id = require_argument(input, 0, "an instance id");
    bool undo = input.words.size() > 1 && input.words[1] == "--undo";
    return show(input,
        post(input, "/v1/operator/drain", {{undo ? "undrain" : "drain", id}}));
}

/// Prints the configuration in force and, for a table, the state of each
/// scheduler.
ctl_exit show_preset(verb_input const& input)
{
    api_answer config = get(input, "/v1/operator/config");
    if (config.status != 200)
    {
        return show(input, config);
    }
    config.body.erase("yaml");
    config.text = config.body.dump();
    ctl_exit shown = show(input, config);
    if (!input.json_output)
    {
        std::cout << "\n";
        show(input, get(input, "/v1/operator/members"));
    }
    return shown;
}

ctl_exit preset(verb_input const& input)
{
    std::string action = require_argument(input, 0, "show or switch");
    if (action == "show")
    {
        return show_preset(input);
    }
    if (action == "switch")
    {
        return show(
            input, post(input, "/v1/operator/preset",
                       {{"preset", require_argument(input, 1, "a preset")}}));
    }
    throw po::error("expected show or switch");
}

ctl_exit config(verb_input const& input)
{
    std::string action = require_argument(input, 0, "check, show or apply");
    if (action == "show")
    {
        api_answer answer = get(input, "/v1/operator/config");
        bool text_only = answer.status == 200 && !input.json_output;
        if (text_only)
        {
            std::cout << answer.body.value("yaml", "");
            return ctl_exit::done;
        }
        return show(input, answer);
    }
    std::string file = require_argument(input, 1, "a file");
    std::string text = read_file(file);
    parse_cell_config(text, file);
    if (action == "check")
    {
        std::cout << file << " is valid\n";
        return ctl_exit::done;
    }
    if (action == "apply")
    {
        return show(
            input, post(input, "/v1/operator/config", {{"yaml", text}}));
    }
    throw po::error("expected check, show or apply");
}

ctl_exit top(verb_input const& input)
{
    // Zero repeats until interrupted.
    int repeats = input.words.empty() ? 0 : std::stoi(input.words[0]);
    for (int i = 0; repeats == 0 || i < repeats; ++i)
    {
        api_answer members = get(input, "/v1/operator/members");
        if (!input.json_output)
        {
            std::cout << "\033[H\033[2J";
        }
        ctl_exit shown = show(input, members);
        if (shown != ctl_exit::done)
        {
            return shown;
        }
        std::cout << std::flush;
        std::this_thread::sleep_for(std::chrono::seconds(1));
    }
    return ctl_exit::done;
}

} // namespace

std::vector<verb> const& all_verbs()
{
    static std::vector<verb> const verbs{
        {"submit", "submit --kind K --cpu-millis N ...: submit a job", &submit},
        {"status", "status JOB: show the state of a job", &status},
        {"wait", "wait JOB: wait until a job has ended", &wait},
        {"result", "result JOB: print the result of a job", &result},
        {"cancel", "cancel JOB: cancel a job", &cancel},
        {"jobs", "jobs: list the jobs of all schedulers", &list_jobs},
        {"workers", "workers: list capacity, free capacity and tasks",
            &list_workers},
        {"members", "members: list the schedulers and what they serve",
            &list_members},
        {"preset", "preset show | preset switch NAME", &preset},
        {"config", "config check FILE | config show | config apply FILE",
            &config},
        {"drain", "drain INSTANCE [--undo]: assign no new work to an instance",
            &drain},
        {"explain", "explain JOB: why a job waits or where it was placed",
            &explain},
        {"top",
            "top [ROUNDS]: list the members every second, ROUNDS times or "
            "until interrupted",
            &top}};
    return verbs;
}

} // namespace toucanlever
