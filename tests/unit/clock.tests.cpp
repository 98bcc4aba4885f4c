#include "toucanlever/core/clock.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#include <ctime>

using namespace toucanlever;

namespace
{

microseconds time_since_boot()
{
    timespec read{};
    clock_gettime(CLOCK_BOOTTIME, &read);
    return std::chrono::duration_cast<microseconds>(
        std::chrono::seconds(read.tv_sec) +
        std::chrono::nanoseconds(read.tv_nsec));
}

} // namespace

// Guards against a leader that was suspended and takes its lease for valid.
Test(clock, the_steady_clock_counts_the_time_of_a_suspension)
{
    steady_clock const subject;
    microseconds const before = time_since_boot();
    microseconds const read = subject.now().time_since_epoch();
    cr_assert(before <= read);
    cr_assert(read <= time_since_boot());
}
