#include "toucanlever/cell/work_registry.hpp"

#include <algorithm>
#include <chrono>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

work_step make_step(std::uint32_t tasks, std::vector<std::uint32_t> after = {})
{
    work_step step;
    step.tasks = tasks;
    step.need = {1000, 1024, 0};
    step.estimated_ms = 500;
    step.after = std::move(after);
    return step;
}

work_record make_job(std::string const& id, std::vector<work_step> steps)
{
    work_record record;
    record.id = id;
    record.queue.name = "q";
    record.queue.max_attempts = 2;
    record.steps = std::move(steps);
    return record;
}

time_point const now{};

/// Allocates a task on a worker and completes its run.
completion_effect run_once(work_registry& registry, task_id const& task,
    std::uint64_t run, run_outcome outcome)
{
    registry.mark_placed(task, run, "w");
    completion_effect effect =
        registry.record_completion(task, run, outcome, now);
    registry.mark_unplaced(task);
    return effect;
}

} // namespace

Test(work_registry, a_step_is_ready_once_all_earlier_ones_have_succeeded)
{
    work_registry registry;
    registry.add(make_job("a", {make_step(2), make_step(1, {0})}), 1, 0, now);
    cr_assert(registry.ready().size() == 1U);
    run_once(registry, {{"a", 0, 0}, 0}, 1, run_outcome::succeeded);
    cr_assert(registry.ready().begin()->id.step == 0U);
    run_once(registry, {{"a", 0, 0}, 1}, 1, run_outcome::succeeded);
    cr_assert(registry.ready().size() == 1U);
    cr_assert(registry.ready().begin()->id.step == 1U);
}

Test(work_registry, a_job_succeeds_with_its_last_task)
{
    work_registry registry;
    registry.add(make_job("a", {make_step(2)}), 1, 0, now);
    cr_assert_not(
        run_once(registry, {{"a", 0, 0}, 0}, 1, run_outcome::succeeded)
            .job_ended);
    cr_assert(run_once(registry, {{"a", 0, 0}, 1}, 1, run_outcome::succeeded)
                  .job_ended);
    cr_assert(registry.find("a")->state == work_state::succeeded);
}

Test(work_registry, a_run_that_is_reported_again_fails_once)
{
    work_registry registry;
    registry.add(make_job("a", {make_step(1)}), 1, 0, now);
    task_id const task{{"a", 0, 0}, 0};
    run_once(registry, task, 1, run_outcome::failed);
    cr_assert_not(registry.record_completion(task, 1, run_outcome::failed, now)
                      .job_ended);
    cr_assert(registry.find("a")->open());
    cr_assert(run_once(registry, task, 2, run_outcome::failed).job_ended);
    cr_assert(registry.find("a")->state == work_state::failed);
}

Test(work_registry, a_gang_succeeds_and_fails_as_a_whole)
{
    work_registry registry;
    work_step gang = make_step(3);
    gang.gang = true;
    registry.add(make_job("a", {gang}), 1, 0, now);
    for (std::uint32_t i = 0; i < 3; ++i)
    {
        registry.mark_placed({{"a", 0, 0}, i}, 1, "w");
    }
    // Two failed tasks of one run count as one failure of the gang.
    registry.record_completion({{"a", 0, 0}, 0}, 1, run_outcome::failed, now);
    registry.record_completion({{"a", 0, 0}, 1}, 1, run_outcome::failed, now);
    cr_assert(registry.find("a")->open());
    cr_assert(
        registry
            .record_completion({{"a", 0, 0}, 2}, 2, run_outcome::succeeded, now)
            .job_ended);
}

Test(work_registry, a_job_that_is_stored_twice_keeps_its_lowest_version)
{
    work_registry registry;
    registry.add(make_job("a", {make_step(1)}), 9, 0, now);
    cr_assert_not(registry.add(make_job("a", {make_step(1)}), 4, 0, now));
    cr_assert(registry.find("a")->version == 4);
    registry.add(make_job("a", {make_step(1)}), 12, 0, now);
    cr_assert(registry.find("a")->version == 4);
}

