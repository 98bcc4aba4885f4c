/// The speed and the progress of workers, without I/O.
#include "toucanlever/cell/worker_history.hpp"
#include "toucanlever/cell/step_placement.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

constexpr time_point start{std::chrono::seconds(1000)};
constexpr milliseconds second{1000};

void add_runs(worker_history& history, int count, double ratio, time_point at)
{
    for (int i = 0; i < count; ++i)
    {
        history.add_run(ratio, at);
    }
}

/// Of 200 urgent tasks of 800 ms, one each 40 ms, those that end within their
/// estimate and 250 ms. A third of the 30 workers is 2.4 times as fast.
int tasks_in_time(bool prefers_fast)
{
    constexpr milliseconds interval{40};
    worker_pool pool;
    for (int i = 0; i < 30; ++i)
    {
        worker_entry entry;
        entry.id = "w" + std::to_string(i);
        entry.service = "s";
        entry.capacity = {4000, 1000, 0};
        pool_worker& worker = pool.put(entry);
        worker.reconciled = worker.recorded = true;
        worker.speed = i % 3 == 0 ? worker_speed::fast : worker_speed::normal;
    }
    placement_request request;
    request.need = {1000, 1, 0};
    request.service = "s";
    request.prefers_fast_workers = prefers_fast;
    std::multimap<time_point, std::pair<std::string, task_id>> ends;
    int in_time = 0;
    for (std::uint32_t i = 0; i < 200; ++i)
    {
        time_point now = start + i * interval;
        while (!ends.empty() && ends.begin()->first <= now)
        {
            auto const& [worker, task] = ends.begin()->second;
            pool.release(worker, task);
            ends.erase(ends.begin());
        }
        std::string const id = place_step(pool, request, now).at(0);
        pool_worker& worker = *pool.find(id);
        task_id task{{"a", 0, 0}, i};
        task_allocation wanted;
        wanted.need = request.need;
        pool.allocate(worker, task, wanted);
        milliseconds duration(worker.speed == worker_speed::fast ? 471 : 1143);
        ends.emplace(now + duration, std::pair(id, task));
        in_time += duration <= milliseconds(1050) ? 1 : 0;
    }
    return in_time;
}

} // namespace

Test(worker_history, needs_several_runs_and_forgets_them)
{
    // Guards against a verdict by chance, and one that outlives its cause.
    worker_history history;
    add_runs(history, 4, 2.0, start);
    cr_assert(history.median_ratio(start) == std::nullopt);
    add_runs(history, 1, 9.0, start);
    cr_assert(history.median_ratio(start) == 2.0);
    cr_assert(history.median_ratio(start + 30 * second) == 2.0);
    cr_assert(history.median_ratio(start + 31 * second) == std::nullopt);
    add_runs(history, 16, 0.5, start + 31 * second);
    cr_assert(history.median_ratio(start + 31 * second) == 0.5);
}

Test(worker_history, compares_with_the_median_of_all_workers)
{
    // Guards against estimates that are all wrong making all workers slow.
    double median = median_of({3.0, 3.1, 2.9, 1.2, 4.5});
    cr_assert(median == 3.0);
    cr_assert(compare_speed(3.1, median) == worker_speed::normal);
    cr_assert(compare_speed(1.2, median) == worker_speed::fast);
    cr_assert(compare_speed(4.5, median) == worker_speed::slow);
}

Test(worker_history, urgent_tasks_are_in_time_on_faster_workers)
{
    // Guards against urgent tasks on slow workers while fast ones are free.
    cr_assert(tasks_in_time(true) == 200);
    cr_assert(tasks_in_time(false) < 150);
}
