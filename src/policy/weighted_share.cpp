#include "policy/weighted_share.hpp"

#include "policy/victim_rules.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

// A job that fits nowhere gets reserved workers after waiting this long.
constexpr std::int64_t reserve_after_us = 1'000'000;
// Maximum number of a customer's jobs that are tried, in order, until one fits.
constexpr int backfill_depth = 8;
// Bounds the comparisons of `known_not_to_fit`.
constexpr std::size_t max_misfits = 32;
// Workers compared to spread a service over racks.
constexpr std::size_t spread_candidates = 16;
// Workers examined for each reserved worker.
constexpr std::size_t reserve_candidates = 64;
// At most one worker in this many is reserved for jobs that fit nowhere, but a
// first reservation is always allowed.
constexpr std::size_t workers_per_reserved = 8;
// Maximum number of workers reserved by preemption at a time.
constexpr std::size_t max_preempting_slots = 64;
// Time to wait for another scheduler to free capacity: longer than a request, a
// checkpoint and the lease renewal that reports it, and short enough for a
// second attempt within the 4.8 s start deadline of urgent work.
constexpr std::int64_t borrow_timeout_us = 2'000'000;
// Number of customers, lowest share first, considered for preemption in their
// favour.
constexpr int max_gaining_customers = 4;

std::string rack_key(std::string const& name, view_worker const& worker)
{
    return name + "/" + worker.rack;
}

} // namespace

void weighted_share::set_batch_allowed(bool allowed)
{
    this->batch_allowed = allowed;
}

void weighted_share::set_share_preemption_allowed(bool allowed)
{
    this->share_preemption_allowed = allowed;
}

void weighted_share::remove_worker(worker_slot slot)
{
    for (reservation& each : this->reservations)
    {
        std::erase(each.slots, slot);
    }
    this->running.remove_worker(slot);
}

void weighted_share::track(running_job job, worker_slot slot)
{
    this->running.track(std::move(job), slot);
}

void weighted_share::untrack(std::string const& job_id)
{
    this->running.untrack(job_id);
}

queued_job const* weighted_share::find_urgent_without_reservation() const
{
    for (auto const& entry : this->queue.by_share())
    {
        for (auto const& waiting : this->queue.customer(entry.second).urgent)
        {
            queued_job const& job = this->queue.at(waiting.second);
            if (!this->has_reservation(job.id))
            {
                return &job;
            }
        }
    }
    return nullptr;
}

std::vector<std::string> weighted_share::preempt(
    cell_view& cell, std::int64_t now_us)
{
    if (this->count_reserved_slots(true) >= max_preempting_slots)
    {
        return {};
    }
    if (queued_job const* job = this->find_urgent_without_reservation())
    {
        return this->preempt_for_urgent(cell, *job, now_us);
    }
    return this->preempt_for_share(cell, now_us);
}

/// If there is no other way, also uses workers that are reserved for jobs that
/// have waited long. Such reservations are restored if they do not help.
std::vector<std::string> weighted_share::preempt_for_urgent(
    cell_view& cell, queued_job const& job, std::int64_t now_us)
{
    auto victims =
        this->reserve_by_preemption(cell, job, urgent_rule(), now_us);
    if (!victims.empty())
    {
        return victims;
    }
    auto released = this->release_starvation_reservations(cell);
    if (released.empty())
    {
        return victims;
    }
    victims = this->reserve_by_preemption(cell, job, urgent_rule(), now_us);
    // Without a preemption, the job may fit on a released worker as it is; that
    // worker then stays free for it.
    std::uint32_t examined = 0;
    auto found = cell.find_tightest_fit(job.need, examined);
    bool fits = found.has_value() && victims.empty() && job.tasks == 1;
    worker_slot const fitting = found.value_or(0);
    for (reservation& each : released)
    {
        bool used = std::any_of(each.slots.begin(), each.slots.end(),
            [&cell, fits, fitting](worker_slot slot)
            { return cell.at(slot).held_back || (fits && slot == fitting); });
        if (!used)
        {
            this->add_reservation(cell, std::move(each));
        }
    }
    return victims;
}

/// Removes and returns the reservations of jobs that have waited long.
std::vector<weighted_share::reservation>
weighted_share::release_starvation_reservations(cell_view& cell)
{
    std::vector<reservation> released;
    for (std::size_t i = this->reservations.size(); i > 0; --i)
    {
        if (!this->reservations[i - 1].by_preemption)
        {
            released.insert(released.begin(), this->reservations[i - 1]);
            this->release(cell, i - 1);
        }
    }
    return released;
}

