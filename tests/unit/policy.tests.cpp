#include "toucanlever/policy/placement_policy.hpp"

#include "toucanlever/control/worker_health.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <map>
#include <pcg_random.hpp>

using namespace toucanlever;

namespace
{

constexpr std::int64_t gib = std::int64_t(1) << 30;

queued_job make_job(std::string const& id, std::string const& customer,
    std::int64_t cpu, std::int64_t queued_us = 0)
{
    queued_job job;
    job.id = id;
    job.customer = customer;
    job.need = {cpu, gib, 0};
    job.queued_at_us = queued_us;
    return job;
}

void add_workers(cell_view& cell, int count, std::int64_t cpu)
{
    for (int i = 0; i < count; ++i)
    {
        resources whole{cpu, 128 * gib, 0};
        cell.add("w" + std::to_string(i), "a", "rack-" + std::to_string(i / 4),
            whole, whole);
    }
}

} // namespace

Test(cell_view, giving_more_than_a_worker_has_is_refused)
{
    cell_view cell;
    add_workers(cell, 1, 4000);
    cell.allocate(0, {3000, gib, 0});
    try
    {
        cell.allocate(0, {1001, gib, 0});
        cr_assert(false);
    }
    catch (std::logic_error const&)
    {
    }
    cr_assert(cell.at(0).free.cpu_millis == 1000);
}

Test(cell_view, the_index_agrees_with_a_scan_through_random_changes)
{
    pcg32 random(7);
    cell_view cell;
    std::map<worker_slot, resources> free;
    for (int i = 0; i < 200; ++i)
    {
        resources whole{static_cast<std::int64_t>(random(32) + 1) * 1000,
            static_cast<std::int64_t>(random(64) + 1) * gib, random(3)};
        worker_slot slot =
            cell.add("w" + std::to_string(i), "a", "r", whole, whole);
        free[slot] = whole;
    }
    for (int round = 0; round < 5000; ++round)
    {
        resources need{static_cast<std::int64_t>(random(16) + 1) * 1000,
            static_cast<std::int64_t>(random(32) + 1) * gib, random(2)};
        std::uint32_t examined = 0;
        auto found = cell.find_tightest_fit(need, examined);
        bool any = std::any_of(free.begin(), free.end(),
            [&need](auto const& entry) { return entry.second.fits(need); });
        cr_assert(any == found.has_value());
        cr_assert(examined <= 17U);
        if (found)
        {
            cr_assert(free[*found].fits(need));
            cell.allocate(*found, need);
            free[*found] -= need;
        }
        worker_slot other = random(200);
        resources back = cell.at(other).capacity;
        if (random(3) == 0)
        {
            cell.set_free(other, back);
            free[other] = back;
        }
    }
}

Test(weighted_share, a_customer_with_twice_the_weight_gets_twice_the_room)
{
    auto policy = make_weighted_share();
    cell_view cell;
    add_workers(cell, 3, 10000);
    policy->set_weights({{"a", 2}, {"b", 1}});
    for (int i = 0; i < 60; ++i)
    {
        policy->enqueue(make_job("a" + std::to_string(i), "a", 1000));
        policy->enqueue(make_job("b" + std::to_string(i), "b", 1000));
    }
    std::map<std::string, int> placed;
    while (auto decision = policy->place_next(cell, 0))
    {
        policy->add_usage(decision->job.customer, decision->job.need);
        ++placed[decision->job.customer];
    }
    cr_assert(placed["a"] == 20);
    cr_assert(placed["b"] == 10);
}

Test(weighted_share, room_that_one_customer_leaves_goes_to_the_other)
{
    auto policy = make_weighted_share();
    cell_view cell;
    add_workers(cell, 1, 10000);
    policy->set_weights({{"a", 9}, {"b", 1}});
    for (int i = 0; i < 20; ++i)
    {
        policy->enqueue(make_job("b" + std::to_string(i), "b", 1000));
    }
    int placed = 0;
    while (auto decision = policy->place_next(cell, 0))
    {
        policy->add_usage(decision->job.customer, decision->job.need);
        ++placed;
    }
    cr_assert(placed == 10);
}

