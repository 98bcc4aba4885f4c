/// The active scheduler against workers and a store in memory.
#include "toucanlever/cell/dispatcher.hpp"

#include "cell/cell_tables.hpp"
#include "fake_record_store.hpp"
#include "fake_workers.hpp"

#include "toucanlever/wire/codec.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

constexpr milliseconds second{1000};
constexpr std::int64_t worker_cpu = 4000;

/// A policy that approves every worker, or says that it is busy.
class fake_advice final : public placement_advice
{
public:
    void request_advice(step_id const&, std::vector<std::string> const& asked,
        callback done) override
    {
        ++this->calls;
        advice_result result;
        result.answered = !this->busy;
        result.valid_ms = 2000;
        for (std::string const& worker : asked)
        {
            if (!this->refused.contains(worker))
            {
                result.tickets.push_back({worker, "ticket-" + worker});
            }
        }
        this->answer_later(std::move(done), result);
    }

    std::function<void(callback, advice_result)> answer_later;
    std::set<std::string> refused;
    bool busy = false;
    int calls = 0;
};

/// A cell of workers and the terms of its active scheduler, one at a time.
class cell_bench
{
public:
    explicit cell_bench(int count = 4)
    {
        this->advice.answer_later =
            [this](placement_advice::callback done, advice_result const& result)
        { this->loop.post([done, result] { done(result); }); };
        for (int i = 0; i < count; ++i)
        {
            this->list("w" + std::to_string(i));
        }
    }

    void list(std::string const& id, bool leaving = false)
    {
        worker_entry entry;
        entry.id = id;
        entry.address = id;
        entry.service = "s";
        entry.leaving = leaving;
        entry.capacity = {worker_cpu, 1 << 20, 0};
        this->store.set({"workers-listed", "", id}, pack(entry));
    }

    /// Another instance becomes the active scheduler; the one before it, if
    /// any, ends without a word.
    dispatcher& begin_term()
    {
        ++this->fence;
        std::int64_t version = this->store.set(
            tables::leader_row_key(), "holder-" + std::to_string(this->fence));
        this->term.reset();
        this->broker.reset();
        this->members = std::make_unique<member_links>(this->loop, "self");
        this->broker = std::make_unique<advice_broker>(
            this->loop, this->advice, *this->members);
        dispatcher_dependencies parts{this->loop, this->store, this->workers,
            *this->broker, this->queues, "workers-listed",
            [](std::string const&, std::string const& value)
            { return std::optional(unpack<worker_entry>(value, "test")); },
            [this] { return this->may_start; }, milliseconds(1300), this->beat,
            [] { return time_point::max(); }, milliseconds(60000), false};
        this->term = std::make_unique<dispatcher>(std::move(parts),
            leader_proof{this->fence, version},
            [this](std::string const&) { ++this->replaced; });
        this->pass(milliseconds(200));
        return *this->term;
    }

    void end_term() { this->term.reset(); }

    /// Where a job stands; nothing when the scheduler does not know it.
    std::optional<work_state> state_of(std::string const& job)
    {
        lookup_result found = this->term->look_up(job);
        return found.outcome == lookup_outcome::found
                   ? std::optional(found.state)
                   : std::nullopt;
    }

    void pass(milliseconds span)
    {
        constexpr milliseconds step{10};
        for (milliseconds done{0}; done < span; done += step)
        {
            this->time.advance(step);
            this->loop.run_ready();
        }
    }

    /// Stores a job and tells the scheduler.
    void submit(std::string const& id, std::uint32_t tasks,
        std::function<void(work_record&)> const& change = {})
    {
        work_record record;
        record.id = id;
        record.queue.service = "s";
        record.queue.max_attempts = 3;
        work_step step;
        step.tasks = tasks;
        step.need = {1000, 1024, 0};
        record.steps = {step};
        if (change)
        {
            change(record);
        }
        std::int64_t version =
            this->store.set(tables::job_row_key("node", id), pack(record));
        if (this->term)
        {
            this->term->accept(record, version);
        }
    }

    /// Begins a term in which job "a" has one task; the worker that runs it.
    std::string run_one_task()
    {
        this->begin_term();
        this->submit("a", 1);
        this->pass(milliseconds(1000));
        return this->workers.all_starts.front().first;
    }

