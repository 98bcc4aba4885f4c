/// The verbs of toucanctl.
#pragma once

#include "programs/ctl/api_client.hpp"

#include <string>
#include <vector>

namespace toucanlever
{

/// Input of a verb.
struct verb_input
{
    api_target target;
    bool json_output = false;
    /// Words after the verb, options included.
    std::vector<std::string> words;
};

/// A verb with its help line.
struct verb
{
    std::string name;
    std::string help;
    ctl_exit (*run)(verb_input const& input);
};

/// All verbs in the order of the help text.
std::vector<verb> const& all_verbs();

} // namespace toucanlever
