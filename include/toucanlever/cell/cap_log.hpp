/// Log lines and metric of the customers whose steps wait for their cap.
#pragma once

#include "toucanlever/core/clock.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace toucanlever
{

/// Written by the planner of one leader term. A customer is at its cap until no
/// step of it was limited for a second: this bounds the lines to one of each
/// kind per second and customer.
class cap_log
{
public:
    /// Notes that a pass limited a step of the customer. Amounts in thousandths
    /// of a core.
    void note_limited(std::string const& customer, std::int64_t used_cpu,
        std::int64_t cap_cpu, time_point now);

    /// Ends a planning pass.
    void end_pass(time_point now);

    std::size_t customers_at_cap() const { return this->limited.size(); }

private:
    struct limited_customer
    {
        std::int64_t used_cpu = 0;
        std::int64_t cap_cpu = 0;
        time_point last_limited_at{};
    };

    // By name; the customers at their cap.
    std::map<std::string, limited_customer> limited;
    // Steps that this pass limited, and that the last one did.
    std::int64_t steps = 0;
    std::int64_t steps_before = 0;
};

} // namespace toucanlever
