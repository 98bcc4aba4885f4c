#include "usage_report.hpp"

#include "callers.hpp"

#include <fstream>
#include <iostream>
#include <unistd.h>

namespace scenario
{

/// Prints the processor share since the previous call, and resident memory.
void usage_report::print_usage(cell& target)
{
    double ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
    auto now = std::chrono::steady_clock::now();
    std::chrono::duration<double> span = now - this->measured_since;
    for (std::string const& name : target.processes().names())
    {
        if (!target.processes().is_running(name))
        {
            continue;
        }
        std::string folder =
            "/proc/" + std::to_string(target.processes().pid(name));
        std::ifstream stat(folder + "/stat");
        std::vector<std::string> fields;
        for (std::string field; stat >> field;)
        {
            fields.push_back(field);
        }
        // proc(5): 13 is utime and 14 stime in ticks, 23 is rss in pages.
        double cpu_s = (std::stod(fields[13]) + std::stod(fields[14])) / ticks;
        double resident_mb = std::stod(fields[23]) *
                             static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
        double share = (cpu_s - this->previous_cpu_s[name]) / span.count();
        std::cout << "usage process=" << name
                  << " core_percent=" << 100.0 * share
                  << " resident_mb=" << resident_mb << std::endl;
        this->previous_cpu_s[name] = cpu_s;
    }
    this->print_traffic(target, span.count());
    json stats = call(
        "GET", "http://" + target.platform() + "/admin/stats", "", {}, 10000)
                     .json_body();
    std::cout << "usage platform " << stats.dump() << " span_s=" << span.count()
              << std::endl;
    this->measured_since = now;
}

/// Prints the bytes per second that each scheduler sent and received since the
/// previous call, from its own counters: HTTP to workers and platform, links to
/// gateways and schedulers.
void usage_report::print_traffic(cell const& target, double span_s)
{
    json items = call("GET",
        "http://" + target.gateways().front() + "/v1/operator/metrics", "",
        {{"Authorization", std::string("Bearer ") + operator_token}}, 5000)
                     .json_body()
                     .value("items", json::array());
    for (json const& item : items)
    {
        std::string name = item["name"];
        std::string text = item["text"];
        std::cout << "traffic scheduler=" << name;
        for (std::string counter :
            {"http_calls", "http_bytes_sent", "http_bytes_received",
                "link_bytes_sent", "link_bytes_received"})
        {
            std::string line = "toucanlever_" + counter + " ";
            auto at = text.find(line);
            double total = at == std::string::npos
                               ? 0.0
                               : std::atof(text.c_str() + at + line.size());
            double& before = this->previous_counters[name + counter];
            std::cout << " " << counter
                      << "_per_s=" << (total - before) / span_s;
            before = total;
        }
        std::cout << std::endl;
    }
}

void usage_report::print_packing(cell const& target)
{
    json items = call("GET",
        "http://" + target.gateways().front() + "/v1/operator/workers", "",
        {{"Authorization", std::string("Bearer ") + operator_token}}, 5000)
                     .json_body()
                     .value("items", json::array());
    for (char const* dimension : {"cpu_millis", "memory_bytes", "accelerators"})
    {
        double capacity = 0.0;
        double free = 0.0;
        for (json const& worker : items)
        {
            capacity += worker["capacity"][dimension].get<double>();
            free += worker["free"][dimension].get<double>();
        }
        double allocated_percent =
            capacity > 0.0 ? 100.0 * (capacity - free) / capacity : 0.0;
        std::cout << "packing dimension=" << dimension
                  << " workers=" << items.size()
                  << " given_percent=" << allocated_percent << std::endl;
    }
}

} // namespace scenario
