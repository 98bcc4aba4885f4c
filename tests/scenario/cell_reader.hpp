/// Reads the `cell` mapping of a scenario.
#pragma once

#include "cell.hpp"

#include <string>
#include <yaml-cpp/yaml.h>

namespace scenario
{

/// `folder` is where the scenario stands: its configuration is named from
/// there.
cell_options read_cell(YAML::Node const& node, std::string const& folder);

} // namespace scenario
