#include "toucanlever/cell/step_placement.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#include <stdexcept>

using namespace toucanlever;

namespace
{

time_point const now{std::chrono::seconds(100)};

pool_worker& add(worker_pool& pool, std::string const& id,
    std::int64_t capacity, std::int64_t used = 0, std::string rack = "r1")
{
    worker_entry entry;
    entry.id = id;
    entry.rack = std::move(rack);
    entry.service = "s";
    entry.capacity = {capacity, 1000, 0};
    pool_worker& worker = pool.put(entry);
    worker.reconciled = worker.recorded = true;
    if (used > 0)
    {
        task_allocation allocation;
        allocation.need = {used, 0, 0};
        pool.allocate(worker, {{"other-" + id, 0, 0}, 0}, allocation);
    }
    return worker;
}

placement_request make_request(std::int64_t cpu, std::uint32_t tasks)
{
    placement_request request;
    request.need = {cpu, 1, 0};
    request.tasks = tasks;
    request.service = "s";
    return request;
}

} // namespace

Test(step_placement, chooses_the_tightest_fit_to_keep_large_free_blocks)
{
    worker_pool pool;
    add(pool, "empty", 8000);
    add(pool, "nearly-full", 8000, 6000);
    auto chosen = place_step(pool, make_request(2000, 1), now);
    cr_assert(chosen.front() == "nearly-full");
}

Test(step_placement, never_exceeds_the_capacity_of_a_worker)
{
    worker_pool pool;
    add(pool, "a", 5000);
    add(pool, "b", 3000);
    auto chosen = place_step(pool, make_request(2000, 10), now);
    cr_assert(chosen.size() == 3U);
}

Test(step_placement, places_a_gang_whole_or_not_at_all)
{
    worker_pool pool;
    add(pool, "a", 5000);
    placement_request request = make_request(2000, 3);
    request.all_or_none = true;
    cr_assert(place_step(pool, request, now).empty());
    add(pool, "b", 2000);
    cr_assert(place_step(pool, request, now).size() == 3U);
}

Test(step_placement, places_a_gang_on_one_rack_with_enough_free_capacity)
{
    worker_pool pool;
    add(pool, "a", 2000, 0, "r1");
    add(pool, "b", 4000, 0, "r2");
    add(pool, "c", 4000, 0, "r2");
    placement_request request = make_request(2000, 4);
    request.all_or_none = true;
    request.prefers_one_rack = true;
    for (std::string const& worker : place_step(pool, request, now))
    {
        cr_assert(worker != "a");
    }
}

Test(step_placement, respects_limits_labels_services_and_approval)
{
    worker_pool pool;
    add(pool, "a", 8000);
    add(pool, "b", 8000).entry.labels = {"fast"};
    add(pool, "c", 8000).entry.service = "other";
    placement_request limited = make_request(1000, 5);
    limited.max_per_worker = 2;
    limited.placed_per_worker = {{"a", 1}};
    cr_assert(place_step(pool, limited, now).size() == 3U);
    placement_request labelled = make_request(1000, 1);
    labelled.required_label = "fast";
    cr_assert(place_step(pool, labelled, now).front() == "b");
    placement_request approved = make_request(1000, 1);
    approved.allowed = [](pool_worker const& worker)
    { return worker.entry.id == "a"; };
    cr_assert(place_step(pool, approved, now).front() == "a");
}

Test(step_placement,
    skips_workers_that_are_leaving_silent_unreconciled_or_unlisted)
{
    worker_pool pool;
    add(pool, "leaving", 8000).entry.leaving = true;
    add(pool, "silent", 8000).silent = true;
    add(pool, "unknown", 8000).reconciled = false;
    add(pool, "unlisted", 8000).unlisted = true;
    cr_assert(place_step(pool, make_request(1000, 1), now).empty());
}

