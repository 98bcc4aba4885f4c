#include "toucanlever/core/pause_aware_clock.hpp"

namespace toucanlever
{

pause_aware_clock::pause_aware_clock(
    clock const& time, milliseconds longest_gap)
    : time(time)
    , max_gap(longest_gap)
    , last_read(time.now())
{
}

time_point pause_aware_clock::now() const
{
    auto fresh = this->time.now();
    auto gap = fresh - this->last_read;
    if (gap > this->max_gap)
    {
        this->paused += gap;
    }
    this->last_read = fresh;
    return fresh - this->paused;
}

} // namespace toucanlever