void weighted_share::add_reservation(cell_view& cell, reservation created)
{
    for (worker_slot slot : created.slots)
    {
        cell.hold_back(slot, true);
    }
    this->reservations.push_back(std::move(created));
}

/// Releases the reservation of a worker if it belongs to a job that has waited
/// long; false when the worker is reserved by preemption or not at all.
bool weighted_share::release_starvation_reservation(
    cell_view& cell, worker_slot slot)
{
    for (std::size_t i = 0; i < this->reservations.size(); ++i)
    {
        reservation const& each = this->reservations[i];
        bool holds = std::find(each.slots.begin(), each.slots.end(), slot) !=
                     each.slots.end();
        if (holds && !each.by_preemption)
        {
            this->release(cell, i);
            return true;
        }
    }
    return false;
}

std::vector<std::string> weighted_share::preempt_for_share(
    cell_view& cell, std::int64_t now_us)
{
    if (!this->batch_allowed || !this->share_preemption_allowed)
    {
        return {};
    }
    int tried = 0;
    for (auto const& entry : this->queue.by_share())
    {
        if (++tried > max_gaining_customers)
        {
            break;
        }
        auto victims = this->preempt_for_customer(cell, entry.second, now_us);
        if (!victims.empty())
        {
            return victims;
        }
    }
    return {};
}

/// Preempts for the first job of this customer that has no reservation yet.
std::vector<std::string> weighted_share::preempt_for_customer(
    cell_view& cell, std::string const& customer, std::int64_t now_us)
{
    share_queue::customer_state const& state = this->queue.customer(customer);
    resources gained = state.usage;
    int tried = 0;
    for (auto const& entry : state.normal)
    {
        queued_job const& job = this->queue.at(entry.second);
        gained += job.total_need();
        if (!this->has_reservation(job.id))
        {
            share_rule rule(this->queue, customer, gained, now_us);
            return this->reserve_by_preemption(cell, job, rule, now_us);
        }
        if (++tried >= backfill_depth)
        {
            break;
        }
    }
    return {};
}

/// Reserves a worker for each task and returns the jobs to stop on them. Does
/// nothing when this is not possible for all tasks or nothing has to be
/// stopped.
std::vector<std::string> weighted_share::reserve_by_preemption(cell_view& cell,
    queued_job const& job, victim_rule const& rule, std::int64_t now_us)
{
    reservation created;
    created.job = job.id;
    created.by_preemption = true;
    std::vector<std::string> victims;
    std::map<std::string, resources> lost;
    while (created.slots.size() < job.tasks)
    {
        auto set =
            this->running.find_cheapest(cell, job.need, rule, lost, now_us);
        if (!set)
        {
            break;
        }
        cell.hold_back(set->slot, true);
        created.slots.push_back(set->slot);
        for (running_job const& each : set->jobs)
        {
            lost[each.customer] += each.need;
            victims.push_back(each.id);
        }
    }
    this->reservations.push_back(created);
    if (created.slots.size() < job.tasks || victims.empty())
    {
        this->release(cell, this->reservations.size() - 1);
        return {};
    }
    return victims;
}

std::optional<borrowed_capacity> weighted_share::borrow(cell_view& cell,
    std::vector<borrowable_capacity> const& borrowable, std::int64_t now_us)
{
    queued_job const* job = this->find_urgent_without_reservation();
    bool may_borrow = job != nullptr && job->tasks == 1 &&
                      this->count_reserved_slots(true) < max_preempting_slots;
    if (!may_borrow)
    {
        return std::nullopt;
    }
    for (borrowable_capacity const& each : borrowable)
    {
        view_worker const& worker = cell.at(each.slot);
        bool usable =
            worker.present && (worker.free + each.preemptible).fits(job->need);
        if (!usable ||
            (worker.held_back &&
                !this->release_starvation_reservation(cell, each.slot)))
        {
            continue;
        }
        borrowed_capacity borrowed{
            job->id, each.slot, missing_of(job->need, worker.free)};
        this->add_reservation(
            cell, {job->id, {each.slot}, true, now_us + borrow_timeout_us});
        return borrowed;
    }
    return std::nullopt;
}

void weighted_share::release_expired(cell_view& cell, std::int64_t now_us)
{
    for (std::size_t i = this->reservations.size(); i > 0; --i)
    {
        std::int64_t until = this->reservations[i - 1].expires_at_us;
        if (until > 0 && now_us >= until)
        {
            this->release(cell, i - 1);
        }
    }
}

