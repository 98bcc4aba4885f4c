#include "policy/preemption_index.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

// Workers compared for the least that is interrupted, of so many looked at.
constexpr std::size_t victim_candidates = 8;
constexpr std::size_t victim_workers = 64;

} // namespace

void preemption_index::track(running_job job, worker_slot slot)
{
    this->slot_of[job.id] = slot;
    this->by_slot[slot].push_back(std::move(job));
}

void preemption_index::untrack(std::string const& job_id)
{
    auto found = this->slot_of.find(job_id);
    if (found == this->slot_of.end())
    {
        return;
    }
    std::erase_if(this->by_slot[found->second],
        [&job_id](running_job const& job) { return job.id == job_id; });
    this->slot_of.erase(found);
}

void preemption_index::remove_worker(worker_slot slot)
{
    for (running_job const& job : this->by_slot[slot])
    {
        this->slot_of.erase(job.id);
    }
    this->by_slot.erase(slot);
}

resources preemption_index::max_reclaimable(cell_view const& cell) const
{
    resources most{};
    for (auto const& entry : this->by_slot)
    {
        view_worker const& worker = cell.at(entry.first);
        if (!worker.present || worker.held_back)
        {
            continue;
        }
        resources room = worker.free;
        for (running_job const& job : entry.second)
        {
            room += job.need;
        }
        most.cpu_millis = std::max(most.cpu_millis, room.cpu_millis);
        most.memory_bytes = std::max(most.memory_bytes, room.memory_bytes);
        most.accelerators = std::max(most.accelerators, room.accelerators);
    }
    return most;
}

std::optional<victim_set> preemption_index::victims_on(cell_view const& cell,
    worker_slot slot, resources const& need, victim_rule const& rule,
    std::map<std::string, resources> lost, std::int64_t now_us) const
{
    view_worker const& worker = cell.at(slot);
    bool usable =
        worker.present && !worker.held_back && worker.capacity.fits(need);
    if (!usable)
    {
        return std::nullopt;
    }
    victim_set set;
    set.slot = slot;
    resources room = worker.free;
    auto running = this->by_slot.find(slot);
    if (running == this->by_slot.end())
    {
        return room.fits(need) ? std::optional(set) : std::nullopt;
    }
    // Youngest first: they have done the least.
    for (auto each = running->second.rbegin();
         each != running->second.rend() && !room.fits(need); ++each)
    {
        resources sum = lost[each->customer] + each->need;
        if (rule.may_stop(*each, sum))
        {
            lost[each->customer] = sum;
            room += each->need;
            set.jobs.push_back(*each);
            set.lost_work += static_cast<double>(now_us - each->started_us) *
                             static_cast<double>(each->need.cpu_millis);
        }
    }
    return room.fits(need) ? std::optional(set) : std::nullopt;
}

std::optional<victim_set> preemption_index::find_cheapest(cell_view const& cell,
    resources const& need, victim_rule const& rule,
    std::map<std::string, resources> const& lost, std::int64_t now_us)
{
    std::optional<victim_set> best;
    std::size_t slots = std::min(cell.slot_count(), victim_workers);
    std::size_t found = 0;
    for (std::size_t i = 0; i < slots && found < victim_candidates; ++i)
    {
        auto slot =
            static_cast<worker_slot>((this->next_slot + i) % cell.slot_count());
        auto set = this->victims_on(cell, slot, need, rule, lost, now_us);
        if (set)
        {
            ++found;
            if (!best || set->lost_work < best->lost_work)
            {
                best = std::move(set);
            }
        }
    }
    this->next_slot = static_cast<worker_slot>(this->next_slot + slots);
    if (best)
    {
        this->next_slot = best->slot + 1;
    }
    return best;
}

} // namespace toucanlever