Test(weighted_share, urgent_work_goes_first_whatever_its_customers_share)
{
    auto policy = make_weighted_share();
    cell_view cell;
    add_workers(cell, 1, 10000);
    policy->enqueue(make_job("batch", "a", 1000));
    auto urgent = make_job("urgent", "b", 1000);
    urgent.urgent = true;
    policy->add_usage("b", {9000, gib, 0});
    policy->enqueue(urgent);
    cr_assert(policy->place_next(cell, 0)->job.id == "urgent");
}

Test(weighted_share, a_gang_takes_room_for_all_tasks_or_for_none)
{
    auto policy = make_weighted_share();
    cell_view cell;
    add_workers(cell, 3, 4000);
    auto gang = make_job("gang", "a", 3000);
    gang.kind = job_kind::gang;
    gang.tasks = 4;
    policy->enqueue(gang);
    cr_assert(not policy->place_next(cell, 0));
    cr_assert(cell.total_free() == cell.total_capacity());
    add_workers(cell, 1, 4000);
    cr_assert(policy->place_next(cell, 0)->slots.size() == 4U);
}

Test(weighted_share, a_large_job_is_not_starved_by_small_ones)
{
    auto policy = make_weighted_share();
    cell_view cell;
    add_workers(cell, 4, 4000);
    std::int64_t now = 0;
    int next_id = 0;
    std::vector<placement_decision> running;
    policy->enqueue(make_job("large", "a", 4000));
    for (int round = 0; round < 400; ++round)
    {
        now += 100'000;
        while (policy->size() < 20)
        {
            policy->enqueue(
                make_job("s" + std::to_string(next_id++), "a", 1000, now));
        }
        while (auto decision = policy->place_next(cell, now))
        {
            if (decision->job.id == "large")
            {
                return;
            }
            running.push_back(*decision);
        }
        // One small job in four ends each round.
        for (int i = 0; i < 4 && not running.empty(); ++i)
        {
            std::size_t at =
                static_cast<std::size_t>(round * 7 + i * 5) % running.size();
            cell.release(running[at].slots[0], running[at].job.need);
            running.erase(running.begin() + static_cast<long>(at));
        }
    }
    cr_assert(false, "the large job never started");
}

Test(weighted_share, services_spread_over_racks)
{
    auto policy = make_weighted_share();
    cell_view cell;
    add_workers(cell, 8, 32000);
    std::map<std::string, int> racks;
    for (int i = 0; i < 4; ++i)
    {
        auto job = make_job("svc" + std::to_string(i), "a", 1000);
        job.kind = job_kind::service;
        job.name = "listener";
        policy->enqueue(job);
        auto decision = policy->place_next(cell, 0);
        ++racks[cell.at(decision->slots[0]).rack];
    }
    cr_assert(racks["rack-0"] == 2);
    cr_assert(racks["rack-1"] == 2);
}

Test(weighted_share, a_preset_without_batch_keeps_batch_waiting)
{
    auto policy = make_weighted_share();
    cell_view cell;
    add_workers(cell, 1, 4000);
    policy->enqueue(make_job("batch", "a", 1000));
    policy->set_batch_allowed(false);
    cr_assert(not policy->place_next(cell, 0));
    policy->set_batch_allowed(true);
    cr_assert(policy->place_next(cell, 0).has_value());
}

Test(weighted_share, a_removed_job_is_never_placed)
{
    auto policy = make_weighted_share();
    cell_view cell;
    add_workers(cell, 1, 4000);
    policy->enqueue(make_job("one", "a", 1000));
    cr_assert(policy->remove("one"));
    cr_assert(not policy->remove("one"));
    cr_assert(not policy->place_next(cell, 0));
}

