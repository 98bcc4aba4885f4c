/// Tests which workers the external policy is asked about, and the load under
/// which that matters: many gangs, a policy with slow calls, and free workers.
#include "toucanlever/cell/advice_query.hpp"

#include "toucanlever/cell/placement_advice.hpp"

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <deque>
#include <functional>
#include <pcg_random.hpp>

using namespace toucanlever;

namespace
{

/// Workers with room for `fitting` tasks now and `empty` without their load.
class option_list
{
public:
    option_list& add(
        std::size_t count, std::uint32_t fitting, std::uint32_t empty)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            this->ids.push_back("w" + std::to_string(1000 + this->ids.size()));
            this->options.push_back({nullptr, fitting, empty, fitting * 1000});
        }
        return *this;
    }

    std::vector<std::string> choose(advice_demand const& demand)
    {
        for (std::size_t i = 0; i < this->options.size(); ++i)
        {
            this->options[i].worker = &this->ids[i];
        }
        return choose_workers_to_query(this->options, demand);
    }

private:
    std::deque<std::string> ids;
    std::vector<advice_option> options;
};

/// The demand of a gang while calls are scarce.
advice_demand gang_of(std::uint32_t tasks, double share)
{
    advice_demand demand;
    demand.missing_tasks = tasks;
    demand.all_or_none = true;
    demand.approval_share = share;
    demand.calls_are_scarce = true;
    return demand;
}

using decision = std::function<std::vector<std::string>(
    std::vector<advice_option> const&, advice_demand const&)>;

/// Names every gang's maximum, as before there was a decision.
std::vector<std::string> choose_all(
    std::vector<advice_option> const& options, advice_demand const&)
{
    std::vector<std::string> chosen;
    for (advice_option const& option : options)
    {
        if (chosen.size() < placement_advice::max_workers)
        {
            chosen.push_back(*option.worker);
        }
    }
    return chosen;
}

/// Plays gangs of eight tasks that arrive eight times a second at a cell whose
/// calls take 0.5 s and 7 ms for each worker named, in virtual time: 300
/// workers with room for three tasks each, of which the policy approves 35%,
/// and eight instances that make calls. Returns the share of gangs that have
/// enough approved workers within 2 s.
double served_in_time(decision const& choose)
{
    constexpr int arrivals = 400;
    constexpr std::int64_t arrival_period_ms = 125;
    constexpr std::int64_t call_ms = 500;
    constexpr std::int64_t worker_ms = 7;
    constexpr std::int64_t limit_ms = 2000;
    constexpr std::uint32_t tasks = 8;
    constexpr std::uint32_t per_worker = 3;
    constexpr unsigned approved_percent = 35;
    pcg32 random(7);
    std::deque<std::string> ids;
    std::vector<advice_option> options;
    for (int i = 0; i < 300; ++i)
    {
        ids.push_back("w" + std::to_string(i));
        options.push_back({&ids.back(), per_worker, per_worker, 27000});
    }
    std::vector<std::int64_t> free_at(8, 0);
    int served = 0;
    for (int i = 0; i < arrivals; ++i)
    {
        std::int64_t arrived = i * arrival_period_ms;
        std::int64_t ready = arrived;
        std::uint32_t room = 0;
        while (room < tasks)
        {
            auto slot = std::min_element(free_at.begin(), free_at.end());
            std::vector<std::string> asked =
                choose(options, gang_of(tasks - room, 0.35));
            ready = std::max(ready, *slot) + call_ms +
                    worker_ms * static_cast<std::int64_t>(asked.size());
            *slot = ready;
            for (std::size_t j = 0; j < asked.size(); ++j)
            {
                room += random(100) < approved_percent ? per_worker : 0;
            }
        }
        served += ready - arrived <= limit_ms ? 1 : 0;
    }
    return served / static_cast<double>(arrivals);
}

} // namespace

Test(advice_query, names_few_workers_while_they_have_much_room)
{
    option_list free;
    free.add(300, 3, 3);
    std::size_t asked = free.choose(gang_of(8, 0.35)).size();
    // Room for the gang on average, and fewer than a tenth of the cell.
    cr_assert(asked * 3 * 0.35 >= 8.0);
    cr_assert(asked < 30U);
}

Test(advice_query, names_workers_generously_while_calls_are_not_scarce)
{
    option_list free;
    free.add(300, 3, 3);
    advice_demand demand = gang_of(8, 0.35);
    demand.calls_are_scarce = false;
    cr_assert(free.choose(demand).size() == placement_advice::max_workers);
    demand.all_or_none = false;
    cr_assert(free.choose(demand).size() == 30U);
    // A call is made although approved workers may become free.
    demand.fitting_approved_empty = 30;
    cr_assert_not(free.choose(demand).empty());
}

