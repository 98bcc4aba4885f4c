#include "toucanlever/cell/work_registry.hpp"

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

/// Gives a task out and ends its run.
completion_effect run_once(
    work_registry& board, task_id const& task, std::uint64_t run, run_outcome how)
{
    board.mark_placed(task, run, "w");
    completion_effect effect = board.record_completion(task, run, how, now);
    board.mark_unplaced(task);
    return effect;
}

} // namespace

Test(work_registry, a_step_is_ready_once_all_earlier_ones_have_succeeded)
{
    work_registry board;
    board.add(make_job("a", {make_step(2), make_step(1, {0})}), 1, 0, now);
    cr_assert(board.ready().size() == 1U);
    run_once(board, {{"a", 0, 0}, 0}, 1, run_outcome::succeeded);
    cr_assert(board.ready().begin()->id.step == 0U);
    run_once(board, {{"a", 0, 0}, 1}, 1, run_outcome::succeeded);
    cr_assert(board.ready().size() == 1U);
    cr_assert(board.ready().begin()->id.step == 1U);
}

Test(work_registry, a_job_succeeds_with_its_last_task)
{
    work_registry board;
    board.add(make_job("a", {make_step(2)}), 1, 0, now);
    cr_assert_not(
        run_once(board, {{"a", 0, 0}, 0}, 1, run_outcome::succeeded).job_ended);
    cr_assert(
        run_once(board, {{"a", 0, 0}, 1}, 1, run_outcome::succeeded).job_ended);
    cr_assert(board.find("a")->state == work_state::succeeded);
}

Test(work_registry, a_run_that_is_reported_again_fails_once)
{
    work_registry board;
    board.add(make_job("a", {make_step(1)}), 1, 0, now);
    task_id const task{{"a", 0, 0}, 0};
    run_once(board, task, 1, run_outcome::failed);
    cr_assert_not(
        board.record_completion(task, 1, run_outcome::failed, now).job_ended);
    cr_assert(board.find("a")->open());
    cr_assert(run_once(board, task, 2, run_outcome::failed).job_ended);
    cr_assert(board.find("a")->state == work_state::failed);
}

Test(work_registry, a_gang_succeeds_and_fails_as_a_whole)
{
    work_registry board;
    work_step gang = make_step(3);
    gang.gang = true;
    board.add(make_job("a", {gang}), 1, 0, now);
    for (std::uint32_t i = 0; i < 3; ++i)
    {
        board.mark_placed({{"a", 0, 0}, i}, 1, "w");
    }
    // Two tasks of one run fail: one failure of the gang.
    board.record_completion({{"a", 0, 0}, 0}, 1, run_outcome::failed, now);
    board.record_completion({{"a", 0, 0}, 1}, 1, run_outcome::failed, now);
    cr_assert(board.find("a")->open());
    cr_assert(
        board.record_completion({{"a", 0, 0}, 2}, 2, run_outcome::succeeded, now)
            .job_ended);
}

Test(work_registry, a_job_that_is_stored_twice_keeps_its_lowest_version)
{
    work_registry board;
    board.add(make_job("a", {make_step(1)}), 9, 0, now);
    cr_assert_not(board.add(make_job("a", {make_step(1)}), 4, 0, now));
    cr_assert(board.find("a")->version == 4);
    board.add(make_job("a", {make_step(1)}), 12, 0, now);
    cr_assert(board.find("a")->version == 4);
}

Test(work_registry, serves_priority_first_and_then_the_latest_start)
{
    work_registry board;
    work_record late = make_job("late", {make_step(1)});
    late.accepted_ms = 1000;
    work_record early = make_job("early", {make_step(1)});
    early.accepted_ms = 500;
    work_record urgent = make_job("urgent", {make_step(1)});
    urgent.accepted_ms = 2000;
    late.queue.priority = early.queue.priority = 1;
    board.add(late, 1, 0, now);
    board.add(early, 2, 0, now);
    board.add(urgent, 3, 0, now);
    std::vector<std::string> order;
    for (step_rank const& rank : board.ready())
    {
        order.push_back(rank.id.job);
    }
    cr_assert(order == (std::vector<std::string>{"urgent", "early", "late"}));
}

Test(work_registry, a_cancelled_job_has_nothing_to_start)
{
    work_registry board;
    board.add(make_job("a", {make_step(2)}), 1, 0, now);
    cr_assert(board.cancel("a", now));
    cr_assert(board.ready().empty());
    cr_assert_not(board.cancel("a", now));
}

Test(work_registry, occurrences_are_made_when_they_are_due)
{
    work_registry board;
    work_record job = make_job("a", {make_step(1)});
    job.repetitions = 2;
    job.first_run_ms = 1000;
    job.interval_ms = 500;
    board.add(job, 1, 900, now);
    cr_assert(board.ready().empty());
    cr_assert(board.create_due_occurrences(1000, now) == 1500);
    cr_assert(board.ready().size() == 1U);
    board.create_due_occurrences(1500, now);
    cr_assert(board.ready().size() == 2U);
    cr_assert_not(
        run_once(board, {{"a", 0, 0}, 0}, 1, run_outcome::succeeded).job_ended);
    cr_assert(
        run_once(board, {{"a", 1, 0}, 0}, 1, run_outcome::succeeded).job_ended);
}

Test(work_registry, forgets_jobs_that_ended_and_hold_no_room)
{
    work_registry board;
    board.add(make_job("open", {make_step(1)}), 1, 0, now);
    board.add(make_job("over", {make_step(1)}), 2, 0, now);
    run_once(board, {{"over", 0, 0}, 0}, 1, run_outcome::succeeded);
    auto gone = board.remove_ended(now + milliseconds(1));
    cr_assert(gone.size() == 1U);
    cr_assert(gone.front() == "over");
}

Test(work_registry, counts_the_jobs_of_a_queue_that_have_not_begun)
{
    work_registry board;
    board.add(make_job("a", {make_step(1)}), 1, 0, now);
    board.add(make_job("b", {make_step(1)}), 2, 0, now);
    board.add(make_job("c", {make_step(1)}), 3, 0, now);
    cr_assert(board.waiting_jobs("q") == 3);
    board.mark_started(*board.find("a"));
    board.mark_started(*board.find("a"));
    cr_assert(board.waiting_jobs("q") == 2);
    // A job that ends without having begun waits no longer, either.
    board.cancel("b", now);
    cr_assert(board.waiting_jobs("q") == 1);
    run_once(board, {{"c", 0, 0}, 0}, 1, run_outcome::succeeded);
    board.cancel("a", now);
    cr_assert(board.waiting_jobs("q") == 0);
    cr_assert(board.waiting_jobs("unheard-of") == 0);
}
