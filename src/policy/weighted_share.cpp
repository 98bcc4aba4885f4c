#include "policy/weighted_share.hpp"

#include "policy/victim_rules.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

// A job that fits nowhere gets a worker set aside after this long.
constexpr std::int64_t reserve_after_us = 1'000'000;
// Jobs of one customer that are looked at behind one that does not fit.
constexpr int backfill_depth = 8;
constexpr std::size_t max_misfits = 32;
constexpr std::size_t spread_candidates = 16;
constexpr std::size_t reserve_candidates = 64;
// At most one worker in this many is set aside for work that fits nowhere.
constexpr std::size_t reserved_part = 8;
// Workers on which room is being made at a time.
constexpr std::size_t max_room_slots = 64;
// Microseconds that room asked of another scheduler is waited for: longer than
// a request, a checkpoint and the renewal that shows it, and short enough for
// a second try within the 4.8 s of urgent work.
constexpr std::int64_t borrow_patience_us = 2'000'000;
// Customers with the least whose first jobs are looked at for making room.
constexpr int gaining_customers = 4;

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
    if (this->count_reserved_slots(true) >= max_room_slots)
    {
        return {};
    }
    if (queued_job const* job = this->find_urgent_without_reservation())
    {
        return this->preempt_for_urgent(cell, *job, now_us);
    }
    return this->preempt_for_share(cell, now_us);
}

