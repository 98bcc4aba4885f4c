#include "toucanlever/core/event_loop.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

Test(event_loop, a_due_timer_fires_however_slow_the_iterations_are)
{
    manual_clock time;
    event_loop loop(time);
    constexpr int repeats = 1000;
    int fired = 0;
    for (int i = 0; i < repeats; ++i)
    {
        loop.after(milliseconds(1), [&fired] { ++fired; });
        time.advance(milliseconds(1));
        loop.run_ready();
    }
    cr_assert(fired == repeats);
}
