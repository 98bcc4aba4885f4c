/// Feeds arbitrary bytes to the parser of submitted jobs. Every job that it
/// accepts must survive a round trip through a journal entry.
#include "toucanlever/control/journal.hpp"
#include "toucanlever/core/error.hpp"

#include <cstddef>
#include <cstdint>

using namespace toucanlever;

extern "C" int LLVMFuzzerTestOneInput(
    std::uint8_t const* data, std::size_t size)
{
    std::string body(reinterpret_cast<char const*>(data), size);
    try
    {
        journal_entry entry;
        entry.spec = parse_job_spec(body);
        std::string text = nlohmann::json(entry).dump();
        auto again = nlohmann::json::parse(text).get<journal_entry>();
        bool same = again.spec.input == entry.spec.input &&
                    again.spec.need == entry.spec.need &&
                    again.spec.tasks == entry.spec.tasks;
        if (!same)
        {
            __builtin_trap();
        }
    }
    catch (error const&)
    {
        // Expected for malformed input.
    }
    return 0;
}
