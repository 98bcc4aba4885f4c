/// A steady clock that excludes pauses of this process.
#pragma once

#include "toucanlever/core/clock.hpp"

namespace toucanlever
{

/// Measures how long peers have been unresponsive. Excludes the time during
/// which this process was paused: peers may have sent messages then, so that
/// time is no evidence against them. Must be read at least once per
/// `longest_gap`.
class pause_aware_clock final : public clock
{
public:
    /// A longer interval between two readings counts as a pause.
    pause_aware_clock(clock const& time, milliseconds longest_gap);

    time_point now() const override;

private:
    clock const& time;
    milliseconds max_gap;
    // Mutable because a reading detects pauses.
    mutable time_point last_read;
    mutable microseconds paused{0};
};

} // namespace toucanlever
