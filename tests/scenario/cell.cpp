#include "cell.hpp"

#include <chrono>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace scenario
{
namespace
{

constexpr int ready_timeout_ms = 30000;
constexpr int poll_ms = 50;
constexpr int scheduler_port = 7300;
constexpr int gateway_port = 7400;
// The address of the platform for failure domain D has port view_port + D.
constexpr int view_port = 7001;
// Third number of a relay's address: relay_subnet + relay_subnet_stride *
// source domain + target domain; to the platform, platform_relay_subnet +
// source domain.
constexpr int relay_subnet = 60;
constexpr int relay_subnet_stride = 10;
constexpr int platform_relay_subnet = 50;

std::string two_digits(int number)
{
    return (number < 10 ? "0" : "") + std::to_string(number);
}

std::string entry_name(int domain, int entry)
{
    return domain_name(domain) + "-" + std::to_string(entry + 1);
}

} // namespace

std::string domain_name(int index)
{
    return std::string(1, static_cast<char>('a' + index));
}

cell::cell(cell_options options, std::string folder, std::string bin,
    int address_block)
    : settings(std::move(options))
    , folder(folder)
    , bin(std::move(bin))
    , address_block(address_block)
    , child_processes(folder)
    , platform_address(this->ip(0, 1) + ":7000")
    , workers_address(this->ip(0, 2) + ":7100")
    , runners_address(this->ip(0, 3) + ":7200")
    , relay_address(this->ip(0, 4) + ":7500")
{
}

std::string cell::ip(int third, int fourth) const
{
    return "127." + std::to_string(this->address_block) + "." +
           std::to_string(third) + "." + std::to_string(fourth);
}

json cell::instances() const
{
    json list = json::array();
    for (int d = 0; d < this->settings.domains; ++d)
    {
        for (int e = 0; e < this->settings.entries; ++e)
        {
            list.push_back({{"id", "entry-" + entry_name(d, e)},
                {"role", "entry"}, {"domain", domain_name(d)},
                {"address", this->ip(d + 1, e + 1) + ":" +
                                std::to_string(scheduler_port)}});
        }
    }
    for (int w = 0; w < this->settings.workers; ++w)
    {
        int rack = w / this->settings.rack_size;
        std::string id = "w" + two_digits(w + 1);
        list.push_back({{"id", id}, {"role", "worker"},
            {"domain", domain_name(rack % this->settings.domains)},
            {"rack", "rack-" + std::to_string(rack + 1)},
            {"address", "http://" + this->workers_address + "/w/" + id},
            {"capacity", {{"cpu_millis", this->settings.cpu_millis},
                             {"memory_bytes", this->settings.memory_bytes},
                             {"accelerators", this->settings.accelerators}}}});
    }
    for (int r = 0; r < this->settings.runners; ++r)
    {
        std::string id = "r" + two_digits(r + 1);
        list.push_back({{"id", id}, {"role", "runner"},
            {"domain", domain_name(r % this->settings.domains)},
            {"address", "http://" + this->runners_address + "/r/" + id},
            {"service", this->settings.service},
            {"slots", this->settings.slots},
            {"connections", this->settings.connections}});
    }
    return list;
}

std::string cell::add_relay(std::string const& name, std::string const& listen,
    std::string const& target)
{
    for (json const& each : this->relays)
    {
        if (each["name"] == name)
        {
            return each["listen"];
        }
    }
    this->relays.push_back(
        {{"name", name}, {"listen", listen}, {"target", target}});
    return listen;
}

/// Adds to the instance, for each failure domain, the relay address under which
/// that domain reaches it.
json cell::add_relay_addresses(json instance)
{
    std::string address = instance["address"];
    std::string target_domain = instance["domain"];
    bool entry = instance["role"] == "entry";
    std::string scheme = entry ? "" : "http://";
    auto rest = address.find('/', scheme.size());
    std::string path = rest == std::string::npos ? "" : address.substr(rest);
    std::string target = address.substr(
        scheme.size(), rest == std::string::npos ? rest : rest - scheme.size());
    for (int from = 0; from < this->settings.domains; ++from)
    {
        if (entry && domain_name(from) == target_domain)
        {
            continue;
        }
        int third = relay_subnet + relay_subnet_stride * from +
                    (target_domain[0] - 'a');
        std::string endpoint = instance[entry ? "id" : "role"];
        std::string last = target.substr(target.rfind('.') + 1);
        std::string listen = this->ip(third, 0);
        listen.resize(listen.rfind('.') + 1);
        std::string name =
            domain_name(from) + ">" + target_domain + ":" + endpoint;
        instance["via"][domain_name(from)] =
            scheme + this->add_relay(name, listen + last, target) + path;
    }
    return instance;
}

void cell::write(std::string const& name, std::string const& text) const
{
    std::ofstream(this->folder + "/" + name) << text;
}

void cell::write_settings()
{
    json list = this->instances();
    if (this->settings.relays)
    {
        for (json& each : list)
        {
            each = this->add_relay_addresses(each);
        }
    }
    this->write("instances.json", list.dump());
    for (int d = 0; d < this->settings.domains; ++d)
    {
        std::string peers;
        for (int e = 0; e < this->settings.entries; ++e)
        {
            peers += "  - address: " + this->ip(d + 1, e + 1) + ":" +
                     std::to_string(scheduler_port) + "\n";
        }
        std::string platform = this->platform_address;
        if (this->settings.relays)
        {
            platform = this->add_relay(domain_name(d) + ">platform",
                this->ip(platform_relay_subnet + d, 1) + ":7000",
                this->ip(0, 1) + ":" + std::to_string(view_port + d));
        }
        for (int e = 0; e < this->settings.entries; ++e)
        {
            std::string name = entry_name(d, e);
            std::ostringstream common;
            common << "name: " << name << "\nfailure_domain: " << domain_name(d)
                   << "\nheartbeat_ms: " << this->settings.heartbeat_ms << "\n";
            std::ostringstream scheduler;
            scheduler << common.str() << "address: " << this->ip(d + 1, e + 1)
                      << ":" << scheduler_port
                      << "\nplatform_address: " << platform
                      << "\npeer_timeout_ms: " << this->settings.peer_timeout_ms
                      << "\ncontrol_lease_ms: "
                      << this->settings.control_lease_ms
                      << "\ntask_lease_ms: " << this->settings.task_lease_ms
                      << "\nkeep_ended_s: " << this->settings.keep_ended_s
                      << "\nlease_margin_ms: 200\npeers:\n"
                      << peers;
            this->write("scheduler-" + name + ".yaml", scheduler.str());
            std::ostringstream gateway;
            gateway << common.str()
                    << "http_address: " << this->ip(d + 1, e + 1) << ":"
                    << gateway_port << "\nscheduler_timeout_ms: "
                    << this->settings.peer_timeout_ms << "\nschedulers:\n"
                    << peers;
            this->write("gateway-" + name + ".yaml", gateway.str());
        }
    }
}

void cell::start_platform()
{
    std::vector<std::string> command{this->bin + "/toucan-standin", "platform",
        "--address", this->platform_address, "--instances",
        this->folder + "/instances.json", "--config", this->settings.config,
        "--preset", this->settings.preset, "--list-lag-ms",
        std::to_string(this->settings.list_lag_ms), "--writes-per-s",
        std::to_string(this->settings.writes_per_s), "--reads-per-s",
        std::to_string(this->settings.reads_per_s)};
    for (int d = 0; this->settings.relays && d < this->settings.domains; ++d)
    {
        command.push_back("--view");
        command.push_back(domain_name(d) + "=" + this->ip(0, 1) + ":" +
                          std::to_string(view_port + d));
    }
    this->child_processes.start("platform", command);
}

void cell::start_entry(int domain, int entry)
{
    std::string name = entry_name(domain, entry);
    for (std::string const program : {"scheduler", "gateway"})
    {
        std::string process = program + "-" + name;
        this->child_processes.start(
            process, {this->bin + "/toucan-" + program, "--settings",
                         this->folder + "/" + process + ".yaml"});
    }
    this->gateway_addresses.push_back(
        this->ip(domain + 1, entry + 1) + ":" + std::to_string(gateway_port));
    this->gateway_names.push_back("gateway-" + name);
}

void cell::start()
{
    this->write_settings();
    std::string standin = this->bin + "/toucan-standin";
    std::string list = this->folder + "/instances.json";
    this->start_platform();
    this->child_processes.start(
        "workers", {standin, "workers", "--address", this->workers_address,
                       "--instances", list});
    this->child_processes.start(
        "runners", {standin, "runners", "--address", this->runners_address,
                       "--instances", list});
    if (this->settings.relays)
    {
        this->write("relays.json", this->relays.dump());
        this->child_processes.start(
            "relay", {standin, "relay", "--address", this->relay_address,
                         "--instances", this->folder + "/relays.json"});
    }
    for (int d = 0; d < this->settings.domains; ++d)
    {
        for (int e = 0; e < this->settings.entries; ++e)
        {
            this->start_entry(d, e);
        }
    }
    for (std::string const& address : this->gateway_addresses)
    {
        if (!wait_ready(address, ready_timeout_ms))
        {
            throw std::runtime_error(
                "gateway " + address + " did not become ready in time");
        }
    }
}

std::string cell::gateway(std::string const& process) const
{
    for (std::size_t i = 0; i < this->gateway_names.size(); ++i)
    {
        if (this->gateway_names[i] == process)
        {
            return this->gateway_addresses[i];
        }
    }
    throw std::runtime_error("no such gateway: " + process);
}

bool cell::wait_ready(std::string const& address, int ms)
{
    auto until =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(ms);
    while (std::chrono::steady_clock::now() < until)
    {
        if (call("GET", "http://" + address + "/readyz", "", {}, 1000).status ==
            200)
        {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(poll_ms));
    }
    return false;
}

} // namespace scenario
