/// What the processes of a cell use, for people to read.
#pragma once

#include "cell.hpp"

#include <chrono>
#include <map>
#include <string>

namespace scenario
{

/// Prints what was used since it last did.
class usage_report
{
public:
    void print_usage(cell& target);

    /// How much of the workers is given, by dimension.
    static void print_packing(cell const& target);

private:
    void print_traffic(cell const& target, double span_s);

    // Processor seconds by process, bytes by scheduler and counter.
    std::map<std::string, double> previous_cpu_s;
    std::map<std::string, double> previous_counters;
    std::chrono::steady_clock::time_point measured_since;
};

} // namespace scenario