std::optional<placement_decision> weighted_share::place_next(
    cell_view& cell, std::int64_t now_us)
{
    this->queue.set_total(cell.total_capacity());
    if (cell.growth_generation() != this->misfits_generation)
    {
        this->misfits.clear();
        this->misfits_generation = cell.growth_generation();
    }
    if (auto preempting = this->place_reserved(cell, true))
    {
        return preempting;
    }
    this->release_expired(cell, now_us);
    if (auto urgent = this->place_next_of_class(cell, true))
    {
        return urgent;
    }
    if (auto starved = this->place_reserved(cell, false))
    {
        return starved;
    }
    if (auto normal = this->place_next_of_class(cell, false))
    {
        return normal;
    }
    this->reserve_for_starved_job(cell, now_us);
    return std::nullopt;
}

weighted_share::try_result weighted_share::place_next_of_class(
    cell_view& cell, bool urgent)
{
    for (auto const& entry : this->queue.by_share())
    {
        share_queue::customer_state const& state =
            this->queue.customer(entry.second);
        auto decision = this->try_place_customer(cell, state, urgent);
        if (decision)
        {
            this->queue.remove(decision->job.id);
            return decision;
        }
    }
    return std::nullopt;
}

weighted_share::try_result weighted_share::try_place_customer(
    cell_view& cell, share_queue::customer_state const& state, bool urgent)
{
    int tried = 0;
    for (auto const& entry : urgent ? state.urgent : state.normal)
    {
        queued_job const& job = this->queue.at(entry.second);
        bool allowed =
            this->batch_allowed || job.kind == job_kind::service || job.urgent;
        if (allowed && !this->known_not_to_fit(job))
        {
            if (auto decision = this->try_place_job(cell, job))
            {
                return decision;
            }
        }
        if (++tried >= backfill_depth)
        {
            break;
        }
    }
    return std::nullopt;
}

bool weighted_share::known_not_to_fit(queued_job const& job) const
{
    return std::any_of(this->misfits.begin(), this->misfits.end(),
        [&job](queued_job const& misfit)
        { return job.need.fits(misfit.need) && job.tasks >= misfit.tasks; });
}

weighted_share::try_result weighted_share::try_place_job(
    cell_view& cell, queued_job const& job)
{
    placement_decision decision;
    if (!this->place_tasks(cell, job, decision))
    {
        if (this->misfits.size() < max_misfits)
        {
            this->misfits.push_back(job);
        }
        return std::nullopt;
    }
    decision.job = job;
    return decision;
}

bool weighted_share::place_tasks(
    cell_view& cell, queued_job const& job, placement_decision& decision)
{
    std::uint64_t before = cell.growth_generation();
    for (std::uint32_t i = 0; i < job.tasks; ++i)
    {
        auto slot = this->choose(cell, job, decision);
        if (!slot)
        {
            for (worker_slot allocated : decision.slots)
            {
                cell.release(allocated, job.need);
            }
            // Releasing the allocations of a failed attempt does not make
            // anything fit that did not fit before.
            bool misfits_were_current = before == this->misfits_generation;
            this->misfits_generation = misfits_were_current
                                           ? cell.growth_generation()
                                           : this->misfits_generation;
            return false;
        }
        cell.allocate(*slot, job.need);
        decision.slots.push_back(*slot);
    }
    return true;
}

std::optional<worker_slot> weighted_share::choose(
    cell_view const& cell, queued_job const& job, placement_decision& decision)
{
    if (job.kind != job_kind::service)
    {
        decision.reason = "tightest-fit";
        return cell.find_tightest_fit(job.need, decision.examined);
    }
    decision.reason = "spread";
    auto found =
        cell.find_emptiest(job.need, spread_candidates, decision.examined);
    if (found.empty())
    {
        return std::nullopt;
    }
    auto count = [this, &cell, &job](worker_slot slot)
    {
        auto at = this->spread_counts.find(rack_key(job.name, cell.at(slot)));
        return at == this->spread_counts.end() ? 0U : at->second;
    };
    worker_slot best = *std::min_element(found.begin(), found.end(),
        [&count](worker_slot a, worker_slot b) { return count(a) < count(b); });
    ++this->spread_counts[rack_key(job.name, cell.at(best))];
    return best;
}

weighted_share::try_result weighted_share::place_reserved(
    cell_view& cell, bool by_preemption)
{
    for (std::size_t i = 0; i < this->reservations.size(); ++i)
    {
        reservation const reserved = this->reservations[i];
        if (reserved.by_preemption != by_preemption)
        {
            continue;
        }
        queued_job const* found = this->queue.find(reserved.job);
        bool stale = found == nullptr || reserved.slots.size() < found->tasks;
        if (stale)
        {
            this->release(cell, i);
            return this->place_reserved(cell, by_preemption);
        }
        queued_job job = *found;
        auto slots = slots_for(cell, reserved, job);
        if (slots.size() < job.tasks)
        {
            continue;
        }
        this->release(cell, i);
        placement_decision decision;
        decision.examined = job.tasks;
        decision.reason = by_preemption ? "made-room" : "reserved";
        decision.job = job;
        for (worker_slot slot : slots)
        {
            cell.allocate(slot, job.need);
        }
        decision.slots = std::move(slots);
        this->queue.remove(job.id);
        return decision;
    }
    return std::nullopt;
}

