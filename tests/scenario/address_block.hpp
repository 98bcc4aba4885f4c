/// Reserves loopback addresses for one test run.
#pragma once

namespace scenario
{

/// Reserves the block 127.N.0.0/16 for this process and returns N. The block is
/// released when the process ends. Throws std::runtime_error when no block is
/// free.
int reserve_address_block();

} // namespace scenario
