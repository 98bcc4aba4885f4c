#include "cell.hpp"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace standin
{
namespace
{

constexpr char deploy_command[] = "target/bin/toucan-cell";
constexpr char settings_template[] = "deploy/settings.yaml";

std::string replace_all(std::string text,
    std::vector<std::pair<std::string, std::string>> const& values)
{
    for (auto const& [name, value] : values)
    {
        std::string place = "{{" + name + "}}";
        for (auto at = text.find(place); at != std::string::npos;
             at = text.find(place))
        {
            text.replace(at, place.size(), value);
        }
    }
    return text;
}

} // namespace

cell_process::cell_process(std::string name, std::string zone,
    std::string folder, int store_port, record_file& record)
    : node_name(std::move(name))
    , zone(std::move(zone))
    , folder(std::move(folder))
    , store_port(store_port)
    , record(record)
    , port(free_port())
    , ready_port(free_port())
    , peer_port(free_port())
{
}

cell_process::~cell_process()
{
    if (this->pid > 0)
    {
        ::kill(this->pid, SIGKILL);
        ::waitpid(this->pid, nullptr, 0);
    }
}

void cell_process::start()
{
    std::ifstream in(settings_template);
    std::stringstream text;
    text << in.rdbuf();
    auto local = [](int number)
    { return "127.0.0.1:" + std::to_string(number); };
    std::string settings = replace_all(text.str(),
        {{"NodeName", this->node_name}, {"Zone", this->zone},
            {"ListenAddresses.Frontend", local(this->port)},
            {"ListenAddresses.Ready", local(this->ready_port)},
            {"IpAddress", "127.0.0.1"},
            {"InternalPortRange.0", std::to_string(this->peer_port)},
            {"platform.Address", local(this->store_port)},
            {"Advice", local(free_port())}, {"Limits.CpuShare", "0.25"},
            {"Bounds.GracePeriodS", "6"}, {"Bounds.status_s", "120"}});
    std::string file = this->folder + "/" + this->node_name + ".yaml";
    std::ofstream(file) << settings;
    std::string log = this->folder + "/" + this->node_name + ".log";
    this->record.write("process " + this->node_name + " is started");
    this->pid = ::fork();
    if (this->pid == 0)
    {
        // Ends with the driver, however that ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        int out = ::open(
            log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        std::string variable = "TOUCANLEVER_SETTINGS=" + file;
        char const* path = std::getenv("PATH");
        std::string path_variable =
            std::string("PATH=") + (path == nullptr ? "" : path);
        char* environment[] = {variable.data(), path_variable.data(), nullptr};
        std::string command = deploy_command;
        char* arguments[] = {command.data(), nullptr};
        ::execve(deploy_command, arguments, environment);
        ::_exit(127);
    }
}

bool cell_process::is_ready() const
{
    return send_once(this->ready_port, "GET", "/-/readiness", "ready", {}, 1000)
               .status == 200;
}

bool cell_process::is_running()
{
    if (this->pid > 0 && ::waitpid(this->pid, nullptr, WNOHANG) == this->pid)
    {
        this->pid = 0;
    }
    return this->pid > 0;
}

void cell_process::signal(int number)
{
    this->record.write("process " + this->node_name + " gets " +
                       (number == SIGSTOP      ? "SIGSTOP"
                           : number == SIGCONT ? "SIGCONT"
                           : number == SIGTERM ? "SIGTERM"
                           : number == SIGKILL ? "SIGKILL"
                                               : std::to_string(number)));
    ::kill(this->pid, number);
}

cell::cell(std::string folder, record_file& record, int machines)
    : record(record)
{
    char const* zones[] = {"vestland-a", "vestland-b", "vestland-c"};
    for (int i = 0; i < machines; ++i)
    {
        std::string zone = zones[i % 3];
        this->nodes.push_back(std::make_unique<cell_process>(
            "frontend-" + zone + "-" + std::to_string(i / 3 + 1), zone, folder,
            this->platform.port(), record));
    }
}

cell::~cell()
{
    this->nodes.clear();
}

void cell::configure(json const& routes)
{
    this->version += 7;
    this->platform.put("op", "config",
        {{"Version", this->version}, {"Routes", routes},
            {"Services",
                json::array({{{"Name", service_name}, {"HealthPath", "/health"},
                    {"ConnectionLimit", 64}, {"Protocol", "h1"}, {"Tls", false},
                    {"EnforcesCapacity", false}, {"Standby", false}}})},
            {"Limits",
                {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 262144},
                    {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15000}}}});
}

bool cell::start(int count)
{
    auto started =
        count == 0 ? this->nodes.size() : static_cast<std::size_t>(count);
    for (std::size_t i = 0; i < started; ++i)
    {
        this->nodes[i]->start();
    }
    for (int attempt = 0; attempt < 100; ++attempt)
    {
        bool all = this->leader() >= 0;
        for (std::size_t i = 0; i < started; ++i)
        {
            all = all && this->nodes[i]->is_ready();
        }
        if (all)
        {
            // Traffic starts some seconds after the machines.
            sleep_ms(2000);
            return true;
        }
        sleep_ms(100);
    }
    return false;
}

int cell::leader()
{
    std::string row = this->platform.get("leader", "main", "holder");
    for (std::size_t i = 0; i < this->nodes.size(); ++i)
    {
        if (row.find(this->nodes[i]->name()) != std::string::npos)
        {
            return static_cast<int>(i);
        }
    }
    return -1;
}

response cell::call(int node, std::string const& method,
    std::string const& path, std::string const& body, int timeout_ms)
{
    cell_process const& at = *this->nodes.at(static_cast<std::size_t>(node));
    this->record.write("requester sends " + method + " " + path + " to " +
                       at.name() + (body.empty() ? "" : " " + body));
    response answer =
        send_once(at.caller_port(), method, path, route_host, body, timeout_ms);
    this->record.write(
        "requester gets " +
        (answer.status == 0 ? "no answer" : std::to_string(answer.status)) +
        " " + answer.body + " to " + method + " " + path);
    return answer;
}

json make_route(std::string const& name, std::string const& prefix,
    int priority, int max_attempts, double slack_factor, int target_ms)
{
    return {{"Name", name}, {"Host", route_host}, {"Prefix", prefix},
        {"Kind", "non_idempotent"}, {"TimeoutMs", 3000},
        {"TargetLatencyMs", target_ms}, {"Priority", priority},
        {"Service", service_name}, {"MaxAttempts", max_attempts},
        {"SlackFactor", slack_factor}};
}

std::string state_in(response const& answer)
{
    if (answer.status != 200)
    {
        return std::to_string(answer.status);
    }
    return json::parse(answer.body, nullptr, false).value("State", "");
}

bool with_trouble()
{
    char const* trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace standin
