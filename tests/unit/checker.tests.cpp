#include "../scenario/checker.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace scenario;

namespace
{

json task_event(
    std::string const& worker, std::string const& task, std::string const& what)
{
    json need{{"cpu_millis", 1000}, {"memory_bytes", 1}, {"accelerators", 0}};
    json capacity{
        {"cpu_millis", 2000}, {"memory_bytes", 4}, {"accelerators", 0}};
    return {{"worker", worker}, {"task", task}, {"job", "j"}, {"index", 0},
        {"event", what}, {"need", need}, {"capacity", capacity}, {"mark", "m"}};
}

json worker_event(std::string const& worker, std::string const& what)
{
    return {{"worker", worker}, {"event", what}};
}

std::vector<violation> check_events(json const& events)
{
    observations all;
    all.workers["events"] = events;
    all.runners["requests"] = json::array();
    return check(all);
}

} // namespace

Test(checker, finds_a_task_that_runs_in_two_places)
{
    auto found = check_events(
        {task_event("w1", "t1", "start"), task_event("w2", "t2", "start")});

    cr_assert(eq(sz, found.size(), 1));
    cr_assert(found.front().invariant == "one-place");
}

Test(checker, allows_a_start_elsewhere_while_the_first_worker_is_frozen)
{
    auto found = check_events({task_event("w1", "t1", "start"),
        worker_event("w1", "frozen"), task_event("w2", "t2", "start"),
        task_event("w1", "t1", "lapsed"), worker_event("w1", "thawed")});

    cr_assert(found.empty());
}

Test(checker, finds_a_task_that_resumes_when_its_worker_is_thawed)
{
    auto found = check_events(
        {task_event("w1", "t1", "start"), worker_event("w1", "frozen"),
            task_event("w2", "t2", "start"), worker_event("w1", "thawed")});

    cr_assert(eq(sz, found.size(), 1));
    cr_assert(found.front().invariant == "one-place");
}

Test(checker, counts_tasks_of_a_frozen_worker_against_its_capacity)
{
    json second = task_event("w1", "t2", "start");
    second["job"] = "k";
    json third = task_event("w1", "t3", "start");
    third["job"] = "l";

    auto found = check_events({task_event("w1", "t1", "start"), second,
        worker_event("w1", "frozen"), third});

    cr_assert(eq(sz, found.size(), 1));
    cr_assert(found.front().invariant == "capacity");
}

Test(checker, finds_a_job_that_starts_over_after_a_checkpoint)
{
    json begun = task_event("w1", "t1", "start");
    json stopped = task_event("w1", "t1", "stopped");
    stopped["made_ms"] = 700;
    json kept = task_event("w1", "t1", "kept");
    kept["ran_ms"] = 700;
    json again = task_event("w2", "t2", "start");
    again["from_ms"] = 700;
    cr_assert(check_events({begun, stopped, kept, again}).empty());

    again["from_ms"] = 0;
    auto found = check_events({begun, stopped, kept, again});

    cr_assert(eq(sz, found.size(), 1));
    cr_assert(found.front().invariant == "kept-work");
}

Test(checker, allows_a_checkpoint_whose_acknowledgement_is_in_flight)
{
    json first = task_event("w1", "t1", "stopped");
    first["made_ms"] = 20;
    json kept = task_event("w1", "t1", "kept");
    kept["ran_ms"] = 20;
    json second = task_event("w1", "t2", "start");
    second["from_ms"] = 20;
    json stopped = task_event("w1", "t2", "stopped");
    stopped["made_ms"] = 58;
    json again = task_event("w2", "t3", "start");
    again["from_ms"] = 58;

    cr_assert(check_events(
        {task_event("w1", "t1", "start"), first, kept, second, stopped, again})
                  .empty());
}

Test(checker, finds_a_job_that_resumes_from_a_checkpoint_that_was_not_made)
{
    json again = task_event("w2", "t2", "start");
    again["from_ms"] = 700;

    auto found = check_events(json::array({again}));

    cr_assert(eq(sz, found.size(), 1));
    cr_assert(found.front().invariant == "kept-work");
}
