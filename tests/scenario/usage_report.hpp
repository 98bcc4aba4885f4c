/// Prints the resource usage of a cell's processes.
#pragma once

#include "cell.hpp"

#include <chrono>
#include <map>
#include <string>

namespace scenario
{

/// Prints usage since the previous call.
class usage_report
{
public:
    void print_usage(cell& target);

    /// Prints the allocated percentage of the workers' capacity by dimension.
    static void print_packing(cell const& target);

private:
    void print_traffic(cell const& target, double span_s);

    // Values at the previous call: processor seconds by process, and counters
    // by scheduler and name.
    std::map<std::string, double> previous_cpu_s;
    std::map<std::string, double> previous_counters;
    std::chrono::steady_clock::time_point measured_since;
};

} // namespace scenario
