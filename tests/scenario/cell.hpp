/// The cell of a scenario: layout, settings files and processes.
#pragma once

#include "http.hpp"
#include "process.hpp"

#include <string>
#include <vector>

namespace scenario
{

/// Options of the `cell` mapping of a scenario.
struct cell_options
{
    int domains = 3;
    /// Entry instances per failure domain; each is a scheduler and a gateway.
    int entries = 2;
    int workers = 12;
    int rack_size = 4;
    int runners = 6;
    int slots = 8;
    int connections = 64;
    std::int64_t cpu_millis = 32000;
    std::int64_t memory_bytes = std::int64_t(128) << 30;
    std::int64_t accelerators = 0;
    int list_lag_ms = 0;
    int writes_per_s = 400;
    int reads_per_s = 2000;
    int task_lease_ms = 6000;
    int keep_ended_s = 3600;
    int control_lease_ms = 1500;
    int peer_timeout_ms = 1200;
    int heartbeat_ms = 200;
    std::string service = "booking";
    /// Routes all traffic between failure domains, and all calls to the
    /// platform, workers and runners, through relays.
    bool relays = false;
    std::string preset = "ordinary";
    std::string config;
};

/// One running cell.
class cell
{
public:
    cell(cell_options options, std::string folder, std::string bin,
        int address_block);

    /// Starts all processes and waits until every gateway is ready. Throws
    /// std::runtime_error when one is not ready in time.
    void start();

    std::string const& platform() const { return this->platform_address; }
    std::string const& workers() const { return this->workers_address; }
    std::string const& relay() const { return this->relay_address; }
    std::string const& runners() const { return this->runners_address; }
    std::vector<std::string> const& gateways() const
    {
        return this->gateway_addresses;
    }
    /// Address of the gateway with this process name; throws when unknown.
    std::string gateway(std::string const& process) const;
    process_table& processes() { return this->child_processes; }
    cell_options const& options() const { return this->settings; }

    /// Waits until a gateway answers 200 on /readyz; false after `ms`.
    static bool wait_ready(std::string const& address, int ms);

private:
    /// The address 127.<address_block>.<third>.<fourth>.
    std::string ip(int third, int fourth) const;
    json instances() const;
    json add_relay_addresses(json instance);
    std::string add_relay(std::string const& name, std::string const& listen,
        std::string const& target);
    void write(std::string const& name, std::string const& text) const;
    void write_settings();
    void start_platform();
    void start_entry(int domain, int entry);

    cell_options settings;
    std::string folder;
    std::string bin;
    int address_block;
    process_table child_processes;
    std::string platform_address;
    std::string workers_address;
    std::string runners_address;
    std::string relay_address;
    json relays = json::array();
    std::vector<std::string> gateway_addresses;
    std::vector<std::string> gateway_names;
};

/// Name of the failure domain with this index: "a", "b" and so on.
std::string domain_name(int index);

} // namespace scenario
