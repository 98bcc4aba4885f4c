/// Resource amounts of workers and tasks, as integers.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <msgpack.hpp>
#include <nlohmann/json.hpp>
#include <string_view>

namespace toucanlever
{

/// CPU in thousandths of a core, memory in bytes, whole accelerators.
struct resources
{
    std::int64_t cpu_millis = 0;
    std::int64_t memory_bytes = 0;
    std::int64_t accelerators = 0;

    static constexpr std::size_t dimensions = 3;

    std::int64_t at(std::size_t dimension) const;

    /// True when these resources cover `need` in every dimension.
    bool fits(resources const& need) const;

    resources& operator+=(resources const& other);
    resources& operator-=(resources const& other);
    bool operator==(resources const&) const = default;

    MSGPACK_DEFINE(cpu_millis, memory_bytes, accelerators)
};

resources operator+(resources left, resources const& right);
resources operator-(resources left, resources const& right);

/// The shortfall of `free` against `need`, per dimension; never below zero.
resources missing_of(resources const& need, resources const& free);

/// Name of a dimension as it appears in errors and logs.
std::string_view dimension_name(std::size_t dimension);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    resources, cpu_millis, memory_bytes, accelerators)

} // namespace toucanlever
