/// How often and in which passes waiting steps are planned, in virtual time.
/// No step starts: what runs is tested with the dispatcher.
#include "toucanlever/cell/step_planner.hpp"

#include "fake_record_store.hpp"
#include "fake_workers.hpp"

#include "toucanlever/core/metrics.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

/// Each reading takes as long as the test says.
class slow_clock final : public clock
{
public:
    time_point now() const override
    {
        this->time.advance(this->reading);
        return this->time.now();
    }

    mutable manual_clock time;
    microseconds reading{0};
};

class no_advice final : public placement_advice
{
public:
    void request_advice(
        step_id const&, std::vector<std::string> const&, callback) override
    {
        ++this->calls;
    }

    int calls = 0;
};

/// A planner and one worker, whose capacity is in use.
class planner_fixture
{
public:
    planner_fixture()
    {
        worker_entry entry;
        entry.id = "w";
        entry.service = "s";
        entry.capacity = {4000, 1 << 20, 0};
        pool_worker& worker = this->state.pool.put(entry);
        worker.reconciled = true;
        worker.recorded = true;
        worker.free.cpu_millis = 500;
        this->planner.enable();
    }

    registry_step& add(std::string const& id, std::int64_t target_ms,
        std::function<void(work_record&)> const& change = {})
    {
        work_record record;
        record.id = id;
        record.queue.service = "s";
        record.queue.priority = 1;
        record.queue.target_ms = target_ms;
        record.accepted_ms = wall_time_ms();
        record.steps.emplace_back().need = {1000, 1024, 0};
        if (change)
        {
            change(record);
        }
        this->state.registry.add(record, 1, 0, this->loop.now());
        return *this->state.registry.find(step_id{id, 0, 0});
    }

    /// One pass.
    void plan()
    {
        this->planner.schedule_pass();
        this->time.time.advance(milliseconds(10));
        this->loop.run_ready();
    }

    /// The passes in which the step is planned, of as many.
    int plannings(registry_step const& step, int passes)
    {
        int count = 0;
        for (int i = 0; i < passes; ++i)
        {
            time_point before = step.planning.planned_at;
            this->plan();
            count += step.planning.planned_at != before ? 1 : 0;
        }
        return count;
    }

    slow_clock time;
    event_loop loop{time};
    fake_record_store store{loop};
    fake_workers workers{loop};
    no_advice advice;
    member_links members{loop, "self"};
    advice_broker broker{loop, advice, members};
    queue_directory queues;
    no_heartbeat heartbeat;
    dispatch_state state{
        dispatcher_dependencies{loop, store, workers, broker, queues, "listed",
            [](std::string const&, std::string const&)
            { return std::optional<worker_entry>(); },
            [] { return true; }, milliseconds(1300), heartbeat,
            [] { return time_point::max(); }, milliseconds(60000), false},
        leader_proof{1, 1}, [](std::string const&) {}, [] {},
        [this] { return this->loop.now(); }, [] { return true; }, {}, {}, {},
        {}, {}};
    worker_roster roster{state, [] {}};
    task_orders orders{state, roster};
    reserved_task_starter starter{state, orders};
    placement_log log{state};
    step_planner planner{state, roster, orders, starter, log};
};

constexpr std::int64_t in_time_ms = 600000;

} // namespace

Test(step_planner, only_steps_that_can_be_in_time_are_planned_in_each_pass)
{
    // Hundreds of late steps, planned every 8 ms, keep the leader busy.
    planner_fixture fixture;
    registry_step const& in_time = fixture.add("in-time", in_time_ms);
    registry_step const& late = fixture.add("late", -1);
    cr_assert(fixture.plannings(in_time, 20) == 20);
    int planned = fixture.plannings(late, 100);
    cr_assert(planned >= 9 && planned <= 11);
}

