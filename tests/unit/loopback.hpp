/// Addresses of a test's own, so that tests and whole runs can go side by
/// side on one machine.
#pragma once

#include "../scenario/address_block.hpp"

#include <string>

/// The address 127.N.1.LAST of this process's block.
inline std::string own_ip(int last)
{
    static int const block = scenario::take_address_block();
    return "127." + std::to_string(block) + ".1." + std::to_string(last);
}
