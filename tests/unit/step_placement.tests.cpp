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
        task_allocation hold;
        hold.need = {used, 0, 0};
        pool.allocate(worker, {{"other-" + id, 0, 0}, 0}, hold);
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

Test(step_placement, takes_the_tightest_fit_so_that_large_room_stays_whole)
{
    worker_pool pool;
    add(pool, "empty", 8000);
    add(pool, "nearly-full", 8000, 6000);
    auto chosen = place_step(pool, make_request(2000, 1), now);
    cr_assert(chosen.front() == "nearly-full");
}

Test(step_placement, never_gives_more_than_a_worker_has)
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

Test(step_placement, keeps_a_gang_on_one_rack_where_one_has_the_room)
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

Test(step_placement, leaves_out_workers_that_are_leaving_silent_or_unknown)
{
    worker_pool pool;
    add(pool, "leaving", 8000).entry.leaving = true;
    add(pool, "silent", 8000).silent = true;
    add(pool, "unknown", 8000).reconciled = false;
    add(pool, "unlisted", 8000).unlisted = true;
    cr_assert(place_step(pool, make_request(1000, 1), now).empty());
}

Test(worker_pool, refuses_to_pass_a_capacity_except_for_facts)
{
    worker_pool pool;
    pool_worker& worker = add(pool, "a", 1000);
    task_allocation hold;
    hold.need = {2000, 0, 0};
    bool refused = false;
    try
    {
        pool.allocate(worker, {{"j", 0, 0}, 0}, hold);
    }
    catch (std::logic_error const&)
    {
        refused = true;
    }
    cr_assert(refused);
    pool.allocate(worker, {{"j", 0, 0}, 0}, hold, true);
    cr_assert(worker.free.cpu_millis == -1000);
    cr_assert(pool.release("a", {{"j", 0, 0}, 0}));
    cr_assert(worker.free.cpu_millis == 1000);
}

Test(worker_pool, a_worker_that_fails_everything_rests)
{
    worker_pool pool;
    add(pool, "a", 8000);
    for (int i = 0; i < 3; ++i)
    {
        pool.record_outcome("a", false, now);
    }
    cr_assert(place_step(pool, make_request(1000, 1), now).empty());
    auto later = now + std::chrono::seconds(3);
    cr_assert(place_step(pool, make_request(1000, 1), later).size() == 1U);
    pool.record_outcome("a", true, later);
    cr_assert(pool.find("a")->consecutive_failures == 0U);
}
