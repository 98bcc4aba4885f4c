#include "toucanlever/core/resources.hpp"

#include <algorithm>

namespace toucanlever
{

std::int64_t resources::at(std::size_t dimension) const
{
    switch (dimension)
    {
    case 0:
        return this->cpu_millis;
    case 1:
        return this->memory_bytes;
    default:
        return this->accelerators;
    }
}

bool resources::fits(resources const& need) const
{
    return need.cpu_millis <= this->cpu_millis &&
           need.memory_bytes <= this->memory_bytes &&
           need.accelerators <= this->accelerators;
}

resources& resources::operator+=(resources const& other)
{
    this->cpu_millis += other.cpu_millis;
    this->memory_bytes += other.memory_bytes;
    this->accelerators += other.accelerators;
    return *this;
}

resources& resources::operator-=(resources const& other)
{
    this->cpu_millis -= other.cpu_millis;
    this->memory_bytes -= other.memory_bytes;
    this->accelerators -= other.accelerators;
    return *this;
}

resources operator+(resources left, resources const& right)
{
    left += right;
    return left;
}

resources operator-(resources left, resources const& right)
{
    left -= right;
    return left;
}

resources missing_of(resources const& need, resources const& free)
{
    auto lack = [](std::int64_t wanted, std::int64_t have)
    { return std::max<std::int64_t>(0, wanted - have); };
    return {lack(need.cpu_millis, free.cpu_millis),
        lack(need.memory_bytes, free.memory_bytes),
        lack(need.accelerators, free.accelerators)};
}

std::string_view dimension_name(std::size_t dimension)
{
    static constexpr std::array<std::string_view, resources::dimensions> names{
        "cpu", "memory", "accelerators"};
    return names.at(dimension);
}

} // namespace toucanlever
