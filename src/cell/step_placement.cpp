#include "toucanlever/cell/step_placement.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

/// A worker with room, while tasks are handed out.
struct candidate
{
    pool_worker const* worker = nullptr;
    /// How many of the tasks it can take.
    std::uint32_t fitting = 0;
};

std::uint32_t allowance_on(
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

std::uint32_t tasks_that_fit(
    pool_worker const& worker, placement_request const& request)
{
    std::uint32_t fitting = allowance_on(worker.entry, request);
    for (std::size_t i = 0; i < resources::dimensions; ++i)
    {
        if (request.need.at(i) > 0)
        {
            auto whole = worker.free.at(i) / request.need.at(i);
            fitting = static_cast<std::uint32_t>(std::min<std::int64_t>(
                fitting, std::max<std::int64_t>(whole, 0)));
        }
    }
    return fitting;
}

std::vector<candidate> find_candidates(candidate_workers const& workers,
    placement_request const& request, time_point now)
{
    std::vector<candidate> found;
    for (pool_worker const* worker : workers)
    {
        bool open = worker->free.fits(request.need) && worker->is_usable(now) &&
                    is_eligible(worker->entry, request) &&
                    (!request.allowed || request.allowed(*worker));
        std::uint32_t fitting = open ? tasks_that_fit(*worker, request) : 0;
        if (fitting > 0)
        {
            found.push_back({worker, fitting});
        }
    }
    return found;
}

/// Tightest first; near the data before all; healthy ones first. Names break
/// ties, so that equal inputs give equal results.
bool comes_before(placement_request const& request, candidate const& left,
    candidate const& right)
{
    auto rank = [&request](candidate const& one)
    {
        bool far = !request.data_rack.empty() &&
                   one.worker->entry.rack != request.data_rack;
        return std::tuple(one.worker->consecutive_failures > 0, far,
            one.worker->free.cpu_millis, one.worker->free.memory_bytes,
            std::string_view(one.worker->entry.id));
    };
    return rank(left) < rank(right);
}

std::uint64_t total_fitting(std::vector<candidate> const& places)
{
    std::uint64_t total = 0;
    for (candidate const& place : places)
    {
        total += place.fitting;
    }
    return total;
}

/// A heap, since a few places mostly take all tasks.
std::vector<std::string> hand_out(
    std::vector<candidate> places, placement_request const& request)
{
    auto later = [&request](candidate const& left, candidate const& right)
    { return comes_before(request, right, left); };
    std::make_heap(places.begin(), places.end(), later);
    std::vector<std::string> chosen;
    while (!places.empty() && chosen.size() < request.tasks)
    {
        std::pop_heap(places.begin(), places.end(), later);
        candidate const place = places.back();
        places.pop_back();
        auto count =
            std::min<std::size_t>(place.fitting, request.tasks - chosen.size());
        chosen.insert(chosen.end(), count, place.worker->entry.id);
    }
    return chosen;
}

/// The rack on which a whole gang fits, with the least room over.
std::vector<candidate> one_rack(
    std::vector<candidate> const& places, placement_request const& request)
{
    std::map<std::string, std::vector<candidate>> racks;
    std::map<std::string, std::uint32_t> fitting;
    for (candidate const& place : places)
    {
        racks[place.worker->entry.rack].push_back(place);
        fitting[place.worker->entry.rack] += place.fitting;
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
    return best.empty() ? places : racks.at(best);
}

} // namespace

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
    std::vector<candidate> places = find_candidates(workers, request, now);
    if (request.all_or_none && total_fitting(places) < request.tasks)
    {
        return {};
    }
    if (request.prefers_one_rack)
    {
        places = one_rack(places, request);
    }
    return hand_out(std::move(places), request);
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
