#include "toucanlever/cell/step_placement.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

/// A worker with free capacity for at least one task.
struct candidate
{
    pool_worker const* worker = nullptr;
    /// Number of tasks that fit on it.
    std::uint32_t fitting = 0;
    /// Tasks can start on it at once.
    bool ready = true;
};

std::uint32_t remaining_task_limit(
    worker_entry const& worker, placement_request const& request)
{
    if (request.max_per_worker == 0)
    {
        return request.tasks;
    }
    auto found = request.placed_per_worker.find(worker.id);
    std::uint32_t placed =
        found == request.placed_per_worker.end() ? 0 : found->second;
    return request.max_per_worker > placed ? request.max_per_worker - placed
                                           : 0;
}

std::vector<candidate> find_candidates(candidate_workers const& workers,
    placement_request const& request, time_point now)
{
    std::vector<candidate> found;
    for (pool_worker const* worker : workers)
    {
        bool usable_now = worker->free.fits(request.need) &&
                          worker->is_usable(now) &&
                          is_eligible(worker->entry, request) &&
                          (!request.allowed || request.allowed(*worker));
        std::uint32_t fitting =
            usable_now ? tasks_that_fit(worker->entry, worker->free, request)
                       : 0;
        if (fitting > 0)
        {
            bool ready = !request.ready || request.ready(*worker);
            found.push_back({worker, fitting, ready});
        }
    }
    return found;
}

/// Orders by whether tasks failed last on the worker, then by health (no recent
/// failure), then by whether tasks can start at once, then speed if the request
/// prefers it, then the data rack, then the tightest fit. Ids break ties, so
/// that equal inputs give equal results.
bool comes_before(placement_request const& request, time_point now,
    candidate const& left, candidate const& right)
{
    auto rank = [&request, now](candidate const& one)
    {
        bool held_back =
            request.avoids_held_back_workers && one.worker->is_held_back(now);
        bool off_data_rack = !request.data_rack.empty() &&
                             one.worker->entry.rack != request.data_rack;
        bool failed_here =
            request.failed_workers.contains(one.worker->entry.id);
        worker_speed speed = request.prefers_fast_workers
                                 ? one.worker->speed
                                 : worker_speed::normal;
        return std::tuple(failed_here,
            one.worker->counted_failures > 0 ||
                one.worker->history.is_stalled(),
            !one.ready, held_back, speed, off_data_rack,
            one.worker->free.cpu_millis, one.worker->free.memory_bytes,
            std::string_view(one.worker->entry.id));
    };
    return rank(left) < rank(right);
}

std::uint64_t total_fitting(std::vector<candidate> const& candidates)
{
    std::uint64_t total = 0;
    for (candidate const& one : candidates)
    {
        total += one.fitting;
    }
    return total;
}

/// Assigns tasks to the best candidates. Uses a heap instead of a sort, because
/// the first few candidates usually take all tasks.
std::vector<std::string> assign_tasks(std::vector<candidate> candidates,
    placement_request const& request, time_point now)
{
    auto later = [&request, now](candidate const& left, candidate const& right)
    { return comes_before(request, now, right, left); };
    std::make_heap(candidates.begin(), candidates.end(), later);
    std::vector<std::string> chosen;
    while (!candidates.empty() && chosen.size() < request.tasks)
    {
        std::pop_heap(candidates.begin(), candidates.end(), later);
        candidate const best = candidates.back();
        candidates.pop_back();
        auto count =
            std::min<std::size_t>(best.fitting, request.tasks - chosen.size());
        chosen.insert(chosen.end(), count, best.worker->entry.id);
    }
    return chosen;
}

/// The candidates on the rack on which the whole gang fits most tightly; all
/// candidates when it fits on no single rack.
std::vector<candidate> candidates_on_one_rack(
    std::vector<candidate> const& candidates, placement_request const& request)
{
    std::map<std::string, std::vector<candidate>> racks;
    std::map<std::string, std::uint32_t> fitting;
    for (candidate const& one : candidates)
    {
        racks[one.worker->entry.rack].push_back(one);
        fitting[one.worker->entry.rack] += one.fitting;
    }
    std::string best;
    for (auto const& [rack, tasks] : fitting)
    {
        if (tasks >= request.tasks &&
            (best.empty() || tasks < fitting.at(best)))
        {
            best = rack;
        }
    }
    return best.empty() ? candidates : racks.at(best);
}

} // namespace

std::uint32_t tasks_that_fit(worker_entry const& worker, resources const& free,
    placement_request const& request)
{
    std::uint32_t fitting = remaining_task_limit(worker, request);
    for (std::size_t i = 0; i < resources::dimensions; ++i)
    {
        if (request.need.at(i) > 0)
        {
            auto whole = free.at(i) / request.need.at(i);
            fitting = static_cast<std::uint32_t>(std::min<std::int64_t>(
                fitting, std::max<std::int64_t>(whole, 0)));
        }
    }
    return fitting;
}

bool is_eligible(worker_entry const& worker, placement_request const& request)
{
    bool labelled = request.required_label.empty() ||
                    std::find(worker.labels.begin(), worker.labels.end(),
                        request.required_label) != worker.labels.end();
    return labelled && worker.service == request.service &&
           worker.capacity.fits(request.need);
}

std::vector<std::string> place_step(candidate_workers const& workers,
    placement_request const& request, time_point now)
{
    std::vector<candidate> candidates = find_candidates(workers, request, now);
    if (request.all_or_none && total_fitting(candidates) < request.tasks)
    {
        return {};
    }
    if (request.prefers_one_rack)
    {
        candidates = candidates_on_one_rack(candidates, request);
    }
    return assign_tasks(std::move(candidates), request, now);
}

void avoid_failed_workers(std::vector<std::string>& chosen,
    std::vector<std::string_view> const& last_failed)
{
    std::size_t const count = std::min(chosen.size(), last_failed.size());
    for (std::size_t i = 0; i < count; ++i)
    {
        for (std::size_t other = 0;
             chosen[i] == last_failed[i] && other < count; ++other)
        {
            if (chosen[other] != last_failed[i] &&
                chosen[i] != last_failed[other])
            {
                std::swap(chosen[i], chosen[other]);
            }
        }
    }
}

std::vector<std::string> place_step(
    worker_pool const& pool, placement_request const& request, time_point now)
{
    candidate_workers workers;
    workers.reserve(pool.all().size());
    for (auto const& [id, worker] : pool.all())
    {
        workers.push_back(&worker);
    }
    return place_step(workers, request, now);
}

} // namespace toucanlever
