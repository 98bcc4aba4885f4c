/// Optional keys of a scenario's mappings.
#pragma once

#include <yaml-cpp/yaml.h>

namespace scenario
{

/// The value under `key`, or `fallback` when there is none.
template <typename Value>
Value get(YAML::Node const& node, char const* key, Value fallback)
{
    return node[key] ? node[key].as<Value>() : fallback;
}

} // namespace scenario
