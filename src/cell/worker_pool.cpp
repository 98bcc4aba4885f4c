#include "toucanlever/cell/worker_pool.hpp"

#include <algorithm>
#include <stdexcept>

namespace toucanlever
{
namespace
{

/// Failures in a row after which a worker rests, and for how long: jobs that
/// fail by their own fault are a few in a hundred, so three in a row on a
/// sound worker are rare.
constexpr std::uint32_t rest_after_failures = 3;
constexpr std::chrono::seconds rest_time{2};
constexpr std::uint32_t max_rest_doublings = 2;

} // namespace

pool_worker& worker_pool::put(worker_entry const& entry)
{
    pool_worker& worker = this->by_id[entry.id];
    worker.free += entry.capacity - worker.entry.capacity;
    worker.entry = entry;
    worker.unlisted = false;
    return worker;
}

pool_worker* worker_pool::find(std::string const& id)
{
    auto found = this->by_id.find(id);
    return found == this->by_id.end() ? nullptr : &found->second;
}

pool_worker const* worker_pool::find(std::string const& id) const
{
    auto found = this->by_id.find(id);
    return found == this->by_id.end() ? nullptr : &found->second;
}

task_allocation& worker_pool::allocate(pool_worker& worker, task_id const& task,
    task_allocation const& wanted, bool already_running)
{
    if (!already_running && !worker.free.fits(wanted.need))
    {
        throw std::logic_error("a worker's capacity would be passed");
    }
    auto [place, inserted] = worker.allocations.try_emplace(task, wanted);
    if (!inserted)
    {
        throw std::logic_error("the task holds room on this worker already");
    }
    worker.free -= wanted.need;
    return place->second;
}

bool worker_pool::release(std::string const& worker, task_id const& task)
{
    pool_worker* place = this->find(worker);
    if (place == nullptr)
    {
        return false;
    }
    auto found = place->allocations.find(task);
    if (found == place->allocations.end())
    {
        return false;
    }
    place->free += found->second.need;
    place->allocations.erase(found);
    return true;
}

void worker_pool::record_outcome(
    std::string const& worker, bool succeeded, time_point now)
{
    pool_worker* place = this->find(worker);
    if (place == nullptr)
    {
        return;
    }
    if (succeeded)
    {
        place->consecutive_failures = 0;
        return;
    }
    ++place->consecutive_failures;
    if (place->consecutive_failures >= rest_after_failures)
    {
        auto doublings =
            std::min(place->consecutive_failures - rest_after_failures,
                max_rest_doublings);
        place->quarantined_until = now + rest_time * (1U << doublings);
    }
}

} // namespace toucanlever
