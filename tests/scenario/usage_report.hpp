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
    void show(cell& target);

    /// How much of the workers is given, by dimension.
    static void show_packing(cell const& target);

private:
    void show_traffic(cell const& target, double span_s);

    // Processor seconds by process, bytes by scheduler and counter.
    std::map<std::string, double> used_before;
    std::map<std::string, double> traffic_before;
    std::chrono::steady_clock::time_point usage_since;
};

} // namespace scenario
