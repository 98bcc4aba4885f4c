#include "toucanlever/core/clock.hpp"

namespace toucanlever
{

time_point steady_clock::now() const
{
    return std::chrono::time_point_cast<microseconds>(
        std::chrono::steady_clock::now());
}

std::int64_t wall_time_ms()
{
    auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(since).count();
}

} // namespace toucanlever
