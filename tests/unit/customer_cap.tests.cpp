/// Tests what a customer's cap allows, and the sum of its allocations.
#include "toucanlever/cell/customer_cap.hpp"
#include "toucanlever/cell/cap_log.hpp"
#include "toucanlever/cell/worker_pool.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <random>

using namespace toucanlever;

// Guards against a limit that looks at processors only.
Test(customer_cap, the_scarcest_dimension_limits_the_tasks)
{
    resources const need{1000, 100, 1};
    cr_assert(tasks_within_cap({8000, 350, 0}, {}, need, 8, false) == 3U);
    cr_assert(tasks_within_cap({0, 0, 2}, {}, need, 8, false) == 2U);
    cr_assert(tasks_within_cap({0, 0, 0}, {}, need, 8, false) == 8U);
    // Over a lowered cap in a dimension that the task does not need.
    cr_assert(tasks_within_cap(
                  {900, 50, 0}, {0, 60, 0}, {300, 0, 0}, 8, false) == 3U);
    cr_assert(
        tasks_within_cap({900, 0, 0}, {1000, 0, 0}, need, 8, false) == 0U);
}

// Guards against a gang of which a part starts, and one that never can.
Test(customer_cap, a_gang_gets_all_or_none_and_one_above_the_cap_is_rejected)
{
    resources const cap{4000, 0, 0};
    cr_assert(tasks_within_cap(cap, {}, {1000, 1, 0}, 4, true) == 4U);
    cr_assert(tasks_within_cap(cap, {1, 0, 0}, {1000, 1, 0}, 4, true) == 0U);
    work_record job;
    job.customer = {"c", 1, cap};
    job.steps.resize(2);
    job.steps[1].tasks = 5;
    job.steps[1].need = {1000, 1, 0};
    cr_assert(cap_violation(job).has_value() == false);
    job.steps[1].gang = true;
    cr_assert(cap_violation(job)->find("step 1") == 0U);
    job.steps[1].tasks = 4;
    cr_assert(cap_violation(job).has_value() == false);
    job.steps[0].need.cpu_millis = 4001;
    cr_assert(cap_violation(job).has_value());
    job.customer.name.clear();
    cr_assert(cap_violation(job).has_value() == false);
}

// Guards against a sum that drifts from the allocations.
Test(customer_cap, the_use_of_a_customer_is_the_sum_over_its_allocations)
{
    std::vector<std::string> const names{"", "c0", "c1", "c2"};
    std::mt19937 random{7};
    worker_pool pool;
    for (int round = 0; round < 4000; ++round)
    {
        worker_entry entry;
        entry.id = "w" + std::to_string(random() % 4);
        entry.capacity = {4000, 4000, 4};
        pool_worker& worker = pool.put(entry);
        task_id const task{
            {"j", 0, 0}, static_cast<std::uint32_t>(random() % 12)};
        std::string const& customer = names[random() % names.size()];
        resources const use{
            static_cast<std::int64_t>(random() % 900), 10, random() % 2 == 0};
        bool is_held = worker.allocations.contains(task);
        auto action = random() % 20;
        if (action == 0)
        {
            pool.remove(entry.id);
        }
        else if (action < 6)
        {
            pool.release(entry.id, task);
        }
        else if (!is_held)
        {
            task_allocation wanted;
            wanted.customer = customer;
            wanted.use = use;
            wanted.need_known = action < 16;
            pool.allocate(worker, task, wanted, true);
        }
        else
        {
            pool.set_need(worker, task, use);
            pool.set_customer(worker, task, customer, use);
        }
        std::map<std::string, resources> sums;
        bool any_unknown = false;
        for (auto const& [id, each] : pool.all())
        {
            for (auto const& [held, allocation] : each.allocations)
            {
                sums[allocation.customer] += allocation.use;
                any_unknown = any_unknown || !allocation.need_known;
            }
        }
        sums[""] = {};
        for (std::string const& name : names)
        {
            cr_assert(pool.usage_of(name) == sums[name]);
        }
        cr_assert(pool.has_unknown_needs() == any_unknown);
    }
}

// Guards against a log line for each pass of a customer at its cap.
Test(customer_cap, a_customer_is_at_its_cap_until_a_second_without_a_limit)
{
    cap_log log;
    time_point const start{std::chrono::hours(1)};
    for (int i = 0; i < 10; ++i)
    {
        time_point now = start + milliseconds(300 * i);
        if (i % 3 == 0)
        {
            log.note_limited("c", 900, 1000, now);
        }
        log.end_pass(now);
        cr_assert(log.customers_at_cap() == 1U);
    }
    log.end_pass(start + milliseconds(3700));
    cr_assert(log.customers_at_cap() == 0U);
}
