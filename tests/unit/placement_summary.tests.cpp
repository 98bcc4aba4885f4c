/// Tests where the summary finds the capacity of a cell.
#include "toucanlever/cell/placement_summary.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

constexpr std::uint64_t last_pass = 4;

struct summary_fixture
{
    pool_worker& add_worker(std::string const& id)
    {
        worker_entry entry;
        entry.id = id;
        entry.service = "s";
        entry.capacity = {4000, 4096, 0};
        pool_worker& worker = this->pool.put(entry);
        worker.reconciled = true;
        worker.recorded = true;
        return worker;
    }

    void allocate(pool_worker& worker, std::string const& job,
        std::int64_t cpu_millis, allocation_phase phase)
    {
        task_allocation wanted;
        wanted.need = {cpu_millis, 1, 0};
        wanted.phase = phase;
        this->pool.allocate(worker, task_id{{job, 0, 0}, 0}, wanted);
    }

    capacity_by_state summarize(std::vector<resources> const& waiting) const
    {
        return {this->pool, waiting, last_pass, this->time.now()};
    }

    manual_clock time;
    worker_pool pool;
};

} // namespace

Test(placement_summary, counts_all_capacity_once)
{
    summary_fixture fixture;
    pool_worker& busy = fixture.add_worker("busy");
    fixture.allocate(busy, "a", 1000, allocation_phase::running);
    fixture.allocate(busy, "b", 500, allocation_phase::starting);
    fixture.allocate(busy, "c", 700, allocation_phase::reserved);
    fixture.allocate(busy, "d", 800, allocation_phase::stopping);
    fixture.add_worker("held").held_back_in_pass = last_pass;
    fixture.add_worker("silent").silent = true;
    fixture.add_worker("free");
    capacity_by_state found = fixture.summarize({{2000, 1, 0}});
    cr_assert(found.of(capacity_state::running) == 1500);
    cr_assert(found.of(capacity_state::reserved) == 700);
    cr_assert(found.of(capacity_state::stopping) == 800);
    cr_assert(found.of(capacity_state::too_small) == 1000);
    cr_assert(found.of(capacity_state::held_back) == 4000);
    cr_assert(found.of(capacity_state::unusable) == 4000);
    cr_assert(found.of(capacity_state::open) == 4000);
    cr_assert(found.of(capacity_state::idle) == 0);
    cr_assert(found.total() == 16000);
}

Test(placement_summary, free_capacity_is_idle_while_nothing_waits)
{
    summary_fixture fixture;
    fixture.add_worker("free");
    cr_assert(fixture.summarize({}).of(capacity_state::idle) == 4000);
}

Test(placement_summary, a_worker_held_back_in_an_earlier_pass_is_open)
{
    summary_fixture fixture;
    fixture.add_worker("once-held").held_back_in_pass = last_pass - 1;
    cr_assert(
        fixture.summarize({{1000, 1, 0}}).of(capacity_state::open) == 4000);
}
