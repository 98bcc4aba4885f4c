/// Loopback addresses that only this test process uses, so that tests and
/// scenario runs can run in parallel on one machine.
#pragma once

#include "../scenario/address_block.hpp"

#include <string>

/// The address 127.N.1.LAST, where N is this process's address block.
inline std::string own_ip(int last)
{
    static int const block = scenario::reserve_address_block();
    return "127." + std::to_string(block) + ".1." + std::to_string(last);
}