Test(advice_query, names_more_workers_when_the_policy_approves_fewer)
{
    option_list free;
    free.add(300, 3, 3);
    cr_assert(free.choose(gang_of(8, 0.2)).size() >
              free.choose(gang_of(8, 0.8)).size());
}

Test(advice_query, names_the_workers_with_the_most_room_first)
{
    option_list mixed;
    mixed.add(200, 0, 4).add(20, 4, 4);
    std::vector<std::string> asked = mixed.choose(gang_of(4, 0.5));
    cr_assert(asked.size() >= 6U);
    cr_assert(std::all_of(asked.begin(), asked.begin() + 6,
        [](std::string const& id) { return id >= "w1200"; }));
}

Test(advice_query, never_names_more_workers_than_a_call_may)
{
    option_list full;
    full.add(370, 0, 1);
    cr_assert(
        full.choose(gang_of(60, 0.35)).size() == placement_advice::max_workers);
}

Test(advice_query, never_names_a_worker_that_is_too_small)
{
    option_list small;
    small.add(50, 0, 0);
    cr_assert(small.choose(gang_of(1, 0.5)).empty());
}

Test(advice_query, waits_for_approved_workers_while_the_others_are_full)
{
    option_list full;
    full.add(200, 0, 3);
    advice_demand demand = gang_of(8, 0.35);
    demand.fitting_approved_empty = 30;
    cr_assert(full.choose(demand).empty());
    // A gang starts whole, so room for a few tasks is no reason for a call.
    full.add(4, 1, 3);
    cr_assert(full.choose(demand).empty());
    demand.all_or_none = false;
    cr_assert_not(full.choose(demand).empty());
    demand.fitting_approved_empty = 10;
    demand.all_or_none = true;
    cr_assert_not(full.choose(demand).empty());
}

Test(advice_query, does_not_wait_for_approved_workers_without_end)
{
    // Room for twice the gang, of which the policy approves too little on
    // average, and approved workers that may never become free.
    option_list some;
    some.add(16, 1, 3);
    advice_demand demand = gang_of(8, 0.35);
    demand.fitting_approved_empty = 30;
    cr_assert(some.choose(demand).empty());
    demand.has_waited_long = true;
    cr_assert(some.choose(demand).size() == 16U);
}

Test(advice_query, the_share_of_approvals_follows_the_answers)
{
    approval_estimate estimate;
    cr_assert(estimate.share() == 0.5);
    for (int i = 0; i < 100; ++i)
    {
        estimate.add(100, 35);
    }
    cr_assert(estimate.share() > 0.34 && estimate.share() < 0.36);
    for (int i = 0; i < 100; ++i)
    {
        estimate.add(100, 70);
    }
    cr_assert(estimate.share() > 0.6);
}

Test(advice_query, gangs_are_served_in_time_where_calls_are_the_bottleneck)
{
    // A gang needs 0.6 s of calls here and eight instances serve eight gangs a
    // second with 1 s for each, so all but unlucky gangs can be served.
    cr_assert(served_in_time(&choose_workers_to_query) >= 0.95);
    cr_assert(served_in_time(&choose_all) < 0.5);
}

Test(advice_query, names_faster_workers_first_among_those_with_equal_room)
{
    // Guards against approvals of slow workers while fast ones are free.
    std::vector<std::string> const ids{"a", "b", "c"};
    std::vector<advice_option> const options{
        {ids.data(), 2, 2, 2000, worker_speed::fast}, {&ids[1], 4, 4, 4000},
        {&ids[2], 4, 4, 4000, worker_speed::fast}};
    advice_demand demand;
    demand.missing_tasks = 1;
    cr_assert(choose_workers_to_query(options, demand) ==
              std::vector<std::string>({"c", "b", "a"}));
}

// Guards against a large urgent task that waits while only held-back workers
// have room for it, and against small ones that take the room of a gang.
Test(advice_query, workers_are_named_only_if_the_others_may_not_do)
{
    std::vector<std::string> const ids{"held", "other"};
    std::vector<advice_option> options{
        {ids.data(), 4, 4, 4000, worker_speed::normal, true},
        {&ids[1], 3, 4, 3000}};
    advice_demand demand;
    demand.missing_tasks = 1;
    demand.approval_share = 0.5;
    cr_assert(choose_workers_to_query(options, demand) ==
              std::vector<std::string>({"other"}));
    options[1].fitting = 1;
    cr_assert(choose_workers_to_query(options, demand) == ids);
}
