#include "toucanlever/cell/customer_cap.hpp"

#include <algorithm>

namespace toucanlever
{

bool limits_use(resources const& cap)
{
    return cap.cpu_millis > 0 || cap.memory_bytes > 0 || cap.accelerators > 0;
}

resources const& cap_in_force(
    customer_terms const& accepted, queue_directory const& queues)
{
    customer_terms const* configured = queues.customer_of(accepted.name);
    return configured != nullptr ? configured->cap : accepted.cap;
}

std::uint32_t tasks_within_cap(resources const& cap, resources const& used,
    resources const& need, std::uint32_t waiting, bool start_together)
{
    std::int64_t tasks = waiting;
    for (std::size_t i = 0; i < resources::dimensions; ++i)
    {
        if (cap.at(i) > 0 && need.at(i) > 0)
        {
            std::int64_t room =
                std::max<std::int64_t>(cap.at(i) - used.at(i), 0);
            tasks = std::min(tasks, room / need.at(i));
        }
    }
    if (start_together && tasks < waiting)
    {
        return 0;
    }
    return static_cast<std::uint32_t>(tasks);
}

std::optional<std::string> cap_violation(work_record const& job)
{
    resources const& cap = job.customer.cap;
    if (job.customer.name.empty() || !limits_use(cap))
    {
        return std::nullopt;
    }
    for (std::size_t number = 0; number < job.steps.size(); ++number)
    {
        work_step const& step = job.steps[number];
        std::uint32_t const together = step.gang ? step.tasks : 1;
        for (std::size_t i = 0; i < resources::dimensions; ++i)
        {
            // Divides, because the product may overflow.
            bool exceeds = cap.at(i) > 0 && step.need.at(i) > 0 &&
                           cap.at(i) / step.need.at(i) < together;
            if (exceeds)
            {
                return "step " + std::to_string(number) + " starts " +
                       std::to_string(together) +
                       (together == 1 ? " task" : " tasks") +
                       " at once, which need more " +
                       std::string(dimension_name(i)) +
                       " than the customer's cap of " +
                       std::to_string(cap.at(i));
            }
        }
    }
    return std::nullopt;
}

} // namespace toucanlever
