#include "toucanlever/core/listening_clock.hpp"

namespace toucanlever
{

listening_clock::listening_clock(clock const& time, milliseconds longest_gap)
    : time(time)
    , longest_gap(longest_gap)
    , last_read(time.now())
{
}

time_point listening_clock::now() const
{
    auto current = this->time.now();
    auto gap = current - this->last_read;
    if (gap > this->longest_gap)
    {
        this->paused += gap;
    }
    this->last_read = current;
    return current - this->paused;
}

} // namespace toucanlever
