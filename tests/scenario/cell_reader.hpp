/// Reads the `cell` mapping of a scenario.
#pragma once

#include "cell.hpp"

#include <string>
#include <yaml-cpp/yaml.h>

namespace scenario
{

/// Reads the options. `folder` contains the scenario file; the path of the
/// configuration is relative to it.
cell_options read_cell(YAML::Node const& node, std::string const& folder);

} // namespace scenario