    std::size_t starts_of(task_id const& task) const
    {
        return static_cast<std::size_t>(std::count_if(
            this->workers.all_starts.begin(), this->workers.all_starts.end(),
            [&task](auto const& start) { return start.second == task; }));
    }

    manual_clock time;
    event_loop loop{this->time};
    std::unique_ptr<member_links> members;
    fake_record_store store{this->loop};
    fake_workers workers{this->loop};
    fake_advice advice;
    queue_directory queues;
    no_heartbeat beat;
    bool may_start = true;
    int replaced = 0;
    std::uint64_t fence = 0;
    std::unique_ptr<advice_broker> broker;
    std::unique_ptr<dispatcher> term;
};

task_id const first_task{{"a", 0, 0}, 0};

} // namespace

Test(dispatcher, starts_a_job_and_tells_its_end_once_it_is_durable)
{
    cell_bench bench;
    bench.begin_term();
    bench.submit("a", 2);
    bench.pass(second);
    cr_assert(bench.workers.running_count() == 2U);
    cr_assert(bench.state_of("a") == work_state::running);
    bench.store.unavailable = true;
    bench.workers.end_all_runs(run_outcome::succeeded);
    bench.pass(2 * second);
    // A successor could not know it.
    cr_assert(bench.state_of("a") == work_state::running);
    bench.store.unavailable = false;
    bench.pass(2 * second);
    cr_assert(bench.state_of("a") == work_state::succeeded);
}

Test(dispatcher, never_passes_the_capacity_of_workers)
{
    cell_bench bench(2);
    bench.begin_term();
    bench.submit("a", 20);
    bench.pass(second);
    for (auto const& [id, worker] : bench.workers.workers)
    {
        cr_assert(worker.running.size() <= 4U);
    }
    cr_assert(bench.workers.running_count() == 8U);
}

Test(dispatcher, a_successor_goes_on_with_what_runs_and_repeats_nothing)
{
    cell_bench bench;
    bench.begin_term();
    bench.submit("a", 3);
    bench.pass(second);
    bench.workers.end_run("w0", first_task, run_outcome::succeeded);
    bench.end_term();
    bench.begin_term();
    bench.pass(second);
    bench.workers.end_all_runs(run_outcome::succeeded);
    bench.pass(second);
    cr_assert(bench.state_of("a") == work_state::succeeded);
    cr_assert(bench.workers.all_starts.size() == 3U);
}

Test(dispatcher, an_end_known_only_to_an_unreachable_worker_is_waited_for)
{
    cell_bench bench;
    std::string const place = bench.run_one_task();
    bench.end_term();
    bench.workers.end_run(place, first_task, run_outcome::succeeded);
    bench.workers.workers[place].silent = true;
    bench.begin_term();
    // Less than the lease that the earlier scheduler may have granted.
    bench.pass(6 * second);
    cr_assert(bench.starts_of(first_task) == 1U);
    bench.workers.workers[place].silent = false;
    bench.pass(second);
    cr_assert(bench.state_of("a") == work_state::succeeded);
    cr_assert(bench.starts_of(first_task) == 1U);
}

Test(dispatcher, an_unreachable_and_unlisted_worker_is_waited_for_too)
{
    cell_bench bench;
    std::string const place = bench.run_one_task();
    bench.end_term();
    bench.workers.workers[place].silent = true;
    bench.store.commit({{}, {}, {{"workers-listed", "", place}}},
        milliseconds(0), [](change_result const&) {});
    bench.begin_term();
    bench.pass(6 * second);
    cr_assert(bench.starts_of(first_task) == 1U);
    bench.pass(4 * second);
    cr_assert(bench.starts_of(first_task) == 2U);
}

Test(dispatcher, new_jobs_do_not_wait_for_unreachable_workers)
{
    cell_bench bench;
    bench.begin_term();
    bench.end_term();
    bench.workers.workers["w0"].silent = true;
    bench.begin_term();
    bench.submit("new", 1);
    bench.pass(second);
    // The predecessor may still start it, on the worker that only it reaches.
    cr_assert(bench.workers.running_count() == 0U);
    bench.pass(second);
    cr_assert(bench.workers.running_count() == 1U);
}

