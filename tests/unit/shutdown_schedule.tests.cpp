/// How a process uses the time between SIGTERM and SIGKILL.
#include "shutdown_schedule.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;
using namespace toucanlever::strekbod;

// Guards against a process that ends as soon as it is told to stop where the
// grace period is short, and against one that is killed while it answers.
Test(shutdown_schedule, a_process_serves_for_at_least_half_of_its_grace_period)
{
    for (int grace_ms : {1, 100, 500, 700, 1000, 1400, 3000, 6000, 6500, 60000})
    {
        milliseconds const grace{grace_ms};
        shutdown_schedule const schedule = make_shutdown_schedule(grace);
        cr_assert(schedule.latest_end * 2 >= grace);
        milliseconds const left = grace - schedule.latest_end;
        cr_assert(
            left * 2 >= std::min(grace, milliseconds(1399)) - milliseconds(1));
        cr_assert(left <= milliseconds(700));
    }
}
