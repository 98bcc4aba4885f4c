#include "toucanlever/policy/placement_policy.hpp"

namespace toucanlever
{

resources queued_job::total_need() const
{
    resources sum{};
    for (std::uint32_t i = 0; i < this->tasks; ++i)
    {
        sum += this->need;
    }
    return sum;
}

} // namespace toucanlever