Test(dispatcher, a_job_of_old_that_is_stored_again_is_no_new_job)
{
    cell_bench bench;
    std::string const place = bench.run_one_task();
    bench.end_term();
    bench.workers.workers[place].silent = true;
    bench.begin_term();
    work_record again;
    again.id = "a";
    again.queue.service = "s";
    again.steps.resize(1);
    bench.term->accept(again, bench.store.version + 100);
    bench.pass(2 * second);
    cr_assert(bench.starts_of(first_task) == 1U);
}

Test(dispatcher, a_start_without_an_answer_is_not_started_elsewhere)
{
    cell_bench bench;
    bench.begin_term();
    for (int i = 0; i < 4; ++i)
    {
        bench.workers.workers["w" + std::to_string(i)].lose_answers = 5;
    }
    bench.submit("a", 1);
    bench.pass(milliseconds(300));
    // It runs on at most one worker at any time, whatever was answered.
    cr_assert(bench.workers.running_count() <= 1U);
    bench.pass(second);
    cr_assert(bench.workers.running_count() <= 1U);
}

Test(dispatcher, tasks_of_a_lost_worker_run_elsewhere_after_its_lease)
{
    cell_bench bench;
    std::string const place = bench.run_one_task();
    bench.workers.workers[place].silent = true;
    bench.pass(4 * second);
    cr_assert(bench.starts_of(first_task) == 1U);
    bench.pass(2 * second);
    cr_assert(bench.starts_of(first_task) == 2U);
    cr_assert(bench.workers.all_starts.back().first != place);
}

Test(dispatcher, a_job_fails_after_its_attempts_and_no_later)
{
    cell_bench bench;
    bench.begin_term();
    bench.submit("a", 1);
    for (int i = 0; i < 6; ++i)
    {
        bench.pass(second);
        bench.workers.end_all_runs(run_outcome::failed);
    }
    bench.pass(second);
    cr_assert(bench.workers.all_starts.size() == 3U);
    cr_assert(bench.state_of("a") == work_state::failed);
}

Test(dispatcher, a_gang_whose_member_ends_is_stopped_and_started_anew)
{
    cell_bench bench;
    bench.begin_term();
    bench.submit("a", 3, [](work_record& job) { job.steps[0].gang = true; });
    bench.pass(second);
    cr_assert(bench.workers.running_count() == 3U);
    std::string place = bench.workers.all_starts.front().first;
    bench.workers.end_run(
        place, bench.workers.all_starts.front().second, run_outcome::failed);
    bench.pass(2 * second);
    cr_assert(bench.workers.running_count() == 3U);
    cr_assert(bench.workers.all_starts.size() == 6U);
}

Test(dispatcher, a_cancelled_job_is_stopped_also_when_that_comes_first)
{
    cell_bench bench;
    bench.begin_term();
    bench.submit("a", 2);
    bench.pass(second);
    bench.term->cancel("a");
    bench.term->cancel("b");
    bench.submit("b", 2);
    bench.pass(second);
    cr_assert(bench.workers.running_count() == 0U);
    cr_assert(bench.state_of("a") == work_state::cancelled);
    cr_assert(bench.state_of("b") == work_state::cancelled);
}

Test(dispatcher, a_replaced_scheduler_is_told_by_any_worker)
{
    cell_bench bench;
    bench.begin_term();
    for (int i = 0; i < 4; ++i)
    {
        bench.workers.workers["w" + std::to_string(i)].fencing_token = 9;
    }
    bench.pass(second);
    cr_assert(bench.replaced > 0);
}

Test(dispatcher, nothing_is_started_without_permission)
{
    cell_bench bench;
    bench.begin_term();
    bench.may_start = false;
    bench.submit("a", 1);
    bench.pass(second);
    cr_assert(bench.workers.all_starts.empty());
    bench.may_start = true;
    bench.pass(second);
    cr_assert(bench.workers.all_starts.size() == 1U);
}

