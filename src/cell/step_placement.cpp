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
    resources free;
    std::uint32_t allowance = 0;
};

std::uint32_t allowance_on(
    worker_entry const& worker, placement_request const& request)
{
    if (request.max_per_worker == 0)
    {
        return request.tasks;
    }
    auto found = request.placed.find(worker.id);
    std::uint32_t placed = found == request.placed.end() ? 0 : found->second;
    return request.max_per_worker > placed ? request.max_per_worker - placed
                                           : 0;
}

std::vector<candidate> find_candidates(
    worker_pool const& pool, placement_request const& request, time_point now)
{
    std::vector<candidate> found;
    for (auto const& [id, worker] : pool.all())
    {
        if (!worker.usable(now) || !worker.free.fits(request.need) ||
            !suits(worker.entry, request) ||
            (request.allowed && !request.allowed(worker)))
        {
            continue;
        }
        std::uint32_t allowance = allowance_on(worker.entry, request);
        if (allowance > 0)
        {
            found.push_back({&worker, worker.free, allowance});
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
        return std::tuple(one.worker->failures > 0, far, one.free.cpu_millis,
            one.free.memory_bytes, std::string_view(one.worker->entry.id));
    };
    return rank(left) < rank(right);
}

std::uint32_t tasks_that_fit(
    candidate const& place, placement_request const& request)
{
    std::uint32_t fitting = place.allowance;
    for (std::size_t i = 0; i < resources::dimensions; ++i)
    {
        if (request.need.at(i) > 0)
        {
            auto whole = place.free.at(i) / request.need.at(i);
            fitting = static_cast<std::uint32_t>(
                std::min<std::int64_t>(fitting, whole));
        }
    }
    return fitting;
}

std::vector<std::string> hand_out(
    std::vector<candidate> const& places, placement_request const& request)
{
    std::vector<std::string> chosen;
    for (candidate const& place : places)
    {
        std::uint32_t fitting = tasks_that_fit(place, request);
        while (fitting > 0 && chosen.size() < request.tasks)
        {
            chosen.push_back(place.worker->entry.id);
            --fitting;
        }
        if (chosen.size() == request.tasks)
        {
            break;
        }
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
        fitting[place.worker->entry.rack] += tasks_that_fit(place, request);
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

bool suits(worker_entry const& worker, placement_request const& request)
{
    bool labelled = request.required_label.empty() ||
                    std::find(worker.labels.begin(), worker.labels.end(),
                        request.required_label) != worker.labels.end();
    return labelled && worker.service == request.service &&
           worker.capacity.fits(request.need);
}

std::vector<std::string> place_step(
    worker_pool const& pool, placement_request const& request, time_point now)
{
    std::vector<candidate> places = find_candidates(pool, request, now);
    std::sort(places.begin(), places.end(),
        [&request](candidate const& left, candidate const& right)
        { return comes_before(request, left, right); });
    if (request.prefers_one_rack)
    {
        places = one_rack(places, request);
    }
    std::vector<std::string> chosen = hand_out(places, request);
    if (request.all_or_none && chosen.size() < request.tasks)
    {
        chosen.clear();
    }
    return chosen;
}

} // namespace toucanlever
