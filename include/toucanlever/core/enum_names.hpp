/// Names of enumerators. Each `enum class` that is written as text outside the
/// process has one table, which serves both directions of the conversion.
#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace toucanlever
{

/// One row of a table of names.
template <typename Enum>
struct enum_name
{
    Enum value;
    std::string_view name;
};

/// Specialised for each named enumeration, with a `static constexpr
/// std::array` named `rows`.
template <typename Enum>
struct enum_table;

/// The name of a value; "?" for a value outside the table.
template <typename Enum>
constexpr std::string_view name_of(Enum value)
{
    for (auto const& row : enum_table<Enum>::rows)
    {
        if (row.value == value)
        {
            return row.name;
        }
    }
    return "?";
}

/// The value with that name; `std::nullopt` for an unknown name.
template <typename Enum>
constexpr std::optional<Enum> parse_enum(std::string_view name)
{
    for (auto const& row : enum_table<Enum>::rows)
    {
        if (row.name == name)
        {
            return row.value;
        }
    }
    return std::nullopt;
}

} // namespace toucanlever