Test(dispatcher, starts_only_where_the_policy_approves_and_with_a_ticket)
{
    cell_bench bench;
    bench.begin_term();
    bench.advice.refused = {"w0", "w1", "w2"};
    bench.submit("a", 4,
        [](work_record& job) {
            job.queue.advice = {true, 5000, 100};
        });
    bench.pass(second);
    cr_assert(bench.workers.workers["w3"].starts.size() == 4U);
    cr_assert(bench.workers.workers["w3"].starts[0].ticket == "ticket-w3");
    cr_assert(bench.workers.all_starts.size() == 4U);
}

Test(dispatcher, a_busy_policy_is_asked_again_and_not_flooded)
{
    cell_bench bench;
    bench.begin_term();
    bench.advice.busy = true;
    for (int i = 0; i < 50; ++i)
    {
        bench.submit("job-" + std::to_string(i), 1,
            [](work_record& job) {
                job.queue.advice = {true, 5000, 100};
            });
    }
    bench.pass(2 * second);
    cr_assert(bench.advice.calls < 60);
    bench.advice.busy = false;
    bench.pass(3 * second);
    cr_assert(bench.workers.running_count() > 0U);
}

Test(dispatcher, a_worker_that_began_anew_has_lost_its_tasks)
{
    cell_bench bench;
    std::string const place = bench.run_one_task();
    fake_cell_worker& worker = bench.workers.workers[place];
    worker = fake_cell_worker{};
    worker.started_ms = 2;
    bench.pass(second);
    cr_assert(bench.starts_of(first_task) == 2U);
    cr_assert(bench.workers.running_count() == 1U);
}

Test(dispatcher, a_start_that_arrives_at_a_workers_next_life_is_barred_there)
{
    cell_bench bench(1);
    bench.begin_term();
    fake_cell_worker& worker = bench.workers.workers["w0"];
    worker.delay_starts = true;
    bench.submit("a", 1);
    bench.pass(milliseconds(50));
    cr_assert(worker.delayed_starts.size() >= 1U);
    std::vector<start_order> const late = worker.delayed_starts;
    worker = fake_cell_worker{};
    worker.started_ms = 2;
    // What it runs next, it runs elsewhere.
    bench.list("w0", true);
    bench.list("w1");
    bench.pass(2 * second);
    cr_assert(bench.workers.workers["w1"].running.size() == 1U);
    worker.delayed_starts = late;
    bench.workers.deliver_delayed_starts("w0");
    cr_assert(bench.workers.running_count() <= 1U);
}

Test(dispatcher, ends_and_runs_of_tasks_that_do_not_exist_change_nothing)
{
    cell_bench bench(1);
    bench.run_one_task();
    fake_cell_worker& worker = bench.workers.workers["w0"];
    task_id const beyond{{"a", 0, 0}, 7};
    task_id const unheard_of{{"x", 3, 2}, 1};
    for (task_id const& task : {beyond, unheard_of})
    {
        worker.completions.push_back(
            {++worker.last_number, task, 1, run_outcome::failed, "checkpoint"});
    }
    worker.running[beyond] = 1;
    bench.pass(second);
    cr_assert(worker.acknowledged == worker.last_number);
    cr_assert_not(worker.running.contains(beyond));
    cr_assert(bench.state_of("a") == work_state::running);
}

Test(dispatcher, gangs_that_wait_leave_most_workers_to_other_work)
{
    constexpr int workers = 16;
    cell_bench bench(workers);
    bench.begin_term();
    bench.submit("small-everywhere", workers,
        [](work_record& record) { record.steps[0].max_per_worker = 1; });
    bench.pass(second);
    cr_assert(bench.workers.running_count() == std::size_t{workers});
    // None of them fits while something runs on each worker.
    for (int i = 0; i < 6; ++i)
    {
        bench.submit("gang-" + std::to_string(i), 3,
            [](work_record& record)
            {
                record.steps[0].gang = true;
                record.steps[0].need.cpu_millis = worker_cpu;
            });
    }
    bench.submit(
        "last", 1, [](work_record& record) { record.queue.priority = 5; });
    bench.pass(second);
    cr_assert(bench.workers.running_count() == std::size_t{workers + 1});
    // Room is kept for the first of them, so it is served once work ends.
    bench.workers.end_all_runs(run_outcome::succeeded);
    bench.pass(second);
    cr_assert(bench.starts_of({{"gang-0", 0, 0}, 0}) == 1U);
}