Test(worker_health, a_worker_that_fails_different_jobs_is_suspected)
{
    worker_health health;
    cr_assert(health.record_failure("w1", "job-1"));
    cr_assert(health.record_failure("w1", "job-1"));
    cr_assert(health.record_failure("w1", "job-1"));
    cr_assert(not health.is_suspected("w1"));
    cr_assert(health.record_failure("w1", "job-2"));
    cr_assert(not health.record_failure("w1", "job-3"));
    cr_assert(health.is_suspected("w1"));
    cr_assert(health.record_success("w1"));
    cr_assert(not health.is_suspected("w1"));
}

Test(weighted_share, urgent_work_that_fits_nowhere_stops_the_youngest_batch)
{
    auto policy = make_weighted_share();
    cell_view cell;
    add_workers(cell, 2, 4000);
    for (int i = 0; i < 4; ++i)
    {
        policy->enqueue(make_job("b" + std::to_string(i), "a", 2000));
        auto decision = policy->place_next(cell, i);
        policy->track({decision->job.id, decision->job.customer,
                          decision->job.need, i * 1000},
            decision->slots[0]);
    }
    auto urgent = make_job("urgent", "b", 2000);
    urgent.urgent = true;
    policy->enqueue(urgent);
    cr_assert(not policy->place_next(cell, 9000));
    auto victims = policy->preempt(cell, 9000);
    cr_assert(victims.size() == 1U);
    cr_assert(victims[0] == "b3");
    cr_assert(policy->preempt(cell, 9000).empty());
    policy->enqueue(make_job("later", "a", 1000));
    policy->untrack("b3");
    cell.release(1, {2000, gib, 0});
    cr_assert(policy->place_next(cell, 9500)->job.id == "urgent");
}

namespace
{

/// One worker of eight cores, full of a customer's batch jobs of two cores
/// that run for two seconds already.
class full_worker
{
public:
    full_worker()
    {
        add_workers(this->cell, 1, 8000);
        for (int i = 0; i < 4; ++i)
        {
            this->policy->enqueue(make_job("b" + std::to_string(i), "a", 2000));
            auto decision = this->policy->place_next(this->cell, i);
            this->policy->add_usage("a", decision->job.need);
            this->policy->track({decision->job.id, "a", decision->job.need, i},
                decision->slots[0]);
        }
    }

    std::vector<std::string> preempt()
    {
        cr_assert(not this->policy->place_next(this->cell, now_us));
        return this->policy->preempt(this->cell, now_us);
    }

    static constexpr std::int64_t now_us = 2'000'000;
    std::unique_ptr<placement_policy> policy = make_weighted_share();
    cell_view cell;
};

} // namespace

Test(weighted_share, a_customer_with_less_than_its_part_gets_room_made)
{
    full_worker bench;
    bench.policy->enqueue(make_job("one", "b", 2000));
    bench.policy->enqueue(make_job("two", "b", 2000));
    bench.policy->enqueue(make_job("three", "b", 2000));

    auto first = bench.preempt();

    cr_assert(eq(sz, first.size(), 1));
    cr_assert(first[0] == "b3");
    // The one worker is set aside; more is asked of it when that is placed.
    cr_assert(bench.preempt().empty());
}

Test(weighted_share, nobody_is_made_to_give_more_than_the_gaining_one_has)
{
    full_worker bench;
    // Three quarters would be more than what is left to the other.
    bench.policy->enqueue(make_job("large", "b", 6000));

    cr_assert(bench.preempt().empty());
}

Test(weighted_share, what_has_just_begun_is_not_stopped_for_shares)
{
    full_worker bench;
    for (int i = 0; i < 4; ++i)
    {
        std::string id = "b" + std::to_string(i);
        bench.policy->untrack(id);
        bench.policy->track(
            {id, "a", {2000, gib, 0}, full_worker::now_us - 1000}, 0);
    }
    bench.policy->enqueue(make_job("one", "b", 2000));

    cr_assert(bench.preempt().empty());
}

Test(weighted_share, a_preset_may_keep_running_work_running)
{
    full_worker bench;
    bench.policy->set_share_preemption_allowed(false);
    bench.policy->enqueue(make_job("one", "b", 2000));

    cr_assert(bench.preempt().empty());
}