Test(work_registry, serves_priority_first_and_then_the_latest_start)
{
    work_registry registry;
    work_record late = make_job("late", {make_step(1)});
    late.accepted_ms = 1000;
    work_record early = make_job("early", {make_step(1)});
    early.accepted_ms = 500;
    work_record urgent = make_job("urgent", {make_step(1)});
    urgent.accepted_ms = 2000;
    late.queue.priority = early.queue.priority = 1;
    registry.add(late, 1, 0, now);
    registry.add(early, 2, 0, now);
    registry.add(urgent, 3, 0, now);
    std::vector<std::string> order;
    for (step_rank const& rank : registry.ready())
    {
        order.push_back(rank.id.job);
    }
    cr_assert(order == (std::vector<std::string>{"urgent", "early", "late"}));
}

Test(work_registry, a_cancelled_job_has_nothing_to_start)
{
    work_registry registry;
    registry.add(make_job("a", {make_step(2)}), 1, 0, now);
    cr_assert(registry.cancel("a", now));
    cr_assert(registry.ready().empty());
    cr_assert_not(registry.cancel("a", now));
}

Test(work_registry, occurrences_are_created_when_they_are_due)
{
    work_registry registry;
    work_record job = make_job("a", {make_step(1)});
    job.repetitions = 2;
    job.first_run_ms = 1000;
    job.interval_ms = 500;
    registry.add(job, 1, 900, now);
    cr_assert(registry.ready().empty());
    cr_assert(registry.create_due_occurrences(1000, now) == 1500);
    cr_assert(registry.ready().size() == 1U);
    registry.create_due_occurrences(1500, now);
    cr_assert(registry.ready().size() == 2U);
    cr_assert_not(
        run_once(registry, {{"a", 0, 0}, 0}, 1, run_outcome::succeeded)
            .job_ended);
    cr_assert(run_once(registry, {{"a", 1, 0}, 0}, 1, run_outcome::succeeded)
                  .job_ended);
}

Test(work_registry, removes_ended_jobs_without_allocations)
{
    work_registry registry;
    registry.add(make_job("open", {make_step(1)}), 1, 0, now);
    registry.add(make_job("over", {make_step(1)}), 2, 0, now);
    run_once(registry, {{"over", 0, 0}, 0}, 1, run_outcome::succeeded);
    auto removed = registry.remove_ended(now + milliseconds(1));
    cr_assert(removed.size() == 1U);
    cr_assert(removed.front() == "over");
}

Test(work_registry, counts_the_jobs_of_a_queue_that_have_not_started)
{
    work_registry registry;
    registry.add(make_job("a", {make_step(1)}), 1, 0, now);
    registry.add(make_job("b", {make_step(1)}), 2, 0, now);
    registry.add(make_job("c", {make_step(1)}), 3, 0, now);
    cr_assert(registry.waiting_jobs("q") == 3);
    registry.mark_started(*registry.find("a"));
    registry.mark_started(*registry.find("a"));
    cr_assert(registry.waiting_jobs("q") == 2);
    // A job that ends without having started no longer counts as waiting.
    registry.cancel("b", now);
    cr_assert(registry.waiting_jobs("q") == 1);
    run_once(registry, {{"c", 0, 0}, 0}, 1, run_outcome::succeeded);
    registry.cancel("a", now);
    cr_assert(registry.waiting_jobs("q") == 0);
    cr_assert(registry.waiting_jobs("unheard-of") == 0);
}

Test(work_registry, a_task_fails_only_by_crashes_that_it_alone_can_explain)
{
    work_registry registry;
    registry.add(make_job("a", {make_step(1)}), 1, 0, now);
    task_id const task{{"a", 0, 0}, 0};
    for (std::uint64_t run = 1; run <= 5; ++run)
    {
        cr_assert_not(registry.record_crash(task, run, false, now).job_ended);
    }
    cr_assert(registry.find(task.step)->is_suspect());
    cr_assert(registry.record_crash(task, 6, true, now).job_ended);
    cr_assert(registry.find("a")->state == work_state::failed);
}

Test(work_registry, a_single_crash_fails_no_task)
{
    work_registry registry;
    registry.add(make_job("a", {make_step(1)}), 1, 0, now);
    task_id const task{{"a", 0, 0}, 0};
    cr_assert_not(registry.record_crash(task, 1, true, now).job_ended);
    cr_assert(run_once(registry, task, 2, run_outcome::succeeded).job_ended);
    cr_assert(registry.find("a")->state == work_state::succeeded);
}

Test(work_registry, a_crash_that_is_recorded_again_counts_once)
{
    work_registry registry;
    registry.add(make_job("a", {make_step(2)}), 1, 0, now);
    task_id const task{{"a", 0, 0}, 0};
    registry.record_crash(task, 1, true, now);
    cr_assert_not(registry.record_crash(task, 1, true, now).job_ended);
    // Another task of the step has a count of its own.
    cr_assert_not(
        registry.record_crash({{"a", 0, 0}, 1}, 1, true, now).job_ended);
    cr_assert(registry.find("a")->open());
}