Test(worker_pool, refuses_to_exceed_a_capacity_except_for_running_work)
{
    worker_pool pool;
    pool_worker& worker = add(pool, "a", 1000);
    task_allocation allocation;
    allocation.need = {2000, 0, 0};
    bool refused = false;
    try
    {
        pool.allocate(worker, {{"j", 0, 0}, 0}, allocation);
    }
    catch (std::logic_error const&)
    {
        refused = true;
    }
    cr_assert(refused);
    pool.allocate(worker, {{"j", 0, 0}, 0}, allocation, true);
    cr_assert(worker.free.cpu_millis == -1000);
    cr_assert(pool.release("a", {{"j", 0, 0}, 0}));
    cr_assert(worker.free.cpu_millis == 1000);
}

Test(worker_pool, a_capacity_that_shrinks_and_grows_again_bounds_placement)
{
    for (std::size_t dimension = 0; dimension < resources::dimensions;
         ++dimension)
    {
        auto amount = [dimension](std::int64_t value)
        {
            resources result{100, 100, 100};
            (dimension == 0      ? result.cpu_millis
                : dimension == 1 ? result.memory_bytes
                                 : result.accelerators) = value;
            return result;
        };
        worker_pool pool;
        worker_entry entry = add(pool, "a", 100).entry;
        entry.capacity = amount(40);
        pool_worker& worker = pool.put(entry);
        task_allocation allocation;
        allocation.need = dimension == 0   ? resources{30, 0, 0}
                          : dimension == 1 ? resources{0, 30, 0}
                                           : resources{0, 0, 30};
        pool.allocate(worker, {{"j", 0, 0}, 0}, allocation);
        entry.capacity = amount(10);
        pool.put(entry);
        placement_request request = make_request(1, 1);
        request.need = {1, 1, 1};
        cr_assert(place_step(pool, request, now).empty());
        entry.capacity = amount(200);
        pool.put(entry);
        cr_assert(pool.release("a", {{"j", 0, 0}, 0}));
        cr_assert(worker.free == entry.capacity);
        request.tasks = 300;
        cr_assert(place_step(pool, request, now).size() == 100U);
    }
}

Test(step_placement, prefers_fast_workers_only_where_the_request_does)
{
    // Guards against batches that occupy the workers urgent tasks need.
    worker_pool pool;
    add(pool, "nearly-full", 8000, 6000);
    add(pool, "fast", 8000).speed = worker_speed::fast;
    placement_request request = make_request(2000, 1);
    cr_assert(place_step(pool, request, now).front() == "nearly-full");
    request.prefers_fast_workers = true;
    cr_assert(place_step(pool, request, now).front() == "fast");
    pool.find("fast")->counted_failures = 1;
    cr_assert(place_step(pool, request, now).front() == "nearly-full");
}

Test(step_placement, uses_a_worker_on_which_a_task_failed_only_as_the_last)
{
    // Guards against a task that fails repeatedly on the same worker, and one
    // that waits although this worker is the only one.
    worker_pool pool;
    add(pool, "a", 8000, 6000);
    placement_request request = make_request(2000, 1);
    request.failed_workers = {"a"};
    cr_assert(place_step(pool, request, now).front() == "a");
    add(pool, "b", 8000);
    cr_assert(place_step(pool, request, now).front() == "b");
    std::vector<std::string> chosen{"b", "a", "a"};
    avoid_failed_workers(chosen, {"", "", "a"});
    cr_assert(chosen == std::vector<std::string>({"a", "a", "b"}));
}

// Guards against urgent tasks that keep taking the capacity that becomes free
// on the workers which are held back for a gang.
Test(step_placement, workers_held_back_for_a_gang_are_used_last)
{
    worker_pool pool;
    add(pool, "held", 8000, 5000).held_back_until = now + milliseconds(1);
    add(pool, "other", 8000);
    placement_request request = make_request(2000, 1);
    request.avoids_held_back_workers = true;
    cr_assert(place_step(pool, request, now).front() == "other");
    cr_assert(
        place_step(pool, request, now + milliseconds(1)).front() == "held");
    request.tasks = 5;
    cr_assert(place_step(pool, request, now).size() == 5U);
}
