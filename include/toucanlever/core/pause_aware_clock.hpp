/// Time during which this process could hear others.
#pragma once

#include "toucanlever/core/clock.hpp"

namespace toucanlever
{

/// Leaves out what passed while the process stood still: others may have
/// spoken then, so their silence means nothing. Must be read more often than
/// every `longest_gap`.
class pause_aware_clock final : public clock
{
public:
    /// A longer time between two readings is a pause and does not count.
    pause_aware_clock(clock const& time, milliseconds longest_gap);

    time_point now() const override;

private:
    clock const& time;
    milliseconds max_gap;
    // Reading is what notices a pause.
    mutable time_point last_read;
    mutable microseconds paused{0};
};

} // namespace toucanlever
