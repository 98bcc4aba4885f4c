/// Tests which jobs are beyond their customer's entitlement, and which
/// customers use more than their fair share.
#include "toucanlever/cell/entitlement_meter.hpp"
#include "toucanlever/cell/fair_share.hpp"
#include "toucanlever/cell/work_registry.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

// Guards against a window that is longer or shorter than a second, and against
// a customer that loses its whole entitlement by submitting more.
Test(entitlement, jobs_beyond_the_weight_in_any_second_are_beyond)
{
    entitlement_meter meter;
    cr_assert(meter.add("c", 2, 10000) == false);
    cr_assert(meter.add("c", 2, 10500) == false);
    cr_assert(meter.add("c", 2, 10999));
    cr_assert(meter.add("c", 2, 11499) == false);
    cr_assert(meter.add("c", 2, 11499));
    cr_assert(meter.add("c", 2, 12000) == false);
    cr_assert(meter.add("small", 1, 12000) == false);
    cr_assert(meter.add("none", 0, 12000));
}

// Guards against a meter that needs jobs in order, or that a wrong clock
// blinds.
Test(entitlement, jobs_that_are_added_out_of_order_are_counted_by_acceptance)
{
    entitlement_meter meter;
    cr_assert(meter.add("c", 1, 11000) == false);
    cr_assert(meter.add("c", 1, 10500) == false);
    cr_assert(meter.add("c", 1, 11200));
    cr_assert(meter.add("c", 1, 90000) == false);
    cr_assert(meter.add("c", 1, 12500) == false);
    cr_assert(meter.add("c", 1, 12600));
}

// Guards against memory that grows with each customer that ever called.
Test(entitlement, idle_customers_are_forgotten)
{
    entitlement_meter meter;
    for (int i = 0; i < 100000; ++i)
    {
        meter.add("c" + std::to_string(i), 1, 50000 + i);
    }
    cr_assert(meter.customer_count() < 20000U);
}

// Guards against a flag that does not reach the planning order.
Test(entitlement, the_rank_of_a_step_has_the_flag_of_its_job)
{
    work_registry registry;
    work_record job;
    job.id = "a";
    job.steps.resize(1);
    cr_assert(registry.add(job, 1, 0, {}, true));
    cr_assert(registry.ready().begin()->beyond_entitlement);
}

// Guards against a small customer that has to wait for large ones, and against
// equal customers of which one comes last.
Test(entitlement, customers_above_their_weighted_share_are_found)
{
    resources const capacity{10000, 1000, 0};
    std::vector<customer_usage> const waiting{{"large", 4, {5000, 0, 0}},
        {"fair", 4, {4000, 10, 0}}, {"memory", 1, {100, 500, 0}},
        {"small", 1, {0, 0, 0}}, {"none", 0, {1, 0, 0}}};
    auto above = customers_above_share(waiting, capacity);
    std::unordered_set<std::string> const expected{"memory", "none"};
    cr_assert(above == expected);
    above = customers_above_share(
        {{"a", 3, {300, 0, 0}}, {"b", 7, {700, 0, 0}}, {"c", 1, {100, 0, 0}}},
        capacity);
    cr_assert(above.empty());
    cr_assert(customers_above_share(waiting, {}).empty());
}
