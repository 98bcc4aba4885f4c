#include "toucanlever/control/preemptible_jobs.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

running_job make_running(std::string const& id, std::int64_t cpu)
{
    return {id, "c", {cpu, 1, 0}, 0};
}

} // namespace

Test(preemptible_jobs, names_the_youngest_that_suffice_and_each_only_once)
{
    preemptible_jobs jobs;
    jobs.add("w1", make_running("old", 1000));
    jobs.add("w1", make_running("middle", 1000));
    jobs.add("w1", make_running("young", 1000));
    jobs.add("w2", make_running("elsewhere", 1000));

    auto first = jobs.choose_victims("w1", {1500, 0, 0});
    cr_assert(eq(sz, first.size(), 2));
    cr_assert(eq(str, first[0], "young"));
    cr_assert(eq(str, first[1], "middle"));

    // A repeated request before the chosen jobs have stopped.
    cr_assert(jobs.choose_victims("w1", {1500, 0, 0}).empty());

    jobs.remove("young");
    jobs.remove("middle");
    cr_assert(eq(str, jobs.choose_victims("w1", {500, 0, 0}).front(), "old"));
}

Test(preemptible_jobs, reports_only_jobs_on_workers_of_other_schedulers)
{
    preemptible_jobs jobs;
    jobs.add("w1", make_running("here", 1000));
    jobs.add("w2", make_running("one", 1000));
    jobs.add("w2", make_running("two", 500));
    cell_view cell;
    cell.add("w1", "a", "r", {8000, 8, 0}, {8000, 8, 0});

    auto lent = jobs.capacity_elsewhere(cell);

    cr_assert(eq(sz, lent.size(), 1));
    cr_assert(eq(str, lent[0].worker, "w2"));
    resources const expected{1500, 2, 0};
    cr_assert(lent[0].preemptible == expected);
}

Test(preemptible_jobs, names_a_bounded_number_of_workers)
{
    preemptible_jobs jobs;
    for (int i = 0; i < 1000; ++i)
    {
        std::string name = std::to_string(i);
        jobs.add("w" + name, make_running("j" + name, 1000));
    }

    // As many as a heartbeat carries.
    cr_assert(eq(sz, jobs.capacity_elsewhere(cell_view{}).size(), 64));
}
