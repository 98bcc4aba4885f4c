#include "toucanlever/core/event_loop.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#include <csignal>

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

// A timer that has fired keeps its id in the object that set it.
Test(event_loop, cancelling_a_timer_that_has_fired_cancels_no_later_one)
{
    manual_clock time;
    event_loop loop(time);
    event_loop::timer_id fired = loop.after(milliseconds(1), [] {});
    time.advance(milliseconds(1));
    loop.run_ready();
    // Enough for the reactor to reuse each of its ids many times.
    constexpr int later_timers = 5000;
    int called = 0;
    for (int i = 0; i < later_timers && called == i; ++i)
    {
        loop.after(milliseconds(1), [&called] { ++called; });
        loop.cancel(fired);
        time.advance(milliseconds(1));
        loop.run_ready();
    }
    cr_assert(called == later_timers);
}

// Guards against a process that is ended by a notice of changed settings which
// arrives while it starts.
Test(event_loop, a_reload_signal_before_the_loop_runs_is_ignored)
{
    steady_clock time;
    event_loop loop(time);
    int reloads = 0;
    loop.on_reload_signal([&reloads] { ++reloads; });
    std::raise(SIGHUP);
    cr_assert(reloads == 0);
    loop.after(milliseconds(1), [] { std::raise(SIGHUP); });
    loop.after(milliseconds(300), [&loop] { loop.stop(); });
    loop.run();
    cr_assert(reloads == 1);
}