Test(weighted_share, room_for_a_gang_is_made_on_all_its_workers_or_on_none)
{
    auto policy = make_weighted_share();
    cell_view cell;
    add_workers(cell, 3, 4000);
    for (int i = 0; i < 3; ++i)
    {
        std::string id = "b" + std::to_string(i);
        policy->enqueue(make_job(id, "a", 4000));
        auto decision = policy->place_next(cell, i);
        policy->add_usage("a", decision->job.need);
        policy->track({id, "a", decision->job.need, i}, decision->slots[0]);
    }
    auto gang = make_job("gang", "b", 4000);
    gang.kind = job_kind::gang;
    gang.tasks = 2;
    gang.queued_at_us = full_worker::now_us;
    policy->enqueue(gang);
    cr_assert(not policy->place_next(cell, full_worker::now_us));
    // Two thirds against one third: not for its share.
    cr_assert(policy->preempt(cell, full_worker::now_us).empty());

    policy->set_weights({{"b", 4}});
    cr_assert(not policy->place_next(cell, full_worker::now_us));
    cr_assert(eq(sz, policy->preempt(cell, full_worker::now_us).size(), 2));
}

namespace
{

/// Two workers of four cores whose tasks another scheduler owns, and an urgent
/// job of two cores.
class foreign_cell
{
public:
    foreign_cell()
    {
        add_workers(this->cell, 2, 4000);
        this->cell.set_free(0, {1000, 127 * gib, 0});
        this->cell.set_free(1, {0, 127 * gib, 0});
        auto job = make_job("urgent", "b", 2000);
        job.urgent = true;
        this->policy->enqueue(job);
        cr_assert(not this->policy->place_next(this->cell, 0));
        cr_assert(this->policy->preempt(this->cell, 0).empty());
    }

    std::optional<borrowed_capacity> borrow(std::int64_t now_us)
    {
        return this->policy->borrow(this->cell, this->lent, now_us);
    }

    std::unique_ptr<placement_policy> policy = make_weighted_share();
    cell_view cell;
    std::vector<borrowable_capacity> lent{{0, {3000, gib, 0}}};
};

} // namespace

Test(weighted_share, urgent_work_borrows_room_that_only_another_can_make)
{
    foreign_cell bench;

    auto room = bench.borrow(0);

    cr_assert(room.has_value());
    cr_assert(eq(str, room->job, "urgent"));
    cr_assert(eq(u32, room->slot, 0));
    // One core is free already.
    resources const expected{1000, 0, 0};
    cr_assert(room->missing == expected);
    cr_assert(not bench.policy->needs_capacity());
    cr_assert(bench.policy->awaits_capacity("urgent"));

    bench.policy->enqueue(make_job("batch", "a", 1000));
    bench.cell.set_free(0, {2000, gib, 0});
    cr_assert(
        eq(str, bench.policy->place_next(bench.cell, 1000)->job.id, "urgent"));
}

Test(weighted_share, room_that_does_not_come_is_borrowed_elsewhere)
{
    foreign_cell bench;
    cr_assert(bench.borrow(0).has_value());
    cr_assert(not bench.borrow(1'000'000).has_value());

    cr_assert(not bench.policy->place_next(bench.cell, 3'000'000));
    bench.lent = {{1, {4000, gib, 0}}};
    auto room = bench.borrow(3'000'000);

    cr_assert(room.has_value());
    cr_assert(eq(u32, room->slot, 1));
}

Test(weighted_share, only_urgent_work_that_the_lent_room_suffices_for_borrows)
{
    foreign_cell bench;
    bench.lent = {{0, {500, gib, 0}}};
    cr_assert(not bench.borrow(0).has_value());
    cr_assert(bench.policy->needs_capacity());

    bench.policy->remove("urgent");
    bench.policy->enqueue(make_job("batch", "b", 2000));
    bench.lent = {{0, {4000, gib, 0}}};
    cr_assert(not bench.policy->place_next(bench.cell, 0));
    cr_assert(not bench.borrow(0).has_value());
}