/// Where nothing else helps, workers that are set aside for jobs that only
/// have waited long are used, too; those that do not help stay set aside.
std::vector<std::string> weighted_share::preempt_for_urgent(
    cell_view& cell, queued_job const& job, std::int64_t now_us)
{
    auto victims =
        this->reserve_by_preemption(cell, job, urgent_rule(), now_us);
    if (!victims.empty())
    {
        return victims;
    }
    auto passed_over = this->release_starvation_reservations(cell);
    if (passed_over.empty())
    {
        return victims;
    }
    victims = this->reserve_by_preemption(cell, job, urgent_rule(), now_us);
    std::uint32_t examined = 0;
    auto found = cell.find_tightest_fit(job.need, examined);
    bool fits = found.has_value() && victims.empty() && job.tasks == 1;
    worker_slot const fitting = found.value_or(0);
    for (reservation& each : passed_over)
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

/// Ends and returns the reservations of jobs that have waited long.
std::vector<weighted_share::reservation>
weighted_share::release_starvation_reservations(cell_view& cell)
{
    std::vector<reservation> taken;
    for (std::size_t i = this->reservations.size(); i > 0; --i)
    {
        if (!this->reservations[i - 1].by_preemption)
        {
            taken.insert(taken.begin(), this->reservations[i - 1]);
            this->release(cell, i - 1);
        }
    }
    return taken;
}

void weighted_share::add_reservation(cell_view& cell, reservation made)
{
    for (worker_slot slot : made.slots)
    {
        cell.hold_back(slot, true);
    }
    this->reservations.push_back(std::move(made));
}

/// Frees the worker from a job that has only waited long; false when it is
/// held for another reason.
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
    int looked = 0;
    for (auto const& entry : this->queue.by_share())
    {
        if (++looked > gaining_customers)
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

/// For the first job of this customer for which room is not being made yet.
std::vector<std::string> weighted_share::preempt_for_customer(
    cell_view& cell, std::string const& customer, std::int64_t now_us)
{
    share_queue::customer_state const& state = this->queue.customer(customer);
    resources gained = state.usage;
    int looked = 0;
    for (auto const& entry : state.normal)
    {
        queued_job const& job = this->queue.at(entry.second);
        gained += job.total_need();
        if (!this->has_reservation(job.id))
        {
            share_rule rule(this->queue, customer, gained, now_us);
            return this->reserve_by_preemption(cell, job, rule, now_us);
        }
        if (++looked >= backfill_depth)
        {
            break;
        }
    }
    return {};
}

/// Sets a worker aside for each task and says what is to be stopped there, or
/// does nothing where that cannot be had for all tasks.
std::vector<std::string> weighted_share::reserve_by_preemption(cell_view& cell,
    queued_job const& job, victim_rule const& rule, std::int64_t now_us)
{
    reservation made;
    made.job = job.id;
    made.by_preemption = true;
    std::vector<std::string> victims;
    std::map<std::string, resources> lost;
    while (made.slots.size() < job.tasks)
    {
        auto set =
            this->running.find_cheapest(cell, job.need, rule, lost, now_us);
        if (!set)
        {
            break;
        }
        cell.hold_back(set->slot, true);
        made.slots.push_back(set->slot);
        for (running_job const& each : set->jobs)
        {
            lost[each.customer] += each.need;
            victims.push_back(each.id);
        }
    }
    this->reservations.push_back(made);
    if (made.slots.size() < job.tasks || victims.empty())
    {
        this->release(cell, this->reservations.size() - 1);
        return {};
    }
    return victims;
}

std::optional<borrowed_capacity> weighted_share::borrow(cell_view& cell,
    std::vector<borrowable_capacity> const& lent, std::int64_t now_us)
{
    queued_job const* job = this->find_urgent_without_reservation();
    bool may_borrow = job != nullptr && job->tasks == 1 &&
                      this->count_reserved_slots(true) < max_room_slots;
    if (!may_borrow)
    {
        return std::nullopt;
    }
    for (borrowable_capacity const& each : lent)
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
        borrowed_capacity room{
            job->id, each.slot, missing_of(job->need, worker.free)};
        this->add_reservation(
            cell, {job->id, {each.slot}, true, now_us + borrow_patience_us});
        return room;
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
    if (auto reserved = this->place_reserved(cell, true))
    {
        return reserved;
    }
    this->release_expired(cell, now_us);
    if (auto urgent = this->place_next_of_class(cell, true))
    {
        return urgent;
    }
    if (auto reserved = this->place_reserved(cell, false))
    {
        return reserved;
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
    int looked = 0;
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
        if (++looked >= backfill_depth)
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
            for (worker_slot taken : decision.slots)
            {
                cell.release(taken, job.need);
            }
            // Giving back what was only tried makes nothing fit that did
            // not fit before.
            bool tried_only = before == this->misfits_generation;
            this->misfits_generation = tried_only ? cell.growth_generation()
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
    cell_view& cell, bool makes_room)
{
    for (std::size_t i = 0; i < this->reservations.size(); ++i)
    {
        reservation const held = this->reservations[i];
        if (held.by_preemption != makes_room)
        {
            continue;
        }
        queued_job const* found = this->queue.find(held.job);
        bool stale = found == nullptr || held.slots.size() < found->tasks;
        if (stale)
        {
            this->release(cell, i);
            return this->place_reserved(cell, makes_room);
        }
        queued_job job = *found;
        auto slots = slots_for(cell, held, job);
        if (slots.size() < job.tasks)
        {
            continue;
        }
        this->release(cell, i);
        placement_decision decision;
        decision.examined = job.tasks;
        decision.reason = makes_room ? "made-room" : "reserved";
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

/// As many of the set-aside workers as have room for a task, a worker as
/// often as it has room.
std::vector<worker_slot> weighted_share::slots_for(
    cell_view const& cell, reservation const& held, queued_job const& job)
{
    std::vector<worker_slot> slots;
    for (worker_slot slot : held.slots)
    {
        resources room = cell.at(slot).free;
        while (slots.size() < job.tasks && room.fits(job.need))
        {
            room -= job.need;
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

/// The first job of the customer with the lowest share, when it has waited
/// and was passed over for work that fits.
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

std::size_t weighted_share::count_reserved_slots(bool makes_room) const
{
    std::size_t slots = 0;
    for (reservation const& each : this->reservations)
    {
        slots += each.by_preemption == makes_room ? each.slots.size() : 0;
    }
    return slots;
}

void weighted_share::reserve_for_starved_job(
    cell_view& cell, std::int64_t now_us)
{
    std::size_t held = this->count_reserved_slots(false);
    std::size_t allowed = std::max<std::size_t>(1, cell.size() / reserved_part);
    queued_job const* job = this->find_starved_job(now_us);
    bool room = held == 0 || (job != nullptr && held + job->tasks <= allowed);
    if (job == nullptr || !room || cell.size() <= job->tasks)
    {
        return;
    }
    reservation made;
    made.job = job->id;
    // One task each: a worker makes room for one sooner than for many.
    while (made.slots.size() < job->tasks)
    {
        auto slot = cell.find_best_to_drain(job->need, reserve_candidates);
        if (!slot)
        {
            break;
        }
        cell.hold_back(*slot, true);
        made.slots.push_back(*slot);
    }
    this->reservations.push_back(made);
    if (made.slots.size() < job->tasks)
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
        return "does not wait here";
    }
    queued_job const& job = *found;
    if (this->has_reservation(job_id))
    {
        return "workers are set aside for it";
    }
    if (!this->batch_allowed && job.kind != job_kind::service && !job.urgent)
    {
        return "the preset in force starts no batch work";
    }
    std::uint32_t examined = 0;
    if (!cell.find_first_fit(job.need, examined))
    {
        return "no worker has enough free " +
               std::string(dimension_name(cell.scarcest()));
    }
    return "customers with a lower share go first";
}

std::unique_ptr<placement_policy> make_weighted_share()
{
    return std::make_unique<weighted_share>();
}

} // namespace toucanlever
