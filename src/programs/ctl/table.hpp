/// Plain tables of JSON objects for the terminal.
#pragma once

#include <nlohmann/json.hpp>
#include <ostream>

namespace toucanlever
{

/// Prints an object as "key value" lines and a list of objects as a table
/// whose columns are the keys of the first one.
void print_table(std::ostream& out, nlohmann::json const& value);

} // namespace toucanlever
