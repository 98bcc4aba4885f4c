#include "toucanlever/control/permit_controller.hpp"

#include "gateway/retry_budget.hpp"
#include "toucanlever/core/ids.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

constexpr milliseconds lease{6000};
constexpr std::uint32_t slots = 8;

class permit_fixture
{
public:
    void run_for(milliseconds span)
    {
        for (auto elapsed = milliseconds(0); elapsed < span;
             elapsed += milliseconds(200))
        {
            this->time.advance(milliseconds(200));
            this->grantor.tick();
        }
    }

    std::uint32_t request_permits(
        std::string const& gateway, std::uint32_t held, std::uint32_t wanted)
    {
        return this->grantor
            .grant({gateway, "r01", held, wanted}, "s1", slots, lease)
            .granted;
    }

    /// Waits 10 s, longer than the peer timeout, a lease and the margin, which
    /// are 9 s together.
    void settle()
    {
        this->request_permits("nobody", 0, 0);
        this->run_for(milliseconds(10000));
    }

    manual_clock time;
    // The peer timeout and the margin.
    permit_controller grantor{
        this->time, "s1", milliseconds(2500), milliseconds(500)};
};

} // namespace

Test(permits, a_new_grantor_renews_but_grants_nothing_new_for_a_lease)
{
    permit_fixture fixture;
    cr_assert(fixture.request_permits("g1", 3, 2) == 3U);
    fixture.run_for(milliseconds(5000));
    cr_assert(fixture.request_permits("g2", 0, 2) == 0U);
    fixture.run_for(milliseconds(5000));
    cr_assert(fixture.request_permits("g2", 0, 2) == 2U);
}

Test(permits, the_sum_over_gateways_never_exceeds_the_slots)
{
    permit_fixture fixture;
    fixture.settle();
    std::uint32_t sum = 0;
    for (char const* gateway : {"g1", "g2", "g3", "g4", "g5", "g6"})
    {
        sum += fixture.request_permits(gateway, 0, 3);
    }
    cr_assert(sum == slots);
}

Test(permits, a_dead_gateways_permits_come_back_after_its_lease)
{
    permit_fixture fixture;
    fixture.settle();
    cr_assert(fixture.request_permits("g1", 0, 8) == 8U);
    fixture.run_for(lease);
    cr_assert(fixture.request_permits("g2", 0, 8) == 0U);
    fixture.run_for(milliseconds(1000));
    cr_assert(fixture.request_permits("g2", 0, 8) == 8U);
}

Test(permits, a_paused_grantor_restarts_its_settling_period)
{
    permit_fixture fixture;
    fixture.settle();
    cr_assert(fixture.request_permits("g1", 0, 2) == 2U);
    fixture.time.advance(milliseconds(20000));
    cr_assert(fixture.request_permits("g2", 0, 8) == 0U);
}

Test(permits, returned_permits_are_free_at_once)
{
    permit_fixture fixture;
    fixture.settle();
    fixture.request_permits("g1", 0, 8);
    fixture.request_permits("g1", 1, 0);
    cr_assert(fixture.request_permits("g2", 0, 8) == 7U);
}

Test(retry_budget, retries_are_a_share_of_the_requests)
{
    retry_budget budget(10);
    int taken = 0;
    for (int i = 0; i < 1000; ++i)
    {
        budget.on_request();
        taken += budget.take_retry() ? 1 : 0;
    }
    cr_assert(taken >= 100);
    cr_assert(taken <= 110);
}

Test(ids, racks_are_shared_evenly_and_move_little)
{
    std::set<std::string> racks;
    for (int i = 0; i < 100; ++i)
    {
        racks.insert("rack-" + std::to_string(i));
    }
    auto before = assign_evenly(racks, {"s1", "s2", "s3", "s4"});
    auto after = assign_evenly(racks, {"s1", "s2", "s3"});
    std::map<std::string, int> counts;
    int moved = 0;
    for (auto const& entry : before)
    {
        ++counts[entry.second];
        moved += entry.second != "s4" && after[entry.first] != entry.second;
    }
    for (auto const& entry : counts)
    {
        cr_assert(entry.second <= 25);
    }
    cr_assert(moved <= 25);
}

Test(ids, a_job_id_names_the_incarnation_that_accepted_it)
{
    std::string incarnation = make_incarnation("north", "n-1");
    std::string id = make_job_id(incarnation, 7);
    cr_assert(incarnation_of_job(id) == incarnation);
    cr_assert(domain_of_incarnation(incarnation) == "north");
    cr_assert(name_of_incarnation(incarnation) == "n-1");
    cr_assert(incarnation_of_job("../../etc").empty());
}
