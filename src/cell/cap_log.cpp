#include "toucanlever/cell/cap_log.hpp"

#include "toucanlever/core/log.hpp"
#include "toucanlever/core/metrics.hpp"

namespace toucanlever
{
namespace
{

constexpr milliseconds line_period{1000};

} // namespace

void cap_log::note_limited(std::string const& customer, std::int64_t used_cpu,
    std::int64_t cap_cpu, time_point now)
{
    ++this->steps;
    auto [place, inserted] = this->limited.try_emplace(customer);
    place->second = {used_cpu, cap_cpu, now};
    if (inserted)
    {
        log_line("customer-at-cap")
            .with("customer", customer)
            .with("used_cpu", used_cpu)
            .with("cap_cpu", cap_cpu);
    }
}

void cap_log::end_pass(time_point now)
{
    if (this->steps != this->steps_before)
    {
        metrics().set("steps_over_cap", this->steps);
    }
    this->steps_before = this->steps;
    this->steps = 0;
    std::erase_if(this->limited,
        [now](auto const& each)
        {
            auto const& [name, customer] = each;
            if (now - customer.last_limited_at < line_period)
            {
                return false;
            }
            log_line("customer-below-cap")
                .with("customer", name)
                .with("used_cpu", customer.used_cpu)
                .with("cap_cpu", customer.cap_cpu);
            return true;
        });
}

} // namespace toucanlever
