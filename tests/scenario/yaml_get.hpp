/// Reads optional keys of YAML mappings.
#pragma once

#include <yaml-cpp/yaml.h>

namespace scenario
{

/// The value of `key`, or `fallback` when the key is missing.
template <typename Value>
Value get(YAML::Node const& node, char const* key, Value fallback)
{
    return node[key] ? node[key].as<Value>() : fallback;
}

} // namespace scenario
