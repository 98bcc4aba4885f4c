/// Whether failed runs speak against their worker or against their own job.
#include "toucanlever/cell/failure_evidence.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

time_point const now{std::chrono::hours(1)};

class evidence_fixture
{
public:
    explicit evidence_fixture(int workers = 8)
    {
        for (int i = 0; i < workers; ++i)
        {
            worker_entry entry;
            entry.id = "w" + std::to_string(i);
            entry.service = "s";
            this->pool.put(entry);
        }
    }

    step_id add_job(std::string const& id, std::uint32_t tasks = 1,
        std::function<void(work_step&)> const& change = {})
    {
        work_record record;
        record.id = id;
        record.queue.max_attempts = 100;
        work_step step;
        step.tasks = tasks;
        if (change)
        {
            change(step);
        }
        record.steps = {step};
        this->registry.add(record, 1, 0, now);
        return {id, 0, 0};
    }

    void fail(std::string const& worker, step_id const& step)
    {
        this->evidence.record_failure(worker, step, now);
    }

    void succeed(std::string const& worker, task_id const& task)
    {
        this->registry.record_completion(task, 1, run_outcome::succeeded, now);
        this->evidence.record_success(worker, task.step, now);
    }

    bool is_quarantined(std::string const& worker, time_point at = now) const
    {
        return at < this->pool.find(worker)->quarantined_until;
    }

    /// Lets jobs of one task fail on the worker, each for the first time.
    void fail_jobs(std::string const& worker, int jobs)
    {
        for (int i = 0; i < jobs; ++i)
        {
            this->fail(
                worker, this->add_job(worker + "-job" + std::to_string(i)));
        }
    }

    work_registry registry;
    worker_pool pool;
    failure_evidence evidence{registry, pool};
};

} // namespace

// Guards against a worker that fails whatever it gets and keeps getting work,
// and against one that is never used again.
Test(failure_evidence, a_worker_on_which_several_jobs_fail_is_quarantined)
{
    evidence_fixture fixture;
    fixture.fail_jobs("w0", 2);
    cr_assert_not(fixture.is_quarantined("w0"));
    fixture.fail("w0", fixture.add_job("third"));
    cr_assert(fixture.is_quarantined("w0"));
    cr_assert_not(fixture.is_quarantined("w0", now + std::chrono::seconds(3)));
    fixture.succeed("w0", {fixture.add_job("sound"), 0});
    cr_assert(fixture.pool.find("w0")->counted_failures == 0U);
}

// Guards against a quarantine that does not get longer for a worker that goes
// on failing.
Test(failure_evidence, further_failures_make_the_quarantine_longer)
{
    evidence_fixture fixture;
    fixture.fail_jobs("w0", 5);
    cr_assert(fixture.is_quarantined("w0", now + std::chrono::seconds(7)));
    cr_assert_not(fixture.is_quarantined("w0", now + std::chrono::seconds(9)));
}

// Guards against workers without work because of a job that fails everywhere.
Test(failure_evidence, a_job_that_fails_on_several_workers_counts_against_none)
{
    evidence_fixture fixture;
    step_id const service = fixture.add_job(
        "service", 5, [](work_step& step) { step.long_running = true; });
    for (int round = 0; round < 5; ++round)
    {
        for (int i = 0; i < 8; ++i)
        {
            fixture.fail("w" + std::to_string(i), service);
        }
    }
    for (int i = 0; i < 8; ++i)
    {
        pool_worker const& worker = *fixture.pool.find("w" + std::to_string(i));
        cr_assert(worker.counted_failures == 0U);
        cr_assert_not(fixture.is_quarantined(worker.entry.id));
    }
}

// Guards against a worker that stays in quarantine for the failures of jobs
// that turn out to fail everywhere.
Test(failure_evidence, a_quarantine_ends_when_its_evidence_is_refuted)
{
    evidence_fixture fixture;
    fixture.fail_jobs("w0", 2);
    step_id const poison = fixture.add_job("poison");
    fixture.fail("w0", poison);
    cr_assert(fixture.is_quarantined("w0"));
    fixture.fail("w1", poison);
    cr_assert_not(fixture.is_quarantined("w0"));
    cr_assert(fixture.pool.find("w0")->counted_failures == 2U);
}

// Guards against a worker that fails all tasks of one wide job, the only one
// that it gets, while the job's other tasks succeed elsewhere.
Test(failure_evidence, failures_of_a_job_that_succeeds_elsewhere_all_count)
{
    evidence_fixture fixture;
    step_id const wide = fixture.add_job("wide", 12);
    for (int i = 0; i < 4; ++i)
    {
        fixture.fail("w0", wide);
    }
    cr_assert_not(fixture.is_quarantined("w0"));
    fixture.succeed("w1", {wide, 0});
    cr_assert(fixture.is_quarantined("w0"));
}

// Guards against two defective workers that are not recognised because a wide
// job fails on both.
Test(failure_evidence, a_wide_job_that_fails_on_two_workers_is_not_at_fault_yet)
{
    evidence_fixture fixture;
    step_id const wide = fixture.add_job("wide", 12);
    for (std::string const worker : {"w0", "w1"})
    {
        fixture.fail(worker, wide);
        fixture.fail_jobs(worker, 2);
        cr_assert(fixture.is_quarantined(worker));
    }
}

// Guards against a cell that stands still when many jobs fail at once by their
// own fault, each for the first time.
Test(failure_evidence, at_most_half_of_the_workers_are_quarantined)
{
    evidence_fixture fixture;
    int quarantined = 0;
    for (int i = 0; i < 8; ++i)
    {
        std::string const worker = "w" + std::to_string(i);
        fixture.fail_jobs(worker, 6);
        quarantined += fixture.is_quarantined(worker) ? 1 : 0;
    }
    cr_assert(quarantined == 4);
}
