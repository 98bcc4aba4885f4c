/// Addresses on the loopback network for one run.
#pragma once

namespace scenario
{

/// The second number of addresses 127.N.x.y that no other run on this machine
/// uses until this process ends. Throws std::runtime_error when none is free.
int take_address_block();

} // namespace scenario
