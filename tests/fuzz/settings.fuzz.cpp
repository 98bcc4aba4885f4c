/// Feeds arbitrary text to the parsers of settings and of the cell
/// configuration. They may throw `settings_error` and nothing else.
#include "toucanlever/control/cell_config.hpp"
#include "toucanlever/core/settings_file.hpp"

#include <cstddef>
#include <cstdint>

using namespace toucanlever;

extern "C" int LLVMFuzzerTestOneInput(
    std::uint8_t const* data, std::size_t size)
{
    std::string text(reinterpret_cast<char const*>(data), size);
    try
    {
        parse_cell_config(text, "fuzz");
    }
    catch (settings_error const&)
    {
        // Expected for malformed input.
    }
    return 0;
}