Test(weighted_share, urgent_work_has_batch_stopped_on_a_worker_set_aside)
{
    auto policy = make_weighted_share();
    cell_view cell;
    add_workers(cell, 1, 4000);
    // Too small for the large job, and full of what cannot be stopped.
    cell.add("small", "a", "rack-9", {2000, 8 * gib, 0}, {0, gib, 0});
    policy->set_share_preemption_allowed(false);
    policy->enqueue(make_job("running", "a", 4000));
    auto first = policy->place_next(cell, 0);
    policy->track({"running", "a", first->job.need, 0}, first->slots[0]);
    policy->enqueue(make_job("large", "a", 4000));
    cr_assert(not policy->place_next(cell, 2'000'000));
    cr_assert(cell.at(first->slots[0]).held_back);

    auto urgent = make_job("urgent", "b", 2000);
    urgent.urgent = true;
    policy->enqueue(urgent);
    cr_assert(not policy->place_next(cell, 2'000'000));
    auto victims = policy->preempt(cell, 2'000'000);

    cr_assert(eq(sz, victims.size(), 1));
    cr_assert(policy->awaits_capacity("urgent"));
    cr_assert(not policy->awaits_capacity("large"));
}

Test(weighted_share, urgent_work_that_nothing_helps_leaves_workers_set_aside)
{
    auto policy = make_weighted_share();
    cell_view cell;
    add_workers(cell, 2, 4000);
    cell.set_free(0, {2000, 127 * gib, 0});
    cell.set_free(1, {0, 127 * gib, 0});
    policy->enqueue(make_job("large", "a", 4000));
    // Nothing that runs can be stopped, and it fits no worker as it is.
    auto urgent = make_job("urgent", "b", 3000);
    urgent.urgent = true;
    policy->enqueue(urgent);

    for (std::int64_t now = 2'000'000; now < 4'000'000; now += 500'000)
    {
        cr_assert(not policy->place_next(cell, now));
        cr_assert(policy->preempt(cell, now).empty());
        cr_assert(policy->awaits_capacity("large"));
    }
}

Test(weighted_share, urgent_work_takes_free_room_of_a_worker_set_aside)
{
    auto policy = make_weighted_share();
    cell_view cell;
    add_workers(cell, 2, 4000);
    cell.set_free(0, {2000, 127 * gib, 0});
    cell.set_free(1, {0, 127 * gib, 0});
    policy->enqueue(make_job("large", "a", 4000));
    cr_assert(not policy->place_next(cell, 2'000'000));
    cr_assert(policy->awaits_capacity("large"));

    auto urgent = make_job("urgent", "b", 2000);
    urgent.urgent = true;
    policy->enqueue(urgent);
    cr_assert(not policy->place_next(cell, 2'000'000));
    cr_assert(policy->preempt(cell, 2'000'000).empty());
    auto decision = policy->place_next(cell, 2'500'000);

    cr_assert(decision.has_value());
    cr_assert(eq(str, decision->job.id, "urgent"));
}

Test(weighted_share, urgent_work_borrows_room_on_a_worker_set_aside)
{
    auto policy = make_weighted_share();
    cell_view cell;
    add_workers(cell, 2, 4000);
    cell.set_free(0, {1000, 127 * gib, 0});
    cell.set_free(1, {0, 127 * gib, 0});
    policy->enqueue(make_job("large", "a", 4000));
    cr_assert(not policy->place_next(cell, 2'000'000));
    cr_assert(cell.at(0).held_back);

    auto urgent = make_job("urgent", "b", 2000);
    urgent.urgent = true;
    policy->enqueue(urgent);
    cr_assert(not policy->place_next(cell, 2'000'000));
    cr_assert(policy->preempt(cell, 2'000'000).empty());
    auto room = policy->borrow(cell, {{0, {3000, gib, 0}}}, 2'000'000);

    cr_assert(room.has_value());
    cr_assert(eq(u32, room->slot, 0));
    cr_assert(not policy->awaits_capacity("large"));
}