Test(step_planner, a_delayed_step_is_planned_again_without_an_event)
{
    // The event that freed its capacity may have come while it was not due.
    planner_fixture fixture;
    registry_step const& late = fixture.add("late", -1);
    fixture.plan();
    time_point const before = late.planning.planned_at;
    for (int i = 0; i < 12; ++i)
    {
        fixture.time.time.advance(milliseconds(10));
        fixture.loop.run_ready();
    }
    cr_assert(late.planning.planned_at > before);
}

Test(step_planner, a_returned_task_makes_its_step_due_at_once)
{
    planner_fixture fixture;
    registry_step const& late = fixture.add("late", -1);
    cr_assert(fixture.plannings(late, 5) == 1);
    fixture.state.registry.mark_placed({late.id, 0}, 1, "elsewhere");
    fixture.state.registry.mark_unplaced({late.id, 0});
    cr_assert(fixture.plannings(late, 1) == 1);
}

Test(step_planner, a_step_is_not_planned_while_it_waits_for_its_advice)
{
    planner_fixture fixture;
    registry_step& step = fixture.add("a", in_time_ms,
        [](work_record& record) { record.queue.advice.required = true; });
    fixture.state.pool.find("w")->free.cpu_millis = 4000;
    cr_assert(fixture.plannings(step, 50) == 1);
    cr_assert(step.advice.pending);
    cr_assert(fixture.advice.calls == 1);
    step.advice.pending = false;
    cr_assert(fixture.plannings(step, 1) == 1);
}

Test(step_planner, steps_that_cannot_be_placed_cost_no_search)
{
    // A search examines all workers for each step.
    planner_fixture fixture;
    for (int i = 0; i < 100; ++i)
    {
        fixture.add("label-" + std::to_string(i), in_time_ms,
            [](work_record& record)
            {
                record.steps.front().required_label = "none-has-it";
                record.steps.front().need.cpu_millis = 0;
            });
        fixture.add("large-" + std::to_string(i), in_time_ms);
    }
    fixture.plan();
    std::string const text = metrics().prometheus();
    cr_assert(text.find("placement_searches 0") != std::string::npos, "%s",
        text.c_str());
}

Test(step_planner, a_pass_ends_in_time_and_the_next_one_continues)
{
    // Steps at the end of the order are reached although no pass has time for
    // all, and an urgent one does not wait for the end of the round.
    planner_fixture fixture;
    std::vector<registry_step const*> steps;
    for (int i = 0; i < 200; ++i)
    {
        steps.push_back(&fixture.add("s" + std::to_string(i), in_time_ms));
    }
    registry_step const& urgent = fixture.add("urgent", in_time_ms,
        [](work_record& record) { record.queue.priority = 0; });
    fixture.time.reading = microseconds(100);
    auto count = [&steps]
    {
        return std::count_if(steps.begin(), steps.end(),
            [](registry_step const* step)
            { return step->planning.planned_at != time_point{}; });
    };
    fixture.plan();
    cr_assert(count() > 8 && count() < 100);
    cr_assert(fixture.plannings(urgent, 10) == 10);
    cr_assert(count() == 200);
}

Test(step_planner, workers_held_for_a_gang_stay_held_between_its_plannings)
{
    // A gang that is planned every 100 ms would lose its workers to later
    // steps in the passes between.
    planner_fixture fixture;
    registry_step const& gang = fixture.add("gang", -1,
        [](work_record& record)
        {
            record.steps.front().gang = true;
            record.steps.front().tasks = 4;
        });
    fixture.plan();
    registry_step const& later = fixture.add("later", -1,
        [](work_record& record)
        {
            record.queue.priority = 2;
            record.steps.front().need.cpu_millis = 500;
        });
    cr_assert(fixture.plannings(gang, 5) == 0);
    cr_assert(later.waiting == 1U);
    cr_assert(later.planning.reason == wait_reason::no_capacity);
    // The hold ends although the step was not planned again.
    cr_assert(gang.planning.holds_workers(fixture.loop.now()));
    cr_assert_not(gang.planning.holds_workers(
        gang.planning.planned_at + step_planning::hold_duration));
}
