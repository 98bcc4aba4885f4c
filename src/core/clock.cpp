#include "toucanlever/core/clock.hpp"

#include <ctime>

namespace toucanlever
{

time_point steady_clock::now() const
{
    timespec read{};
    ::clock_gettime(CLOCK_BOOTTIME, &read);
    return time_point(std::chrono::duration_cast<microseconds>(
        std::chrono::seconds(read.tv_sec) +
        std::chrono::nanoseconds(read.tv_nsec)));
}

std::int64_t wall_time_ms()
{
    auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(since).count();
}

} // namespace toucanlever
