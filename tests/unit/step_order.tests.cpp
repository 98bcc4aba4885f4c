/// Tests the order of waiting steps, alone and under overload.
#include "toucanlever/cell/step_order.hpp"

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <deque>

using namespace toucanlever;

namespace
{

constexpr std::size_t no_limit = 1000;

step_rank make_rank(std::string const& job, std::int64_t priority,
    std::int64_t latest_start_ms, std::int64_t useless_start_ms)
{
    return {priority, latest_start_ms, {job, 0, 0}, useless_start_ms};
}

std::vector<std::string> names_of(std::vector<step_rank> const& ranks)
{
    std::vector<std::string> names;
    for (step_rank const& rank : ranks)
    {
        names.push_back(rank.id.job);
    }
    return names;
}

/// Simulates one worker that runs one job of a second at a time, while jobs
/// arrive twice as fast as it can run them. Returns the number of jobs that end
/// within their objective of 3 s.
int served_in_time(
    std::function<step_id(std::set<step_rank> const&, std::int64_t)> const&
        choose)
{
    constexpr std::int64_t length_ms = 60000;
    constexpr std::int64_t job_ms = 1000;
    constexpr std::int64_t objective_ms = 3000;
    std::set<step_rank> ready;
    std::map<std::string, std::int64_t> due;
    int served = 0;
    for (std::int64_t now = 0; now < length_ms; now += job_ms)
    {
        for (std::int64_t arrival : {now - job_ms / 2, now})
        {
            std::string job = "j" + std::to_string(arrival + length_ms);
            due[job] = arrival + objective_ms;
            ready.insert(make_rank(job, 0, due[job] - job_ms,
                arrival + 3 * objective_ms - job_ms));
        }
        step_id chosen = choose(ready, now);
        std::erase_if(ready,
            [&chosen](step_rank const& rank) { return rank.id == chosen; });
        served += now + job_ms <= due.at(chosen.job) ? 1 : 0;
    }
    return served;
}

} // namespace

Test(step_order, steps_that_can_be_in_time_come_first_and_useless_ones_last)
{
    std::set<step_rank> ready{make_rank("useless", 0, 10, 20),
        make_rank("late", 1, 50, 200), make_rank("in-time", 2, 150, 400)};
    std::vector<std::string> const expected{"in-time", "late", "useless"};
    cr_assert(names_of(order_steps(ready, 100, no_limit)) == expected);
}

Test(step_order, among_equal_prospects_priority_then_deadline_decide)
{
    std::set<step_rank> ready{make_rank("later", 1, 300, 900),
        make_rank("sooner", 1, 200, 900), make_rank("urgent", 0, 400, 900)};
    std::vector<std::string> const expected{"urgent", "sooner", "later"};
    cr_assert(names_of(order_steps(ready, 100, no_limit)) == expected);
}

Test(step_order, an_overdue_long_running_step_comes_before_all_others)
{
    step_rank overdue = make_rank("overdue", 2, 10, 20);
    overdue.long_running = true;
    step_rank early = make_rank("early", 2, 200, 400);
    early.long_running = true;
    std::set<step_rank> ready{make_rank("urgent", 0, 150, 400), overdue, early};
    std::vector<std::string> const expected{"overdue", "urgent", "early"};
    cr_assert(names_of(order_steps(ready, 100, no_limit)) == expected);
}

Test(step_order, the_limit_drops_the_least_useful_steps)
{
    std::set<step_rank> ready{make_rank("useless", 0, 10, 20),
        make_rank("late", 1, 50, 200), make_rank("in-time", 2, 150, 400)};
    std::vector<std::string> const expected{"in-time", "late"};
    cr_assert(names_of(order_steps(ready, 100, 2)) == expected);
}

Test(step_order, start_limits_are_inclusive)
{
    step_rank rank = make_rank("a", 0, 100, 200);
    cr_assert(prospect_of(rank, 100) == start_prospect::in_time);
    cr_assert(prospect_of(rank, 101) == start_prospect::late);
    cr_assert(prospect_of(rank, 200) == start_prospect::late);
    cr_assert(prospect_of(rank, 201) == start_prospect::useless);
}

Test(step_order, under_twice_the_load_a_worker_still_runs_its_jobs_in_time)
{
    int ordered =
        served_in_time([](std::set<step_rank> const& ready, std::int64_t now)
            { return order_steps(ready, now, 1).front().id; });
    int by_deadline =
        served_in_time([](std::set<step_rank> const& ready, std::int64_t)
            { return ready.begin()->id; });
    // The worker runs 60 jobs. Ordered by deadline alone, all but the first few
    // are late when they start.
    cr_assert(ordered >= 58);
    cr_assert(by_deadline < 10);
}
