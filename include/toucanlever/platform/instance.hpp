/// Instances as the platform lists them. The list may be stale: it serves
/// discovery, and no safety decision may depend on it.
#pragma once

#include "toucanlever/core/enum_names.hpp"
#include "toucanlever/core/resources.hpp"

#include <msgpack.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace toucanlever
{

/// The role of an instance.
enum class instance_role : std::uint8_t
{
    entry,
    worker,
    runner,
    /// A role unknown to this version: nothing is sent to such an instance.
    other
};

template <>
struct enum_table<instance_role>
{
    static constexpr std::array rows{
        enum_name<instance_role>{instance_role::entry, "entry"},
        enum_name<instance_role>{instance_role::worker, "worker"},
        enum_name<instance_role>{instance_role::runner, "runner"},
        enum_name<instance_role>{instance_role::other, "other"}};
};

/// One row of the platform's list.
struct instance
{
    std::string id;
    instance_role role = instance_role::worker;
    std::string domain;
    std::string rack;
    /// Of workers and runners: the base URL. Of entries: IP:PORT of the
    /// scheduler.
    std::string address;
    bool leaving = false;
    /// Runners only.
    std::string service;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    /// Workers only.
    resources capacity;

    bool operator==(instance const&) const = default;

    MSGPACK_DEFINE(id, role, domain, rack, address, leaving, service, slots,
        connections, capacity)
};

inline void to_json(nlohmann::json& json, instance_role value)
{
    json = std::string(name_of(value));
}

inline void from_json(nlohmann::json const& json, instance_role& value)
{
    value = parse_enum<instance_role>(json.get<std::string>())
                .value_or(instance_role::other);
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(instance, id, role, domain,
    rack, address, leaving, service, slots, connections, capacity)

} // namespace toucanlever

MSGPACK_ADD_ENUM(toucanlever::instance_role)