Test(work_registry, the_crashes_under_the_tasks_of_a_gang_count_together)
{
    work_registry registry;
    work_step gang = make_step(2);
    gang.gang = true;
    registry.add(make_job("a", {gang}), 1, 0, now);
    registry.record_crash({{"a", 0, 0}, 0}, 1, true, now);
    cr_assert_not(
        registry.record_crash({{"a", 0, 0}, 1}, 1, true, now).job_ended);
    cr_assert(registry.record_crash({{"a", 0, 0}, 1}, 2, true, now).job_ended);
}

// Guards against an occurrence that runs again after a succession, because the
// clock of the earlier scheduler was ahead.
Test(work_registry, a_recorded_end_is_kept_until_its_occurrence_is_due)
{
    work_registry registry;
    work_record record = make_job("a", {make_step(1)});
    record.repetitions = 2;
    record.first_run_ms = 1000;
    record.interval_ms = 1000;
    registry.add(record, 1, 0, now);
    registry.replay({{{"a", 0, 0}, 0}, 1, run_outcome::succeeded}, now);
    registry.replay({{{"a", 1, 0}, 0}, 1, run_outcome::succeeded}, now);
    registry.create_due_occurrences(1000, now);
    cr_assert(registry.ready().empty());
    cr_assert(registry.find("a")->open());
    registry.create_due_occurrences(2000, now);
    cr_assert(registry.ready().empty());
    cr_assert(registry.find("a")->state == work_state::succeeded);
}

Test(work_registry, a_rank_follows_the_paths_through_the_steps)
{
    // Steps: 0 -> 1 -> 3, 0 -> 2 of 500 ms each; the critical path has three.
    work_registry registry;
    registry.add(make_job("a", {make_step(1), make_step(1, {0}),
                                   make_step(1, {0}), make_step(1, {1})}),
        1, 0, now);
    std::vector<std::int64_t> const expected{0, 500, 1000, 1000};
    for (std::uint32_t i = 0; i < expected.size(); ++i)
    {
        cr_assert(registry.find(step_id{"a", 0, i})->rank.latest_start_ms ==
                  expected[i]);
    }
}

Test(work_registry, jobs_of_many_steps_are_added_and_run_within_a_second)
{
    // Ranks that are computed again for each step of a job at each change kept
    // the leader busy for 8 s.
    constexpr std::uint32_t steps = 700;
    constexpr std::uint32_t dependencies = 20;
    auto const before = std::chrono::steady_clock::now();
    work_registry registry;
    std::vector<work_step> wide;
    for (std::uint32_t i = 0; i < steps; ++i)
    {
        std::vector<std::uint32_t> after;
        for (std::uint32_t j = 1; j <= std::min(i, dependencies); ++j)
        {
            after.push_back(i - j);
        }
        wide.push_back(make_step(1, std::move(after)));
    }
    for (std::string const job : {"a", "b", "c"})
    {
        registry.add(make_job(job, wide), 1, 0, now);
        for (std::uint32_t i = 0; i < steps; ++i)
        {
            cr_assert(registry.ready().size() == 1U);
            run_once(registry, {{job, 0, i}, 0}, 1, run_outcome::succeeded);
        }
        cr_assert(registry.find(job)->state == work_state::succeeded);
    }
    cr_assert(
        std::chrono::steady_clock::now() - before < std::chrono::seconds(1));
}

// Guards against a leader that stands still while it creates all occurrences of
// a job whose times have passed.
Test(work_registry, due_occurrences_are_created_in_parts)
{
    constexpr std::uint32_t repetitions = 10000;
    work_record job = make_job("a", {make_step(10)});
    job.repetitions = repetitions;
    job.interval_ms = 1;
    constexpr std::int64_t wall_ms = 1000000;
    work_registry registry;
    registry.add(job, 1, wall_ms, now);
    std::size_t created = registry.find("a")->occurrences.size();
    cr_assert(created == work_registry::max_tasks_created / 10);
    for (int calls = 1; created < repetitions; ++calls)
    {
        cr_assert(calls < 5);
        registry.create_due_occurrences(wall_ms, now);
        created = registry.find("a")->occurrences.size();
    }
}