/// The reserved workers on which tasks of the job fit now, one entry per task;
/// a worker on which several tasks fit has several entries.
std::vector<worker_slot> weighted_share::slots_for(
    cell_view const& cell, reservation const& reserved, queued_job const& job)
{
    std::vector<worker_slot> slots;
    for (worker_slot slot : reserved.slots)
    {
        resources free = cell.at(slot).free;
        while (slots.size() < job.tasks && free.fits(job.need))
        {
            free -= job.need;
            slots.push_back(slot);
        }
    }
    return slots;
}

bool weighted_share::has_reservation(std::string const& job_id) const
{
    return std::any_of(this->reservations.begin(), this->reservations.end(),
        [&job_id](reservation const& each) { return each.job == job_id; });
}

/// Of each customer's first normal job, the one whose customer has the lowest
/// share, among those that may start under the preset, have waited long while
/// other jobs were placed, and have no reservation.
queued_job const* weighted_share::find_starved_job(std::int64_t now_us) const
{
    for (auto const& entry : this->queue.by_share())
    {
        share_queue::customer_state const& state =
            this->queue.customer(entry.second);
        if (state.normal.empty())
        {
            continue;
        }
        queued_job const& job = this->queue.at(state.normal.begin()->second);
        bool allowed = this->batch_allowed || job.kind == job_kind::service;
        bool old = now_us - job.queued_at_us >= reserve_after_us;
        if (allowed && old && !this->has_reservation(job.id))
        {
            return &job;
        }
    }
    return nullptr;
}

std::size_t weighted_share::count_reserved_slots(bool by_preemption) const
{
    std::size_t slots = 0;
    for (reservation const& each : this->reservations)
    {
        slots += each.by_preemption == by_preemption ? each.slots.size() : 0;
    }
    return slots;
}

void weighted_share::reserve_for_starved_job(
    cell_view& cell, std::int64_t now_us)
{
    std::size_t reserved = this->count_reserved_slots(false);
    std::size_t allowed =
        std::max<std::size_t>(1, cell.size() / workers_per_reserved);
    queued_job const* job = this->find_starved_job(now_us);
    bool within_limit =
        reserved == 0 || (job != nullptr && reserved + job->tasks <= allowed);
    // At least one worker stays outside the reservation.
    if (job == nullptr || !within_limit || cell.size() <= job->tasks)
    {
        return;
    }
    reservation created;
    created.job = job->id;
    // One task per worker: a worker drains sooner for one task than for many.
    while (created.slots.size() < job->tasks)
    {
        auto slot = cell.find_best_to_drain(job->need, reserve_candidates);
        if (!slot)
        {
            break;
        }
        cell.hold_back(*slot, true);
        created.slots.push_back(*slot);
    }
    this->reservations.push_back(created);
    if (created.slots.size() < job->tasks)
    {
        this->release(cell, this->reservations.size() - 1);
    }
}

void weighted_share::release(cell_view& cell, std::size_t index)
{
    for (worker_slot slot : this->reservations[index].slots)
    {
        cell.hold_back(slot, false);
    }
    this->reservations.erase(
        this->reservations.begin() + static_cast<std::ptrdiff_t>(index));
}

std::string weighted_share::explain(
    std::string const& job_id, cell_view const& cell) const
{
    queued_job const* found = this->queue.find(job_id);
    if (found == nullptr)
    {
        return "is not queued on this scheduler";
    }
    queued_job const& job = *found;
    if (this->has_reservation(job_id))
    {
        return "workers are reserved for it until its tasks fit on them";
    }
    if (!this->batch_allowed && job.kind != job_kind::service && !job.urgent)
    {
        return "the active preset does not start batch jobs or gangs";
    }
    std::uint32_t examined = 0;
    if (!cell.find_first_fit(job.need, examined))
    {
        return "no worker has enough free " +
               std::string(dimension_name(cell.scarcest()));
    }
    return "customers with a lower weighted share are served first";
}

std::unique_ptr<placement_policy> make_weighted_share()
{
    return std::make_unique<weighted_share>();
}

} // namespace toucanlever
