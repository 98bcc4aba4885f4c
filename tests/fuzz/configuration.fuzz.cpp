/// Feeds arbitrary bytes to the reader of the operator's configuration. The
/// customers that it accepts must be distinguishable by name and by key, and
/// their entitlements safe to compute with.
#include "decode.hpp"

#include "toucanlever/core/error.hpp"

#include <cstddef>
#include <cstdint>
#include <set>

using namespace toucanlever;

namespace
{

bool is_safe(customer_terms const& terms)
{
    bool safe = !terms.name.empty() && terms.weight >= 0;
    for (std::size_t i = 0; i < resources::dimensions; ++i)
    {
        // A cap is compared with tenths added.
        std::int64_t product = 0;
        safe = safe && terms.cap.at(i) >= 0 &&
               !__builtin_mul_overflow(terms.cap.at(i), 11, &product);
    }
    return safe;
}

bool are_safe(cell_configuration const& configuration)
{
    std::set<std::string> names;
    std::set<std::string> keys;
    for (customer const& each : configuration.customers)
    {
        bool safe = is_safe(each.terms) && names.insert(each.terms.name).second;
        for (std::string const& key : each.keys)
        {
            safe = safe && !key.empty() && keys.insert(key).second;
        }
        if (!safe)
        {
            return false;
        }
    }
    return configuration.version > 0 &&
           (configuration.requires_keys || configuration.customers.empty());
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(
    std::uint8_t const* data, std::size_t size)
{
    std::string body(reinterpret_cast<char const*>(data), size);
    try
    {
        auto configuration = strekbod::decode_configuration(body);
        if (configuration && !are_safe(*configuration))
        {
            __builtin_trap();
        }
    }
    catch (error const&)
    {
        // Expected for invalid customers.
    }
    return 0;
}
