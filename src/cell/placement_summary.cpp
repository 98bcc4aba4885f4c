#include "toucanlever/cell/placement_summary.hpp"

#include <algorithm>
#include <numeric>

namespace toucanlever
{
namespace
{

capacity_state state_of(allocation_phase phase)
{
    switch (phase)
    {
    case allocation_phase::reserved:
        return capacity_state::reserved;
    case allocation_phase::stopping:
        return capacity_state::stopping;
    case allocation_phase::starting:
    case allocation_phase::running:
        break;
    }
    return capacity_state::running;
}

capacity_state state_of_free(pool_worker const& worker,
    std::vector<resources> const& waiting, std::uint64_t pass, time_point now)
{
    if (!worker.is_usable(now))
    {
        return capacity_state::unusable;
    }
    if (worker.held_back_in_pass == pass || worker.kept_for_isolation)
    {
        return capacity_state::held_back;
    }
    if (waiting.empty())
    {
        return capacity_state::idle;
    }
    bool fits = std::any_of(waiting.begin(), waiting.end(),
        [&worker](resources const& need) { return worker.free.fits(need); });
    return fits ? capacity_state::open : capacity_state::too_small;
}

} // namespace

capacity_by_state::capacity_by_state(worker_pool const& pool,
    std::vector<resources> const& waiting, std::uint64_t pass, time_point now)
{
    for (auto const& [id, worker] : pool.all())
    {
        this->add_worker(worker, waiting, pass, now);
    }
}

void capacity_by_state::add_worker(pool_worker const& worker,
    std::vector<resources> const& waiting, std::uint64_t pass, time_point now)
{
    for (auto const& [task, allocation] : worker.allocations)
    {
        this->add(state_of(allocation.phase), allocation.need.cpu_millis);
    }
    // The free amount is negative while a worker runs more than its capacity.
    this->add(
        state_of_free(worker, waiting, pass, now), worker.free.cpu_millis);
}

std::int64_t capacity_by_state::total() const
{
    return std::accumulate(
        this->cpu_millis.begin(), this->cpu_millis.end(), std::int64_t{0});
}

} // namespace toucanlever
