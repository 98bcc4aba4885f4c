/// The active scheduler with in-memory workers and an in-memory store.
#include "toucanlever/cell/dispatcher.hpp"

#include "cell/cell_tables.hpp"
#include "fake_record_store.hpp"
#include "fake_workers.hpp"

#include "toucanlever/core/metrics.hpp"
#include "toucanlever/wire/codec.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#include <random>
#include <thread>

using namespace toucanlever;

namespace
{

constexpr milliseconds second{1000};
constexpr std::int64_t worker_cpu = 4000;
/// A row of the worker list that describes no worker.
constexpr char unusable_entry[] = "unusable";

/// An external placement policy that approves every worker that is not in
/// `refused`, or answers that it is busy.
class fake_advice final : public placement_advice
{
public:
    void request_advice(step_id const&,
        std::vector<std::string> const& candidates, callback done) override
    {
        ++this->calls;
        advice_result result;
        result.answered = !this->busy;
        result.valid_ms = 2000;
        for (std::string const& worker : candidates)
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

/// The workers of a cell and the current term of its active scheduler.
class cell_fixture
{
public:
    explicit cell_fixture(int count = 4)
    {
        this->advice.answer_later =
            [this](placement_advice::callback done, advice_result const& result)
        { this->loop.post([done, result] { done(result); }); };
        for (int i = 0; i < count; ++i)
        {
            this->list_worker("w" + std::to_string(i));
        }
    }

    void list_worker(std::string const& id, bool leaving = false)
    {
        this->list_changed_worker(
            id, [leaving](worker_entry& entry) { entry.leaving = leaving; });
    }

    void list_changed_worker(
        std::string const& id, std::function<void(worker_entry&)> const& change)
    {
        worker_entry entry;
        entry.id = id;
        entry.address = id;
        entry.service = "s";
        entry.capacity = {worker_cpu, 1 << 20, 0};
        change(entry);
        this->store.set({"workers-listed", "", id}, pack(entry));
    }

    void unlist_worker(std::string const& id)
    {
        this->store.commit({{}, {}, {{"workers-listed", "", id}}},
            milliseconds(0), [](change_result const&) {});
    }

    /// Another instance becomes the active scheduler; the previous one, if any,
    /// ends without notifying anyone.
    dispatcher& begin_term()
    {
        ++this->fencing_token;
        std::int64_t version = this->store.set(tables::leader_row_key(),
            "holder-" + std::to_string(this->fencing_token));
        this->term.reset();
        this->broker.reset();
        this->members = std::make_unique<member_links>(this->loop, "self");
        this->broker = std::make_unique<advice_broker>(
            this->loop, this->advice, *this->members);
        dispatcher_dependencies parts{this->loop, this->store, this->workers,
            *this->broker, this->queues, "workers-listed",
            [](std::string const&, std::string const& value)
            {
                return value == unusable_entry
                           ? std::nullopt
                           : std::optional(unpack<worker_entry>(value, "test"));
            },
            [this] { return this->may_start; }, milliseconds(1300),
            this->heartbeat, [this] { return this->lease_limit; },
            milliseconds(60000), false, true};
        this->term = std::make_unique<dispatcher>(std::move(parts),
            leader_proof{this->fencing_token, version},
            [this](std::string const&) { ++this->replaced; });
        this->run_for(milliseconds(200));
        return *this->term;
    }

    void list_capacity(std::string const& id, std::int64_t cpu_millis)
    {
        this->list_changed_worker(id, [cpu_millis](worker_entry& entry)
            { entry.capacity.cpu_millis = cpu_millis; });
    }

    void end_term() { this->term.reset(); }

    /// The state of a job; no value when the scheduler does not know the job.
    std::optional<work_state> state_of(std::string const& job)
    {
        lookup_result found = this->term->look_up(job);
        return found.outcome == lookup_outcome::found
                   ? std::optional(found.state)
                   : std::nullopt;
    }

    void run_for(milliseconds duration)
    {
        constexpr milliseconds step{10};
        for (milliseconds elapsed{0}; elapsed < duration; elapsed += step)
        {
            this->time.advance(step);
            this->take_turn([this] { this->loop.run_ready(); });
        }
    }

    /// Notes the processor time of what occupies the scheduler at a stretch.
    template <typename Work>
    void take_turn(Work work)
    {
        auto used = []
        {
            timespec value{};
            clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
            return std::chrono::seconds(value.tv_sec) +
                   std::chrono::nanoseconds(value.tv_nsec);
        };
        auto const before = used();
        work();
        this->busiest_turn = std::max<std::chrono::nanoseconds>(
            this->busiest_turn, used() - before);
    }

    /// Stores a job and announces it to the scheduler.
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
            this->take_turn([&] { this->term->accept(record, version); });
        }
    }

    /// Begins a term and runs job "a" with one task; returns the worker that
    /// runs the task.
    std::string run_one_task()
    {
        this->begin_term();
        this->submit("a", 1);
        this->run_for(milliseconds(1000));
        return this->workers.all_starts.front().first;
    }

    /// Begins a term and runs a task on the only worker until its completion is
    /// acknowledged.
    fake_cell_worker& run_acknowledged_task()
    {
        this->run_one_task();
        fake_cell_worker& worker = this->workers.workers["w0"];
        this->workers.end_all_runs(run_outcome::succeeded);
        this->run_for(milliseconds(500));
        cr_assert(worker.acknowledged == 1);
        return worker;
    }

    /// Restarts the worker under its id; calls that were delayed reach the new
    /// incarnation.
    void restart_before_delayed_calls(std::string const& id)
    {
        fake_cell_worker before = std::move(this->workers.workers[id]);
        fake_cell_worker& worker = this->workers.workers[id];
        worker = fake_cell_worker{};
        worker.started_ms = before.started_ms + 1;
        worker.clock_started_at = this->loop.now();
        worker.delayed_starts = std::move(before.delayed_starts);
        worker.delayed_watches = std::move(before.delayed_watches);
    }

    /// The worker is up again at once, with the same id, and runs nothing.
    void crash_worker(std::string const& id)
    {
        fake_cell_worker& worker = this->workers.workers[id];
        std::int64_t started_ms = worker.started_ms + 1;
        worker = fake_cell_worker{};
        worker.started_ms = started_ms;
    }

    /// Crashes each worker that runs the task; false when none does.
    bool crash_workers_of(task_id const& task)
    {
        bool found = false;
        for (auto const& [id, worker] : this->workers.workers)
        {
            if (worker.running.contains(task))
            {
                found = true;
                this->crash_worker(id);
            }
        }
        return found;
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
    no_heartbeat heartbeat;
    bool may_start = true;
    time_point lease_limit = time_point::max();
    int replaced = 0;
    std::chrono::nanoseconds busiest_turn{0};
    std::uint64_t fencing_token = 0;
    std::mt19937 random{1};
    std::unique_ptr<advice_broker> broker;
    std::unique_ptr<dispatcher> term;
};

task_id const first_task{{"a", 0, 0}, 0};

/// A long-running task on each of as many workers.
void submit_service(cell_fixture& fixture, std::uint32_t workers)
{
    fixture.submit("serve", workers,
        [](work_record& record)
        {
            record.steps[0].long_running = true;
            record.steps[0].max_per_worker = 1;
        });
}

/// Restarts this many workers, whatever they run.
void restart_workers(cell_fixture& fixture, std::size_t count)
{
    std::vector<std::string> ids;
    for (auto const& [id, worker] : fixture.workers.workers)
    {
        ids.push_back(id);
    }
    for (std::size_t i = 0; i < count; ++i)
    {
        // The same choice on every platform, unlike std::shuffle.
        std::swap(ids[i], ids[i + fixture.random() % (ids.size() - i)]);
        fixture.crash_worker(ids[i]);
    }
}

} // namespace

// Guards against leaders that follow each other because each stands still when
// it adds jobs of many steps, reads them, or one of their steps ends.
Test(dispatcher, jobs_at_the_limit_of_steps_leave_time_for_heartbeats)
{
    // A leader that sends a heartbeat each 300 ms may stand still for 1 s of
    // its lease of 1.3 s. The smallest instances have 0.12 of a core.
    constexpr milliseconds bound{120};
    constexpr std::uint32_t steps = 1000;
    constexpr std::uint32_t dependencies = 20;
    cell_fixture fixture;
    fixture.begin_term();
    for (std::string const id : {"a", "b", "c"})
    {
        fixture.submit(id, 1,
            [](work_record& record)
            {
                record.queue.priority = 1;
                record.steps.resize(steps, record.steps.front());
                for (std::uint32_t i = 1; i < steps; ++i)
                {
                    for (std::uint32_t j = i < dependencies ? 0
                                                            : i - dependencies;
                         j < i; ++j)
                    {
                        record.steps[i].after.push_back(j);
                    }
                }
            });
    }
    fixture.run_for(second);
    cr_assert(fixture.workers.running_count() == 3U);
    constexpr int ends = 20;
    for (int i = 0; i < ends; ++i)
    {
        fixture.workers.end_all_runs(run_outcome::succeeded);
        fixture.run_for(milliseconds(200));
        cr_assert(fixture.workers.running_count() == 3U);
    }
    fixture.submit("small", 1);
    fixture.run_for(milliseconds(100));
    cr_assert(fixture.starts_of({{"small", 0, 0}, 0}) == 1U);
    fixture.end_term();
    // The successor reads the jobs and their ends.
    fixture.begin_term();
    fixture.run_for(second);
    cr_assert(fixture.workers.running_count() == 4U);
    cr_assert(fixture.busiest_turn < bound, "%lld ms",
        static_cast<long long>(
            std::chrono::ceil<milliseconds>(fixture.busiest_turn).count()));
}

Test(dispatcher, starts_a_job_and_reports_its_end_once_it_is_durable)
{
    cell_fixture fixture;
    fixture.begin_term();
    fixture.submit("a", 2);
    fixture.run_for(second);
    cr_assert(fixture.workers.running_count() == 2U);
    cr_assert(fixture.state_of("a") == work_state::running);
    fixture.store.unavailable = true;
    fixture.workers.end_all_runs(run_outcome::succeeded);
    fixture.run_for(2 * second);
    // A successor could not learn of the completion.
    cr_assert(fixture.state_of("a") == work_state::running);
    fixture.store.unavailable = false;
    fixture.run_for(2 * second);
    cr_assert(fixture.state_of("a") == work_state::succeeded);
}

// Guards against an outcome that is reported before a successor can see it, and
// one that its caller learns of only by the next query.
Test(dispatcher, a_waiting_query_is_answered_when_the_outcome_is_durable)
{
    cell_fixture fixture;
    fixture.begin_term();
    fixture.submit("a", 1);
    fixture.run_for(second);
    std::optional<work_state> state;
    fixture.term->look_up("a", second,
        [&state](lookup_result const& found) { state = found.state; });
    fixture.store.unavailable = true;
    fixture.workers.end_all_runs(run_outcome::succeeded);
    fixture.run_for(milliseconds(500));
    cr_assert_not(state.has_value());
    fixture.store.unavailable = false;
    fixture.run_for(milliseconds(300));
    cr_assert(state == work_state::succeeded);
}

// Guards against a successor that takes the runs of workers that it has not
// heard for waiting work, and has submissions rejected after each failover.
Test(dispatcher, the_backlog_is_estimated_once_all_workers_have_answered)
{
    cell_fixture fixture;
    cell_configuration configuration;
    configuration.version = 1;
    configuration.routes.resize(1);
    configuration.routes[0].terms.name = "q";
    configuration.routes[0].terms.target_ms = 10000;
    fixture.queues.adopt(configuration);
    fixture.begin_term();
    // A wave of tasks on 16 cores, and two that wait behind it.
    fixture.submit("a", 48,
        [](work_record& job)
        {
            job.accepted_ms = wall_time_ms();
            job.queue.target_ms = 9000;
            job.steps[0].estimated_ms = 500;
        });
    fixture.run_for(second);
    cr_assert(fixture.term->forecast().estimates().at(0).wait_ms >= 1000);
    fixture.end_term();
    fixture.workers.workers.begin()->second.silent = true;
    fixture.begin_term();
    fixture.run_for(second);
    cr_assert(fixture.term->is_loaded());
    cr_assert(fixture.term->forecast().estimates().empty());
}

Test(dispatcher, never_exceeds_the_capacity_of_workers)
{
    cell_fixture fixture(2);
    fixture.begin_term();
    fixture.submit("a", 20);
    fixture.run_for(second);
    for (auto const& [id, worker] : fixture.workers.workers)
    {
        cr_assert(worker.running.size() <= 4U);
    }
    cr_assert(fixture.workers.running_count() == 8U);
}

Test(dispatcher, a_successor_resumes_running_tasks_and_repeats_nothing)
{
    cell_fixture fixture;
    fixture.begin_term();
    fixture.submit("a", 3);
    fixture.run_for(second);
    fixture.workers.end_run("w0", first_task, run_outcome::succeeded);
    fixture.end_term();
    fixture.begin_term();
    fixture.run_for(second);
    fixture.workers.end_all_runs(run_outcome::succeeded);
    fixture.run_for(second);
    cr_assert(fixture.state_of("a") == work_state::succeeded);
    cr_assert(fixture.workers.all_starts.size() == 3U);
}

Test(dispatcher, a_completion_known_only_to_an_unreachable_worker_is_waited_for)
{
    cell_fixture fixture;
    std::string const worker_id = fixture.run_one_task();
    fixture.end_term();
    fixture.workers.end_run(worker_id, first_task, run_outcome::succeeded);
    fixture.workers.workers[worker_id].silent = true;
    fixture.begin_term();
    // Shorter than the lease that the earlier scheduler may have granted.
    fixture.run_for(6 * second);
    cr_assert(fixture.starts_of(first_task) == 1U);
    fixture.workers.workers[worker_id].silent = false;
    fixture.run_for(second);
    cr_assert(fixture.state_of("a") == work_state::succeeded);
    cr_assert(fixture.starts_of(first_task) == 1U);
}

// Guards against a successor that has read only a part of the completions.
Test(dispatcher, completions_beyond_the_first_report_are_waited_for)
{
    cell_fixture fixture(1);
    fixture.begin_term();
    fixture.submit("a", 4);
    fixture.run_for(second);
    cr_assert(fixture.workers.running_count() == 4U);
    fixture.end_term();
    fixture.workers.end_all_runs(run_outcome::succeeded);
    fixture.workers.workers["w0"].max_listed = 2;
    fixture.begin_term();
    fixture.run_for(2 * second);
    cr_assert(fixture.workers.all_starts.size() == 4U);
    cr_assert(fixture.state_of("a") == work_state::succeeded);
}

Test(dispatcher, an_unreachable_and_unlisted_worker_is_waited_for_too)
{
    cell_fixture fixture;
    std::string const worker_id = fixture.run_one_task();
    fixture.end_term();
    fixture.workers.workers[worker_id].silent = true;
    fixture.unlist_worker(worker_id);
    fixture.begin_term();
    fixture.run_for(6 * second);
    cr_assert(fixture.starts_of(first_task) == 1U);
    fixture.run_for(4 * second);
    cr_assert(fixture.starts_of(first_task) == 2U);
}

Test(dispatcher, a_late_removal_does_not_hide_a_worker_that_is_listed_again)
{
    cell_fixture fixture(1);
    fixture.begin_term();
    fake_cell_worker& worker = fixture.workers.workers["w0"];
    // The removal of the worker's record is in doubt.
    worker.silent = true;
    fixture.unlist_worker("w0");
    fixture.store.delay_changes = true;
    while (fixture.store.delayed_changes.empty())
    {
        fixture.run_for(milliseconds(10));
    }
    fixture.store.delay_changes = false;
    worker.silent = false;
    fixture.list_worker("w0");
    fixture.submit("a", 1);
    fixture.run_for(second);
    cr_assert(fixture.starts_of(first_task) == 1U);
    fixture.store.execute_delayed_changes();
    fixture.end_term();
    worker.silent = true;
    fixture.unlist_worker("w0");
    fixture.list_worker("w1");
    fixture.begin_term();
    fixture.run_for(6 * second);
    cr_assert(fixture.starts_of(first_task) == 1U);
}

Test(dispatcher, a_removal_with_a_lost_answer_is_recognised)
{
    cell_fixture fixture(1);
    fixture.begin_term();
    fixture.workers.workers["w0"].silent = true;
    fixture.unlist_worker("w0");
    fixture.store.lose_answers = 1;
    fixture.run_for(2 * second);
    cr_assert(fixture.store.count(tables::workers) == 0U);
    cr_assert(fixture.replaced == 0);
    int const attempts = fixture.store.attempts;
    fixture.run_for(2 * second);
    cr_assert(fixture.store.attempts == attempts);
}

Test(dispatcher, new_jobs_do_not_wait_for_unreachable_workers)
{
    cell_fixture fixture;
    fixture.begin_term();
    fixture.end_term();
    fixture.workers.workers["w0"].silent = true;
    fixture.begin_term();
    // The predecessor may start it until its leader lease expires.
    fixture.submit("early", 1);
    fixture.run_for(2 * second);
    cr_assert(fixture.workers.running_count() == 0U);
    fixture.submit("new", 1);
    fixture.run_for(second);
    cr_assert(fixture.workers.running_count() == 1U);
    cr_assert(fixture.starts_of({{"new", 0, 0}, 0}) == 1U);
}

Test(dispatcher, a_job_announced_from_its_second_record_is_not_a_new_job)
{
    cell_fixture fixture;
    fixture.begin_term();
    fixture.end_term();
    fixture.workers.workers["w0"].silent = true;
    fixture.begin_term();
    // The answers to the reads of jobs before the predecessor's lease ends.
    fixture.run_for(milliseconds(500));
    fixture.store.set({tables::jobs, "n9", "y.cancel"}, "");
    fixture.run_for(milliseconds(400));
    fixture.store.set({tables::jobs, "n9", "z.cancel"}, "");
    fixture.run_for(milliseconds(100));
    work_record record;
    record.id = "a";
    record.queue.service = "s";
    record.steps.resize(1);
    record.steps[0].need = {1000, 1024, 0};
    fixture.store.set(tables::job_row_key("n1", "a"), pack(record));
    fixture.workers.workers["w0"].running[first_task] = 1;
    fixture.run_for(milliseconds(150));
    std::int64_t const version =
        fixture.store.set(tables::job_row_key("n2", "a"), pack(record));
    fixture.term->accept(record, version);
    fixture.run_for(second);
    cr_assert(fixture.starts_of(first_task) == 0U);
}

Test(dispatcher,
    a_job_that_the_predecessor_started_late_is_not_started_elsewhere)
{
    cell_fixture fixture;
    fixture.begin_term();
    fixture.end_term();
    fake_cell_worker& worker = fixture.workers.workers["w0"];
    worker.silent = true;
    fixture.begin_term();
    // Stored after the claim, and started by the predecessor on a worker that
    // only it reaches.
    task_id const task{{"a", 0, 0}, 0};
    worker.running[task] = 1;
    fixture.submit("a", 1);
    fixture.run_for(6 * second);
    cr_assert(fixture.starts_of(task) == 0U);
    worker.silent = false;
    fixture.run_for(second);
    cr_assert(fixture.state_of("a") == work_state::running);
    cr_assert(fixture.starts_of(task) == 0U);
}

Test(dispatcher, an_old_job_that_is_stored_again_is_not_a_new_job)
{
    cell_fixture fixture;
    std::string const worker_id = fixture.run_one_task();
    fixture.end_term();
    fixture.workers.workers[worker_id].silent = true;
    fixture.begin_term();
    work_record again;
    again.id = "a";
    again.queue.service = "s";
    again.steps.resize(1);
    fixture.term->accept(again, fixture.store.version + 100);
    fixture.run_for(2 * second);
    cr_assert(fixture.starts_of(first_task) == 1U);
}

Test(dispatcher, a_start_without_an_answer_is_not_started_elsewhere)
{
    cell_fixture fixture;
    fixture.begin_term();
    for (int i = 0; i < 4; ++i)
    {
        fixture.workers.workers["w" + std::to_string(i)].lose_replies = 5;
    }
    fixture.submit("a", 1);
    fixture.run_for(milliseconds(300));
    // The task runs on at most one worker at any time, whatever the replies.
    cr_assert(fixture.workers.running_count() <= 1U);
    fixture.run_for(second);
    cr_assert(fixture.workers.running_count() <= 1U);
}

Test(dispatcher, tasks_of_a_lost_worker_run_elsewhere_after_its_lease)
{
    cell_fixture fixture;
    std::string const worker_id = fixture.run_one_task();
    fixture.workers.workers[worker_id].silent = true;
    fixture.run_for(4 * second);
    cr_assert(fixture.starts_of(first_task) == 1U);
    fixture.run_for(2 * second);
    cr_assert(fixture.starts_of(first_task) == 2U);
    cr_assert(fixture.workers.all_starts.back().first != worker_id);
}

Test(dispatcher, a_job_fails_after_its_attempts_and_no_later)
{
    cell_fixture fixture;
    fixture.begin_term();
    fixture.submit("a", 1);
    for (int i = 0; i < 6; ++i)
    {
        fixture.run_for(second);
        fixture.workers.end_all_runs(run_outcome::failed);
    }
    fixture.run_for(second);
    cr_assert(fixture.workers.all_starts.size() == 3U);
    cr_assert(fixture.state_of("a") == work_state::failed);
}

Test(dispatcher, a_gang_whose_member_fails_is_stopped_and_restarted)
{
    cell_fixture fixture;
    fixture.begin_term();
    fixture.submit("a", 3, [](work_record& job) { job.steps[0].gang = true; });
    fixture.run_for(second);
    cr_assert(fixture.workers.running_count() == 3U);
    std::string worker_id = fixture.workers.all_starts.front().first;
    fixture.workers.end_run(worker_id,
        fixture.workers.all_starts.front().second, run_outcome::failed);
    fixture.run_for(2 * second);
    cr_assert(fixture.workers.running_count() == 3U);
    cr_assert(fixture.workers.all_starts.size() == 6U);
}

Test(dispatcher, a_job_is_stopped_also_when_its_cancellation_arrives_first)
{
    cell_fixture fixture;
    fixture.begin_term();
    fixture.submit("a", 2);
    fixture.run_for(second);
    fixture.term->cancel("a");
    fixture.term->cancel("b");
    fixture.submit("b", 2);
    fixture.run_for(second);
    cr_assert(fixture.workers.running_count() == 0U);
    cr_assert(fixture.state_of("a") == work_state::cancelled);
    cr_assert(fixture.state_of("b") == work_state::cancelled);
}

Test(dispatcher, a_replaced_scheduler_learns_of_it_from_any_worker)
{
    cell_fixture fixture;
    fixture.begin_term();
    for (int i = 0; i < 4; ++i)
    {
        fixture.workers.workers["w" + std::to_string(i)].fencing_token =
            order_fences(9).current();
    }
    fixture.run_for(second);
    cr_assert(fixture.replaced > 0);
}

Test(dispatcher, nothing_is_started_without_the_leader_lease)
{
    cell_fixture fixture;
    fixture.begin_term();
    fixture.may_start = false;
    fixture.submit("a", 1);
    fixture.run_for(second);
    cr_assert(fixture.workers.all_starts.empty());
    fixture.may_start = true;
    fixture.run_for(second);
    cr_assert(fixture.workers.all_starts.size() == 1U);
}

Test(dispatcher, an_advice_answer_after_the_leader_lease_starts_nothing)
{
    cell_fixture fixture(1);
    fixture.begin_term();
    fixture.submit("a", 5,
        [](work_record& job) {
            job.queue.advice = {true, 5000, 100};
        });
    // Until the tickets have expired.
    fixture.run_for(3 * second);
    cr_assert(fixture.workers.all_starts.size() == 4U);
    std::function<void()> answer;
    auto answer_at_once = fixture.advice.answer_later;
    fixture.advice.answer_later =
        [&answer](placement_advice::callback done, advice_result const& result)
    { answer = [done, result] { done(result); }; };
    fixture.workers.end_run("w0", first_task, run_outcome::succeeded);
    fixture.run_for(milliseconds(200));
    cr_assert(answer != nullptr);
    fixture.may_start = false;
    fixture.advice.answer_later = answer_at_once;
    answer();
    fixture.run_for(second);
    cr_assert(fixture.workers.all_starts.size() == 4U);
    fixture.may_start = true;
    fixture.run_for(second);
    cr_assert(fixture.workers.all_starts.size() == 5U);
}

Test(dispatcher, an_unanswered_start_is_not_repeated_after_the_leader_lease)
{
    cell_fixture fixture(1);
    fixture.begin_term();
    fixture.workers.workers["w0"].lose_replies = 1;
    fixture.workers.on_started = [&fixture](fake_cell_worker&)
    { fixture.may_start = false; };
    fixture.submit("a", 1);
    fixture.run_for(second);
    cr_assert(fixture.workers.all_starts.size() == 1U);
    cr_assert(fixture.workers.running_count() == 0U);
}

Test(dispatcher, a_refused_repetition_does_not_prove_that_a_task_never_started)
{
    for (order_outcome refusal : {order_outcome::refused_expired,
             order_outcome::refused_no_capacity, order_outcome::refused_ticket})
    {
        cell_fixture fixture;
        fixture.begin_term();
        fixture.workers.on_started = [refusal](fake_cell_worker& worker)
        {
            worker.refuse_next = refusal;
            worker.slow_stops = true;
        };
        for (int i = 0; i < 4; ++i)
        {
            fixture.workers.workers["w" + std::to_string(i)].lose_replies = 1;
        }
        fixture.submit("a", 1);
        fixture.run_for(second);
        cr_assert(fixture.starts_of(first_task) == 1U);
        std::string const first = fixture.workers.all_starts.front().first;
        fixture.workers.end_run(first, first_task, run_outcome::stopped);
        fixture.workers.on_started = nullptr;
        fixture.run_for(second);
        cr_assert(fixture.starts_of(first_task) == 2U);
    }
}

Test(dispatcher, starts_only_where_the_policy_approves_and_with_a_ticket)
{
    cell_fixture fixture;
    fixture.begin_term();
    fixture.advice.refused = {"w0", "w1", "w2"};
    fixture.submit("a", 4,
        [](work_record& job) {
            job.queue.advice = {true, 5000, 100};
        });
    fixture.run_for(second);
    cr_assert(fixture.workers.workers["w3"].starts.size() == 4U);
    cr_assert(fixture.workers.workers["w3"].starts[0].ticket == "ticket-w3");
    cr_assert(fixture.workers.all_starts.size() == 4U);
}

Test(dispatcher, a_busy_policy_is_asked_again_and_not_flooded)
{
    cell_fixture fixture;
    fixture.begin_term();
    fixture.advice.busy = true;
    for (int i = 0; i < 50; ++i)
    {
        fixture.submit("job-" + std::to_string(i), 1,
            [](work_record& job) {
                job.queue.advice = {true, 5000, 100};
            });
    }
    fixture.run_for(2 * second);
    cr_assert(fixture.advice.calls < 60);
    fixture.advice.busy = false;
    fixture.run_for(3 * second);
    cr_assert(fixture.workers.running_count() > 0U);
}

Test(dispatcher, a_restarted_worker_has_lost_its_tasks)
{
    cell_fixture fixture;
    std::string const worker_id = fixture.run_one_task();
    fake_cell_worker& worker = fixture.workers.workers[worker_id];
    worker = fake_cell_worker{};
    worker.started_ms = 2;
    fixture.run_for(second);
    cr_assert(fixture.starts_of(first_task) == 2U);
    cr_assert(fixture.workers.running_count() == 1U);
}

Test(
    dispatcher, a_start_that_reaches_the_next_incarnation_of_a_worker_is_barred)
{
    cell_fixture fixture(1);
    fixture.begin_term();
    fake_cell_worker& worker = fixture.workers.workers["w0"];
    worker.delay_starts = true;
    fixture.submit("a", 1);
    fixture.run_for(milliseconds(50));
    cr_assert(worker.delayed_starts.size() >= 1U);
    std::vector<start_order> const late = worker.delayed_starts;
    worker = fake_cell_worker{};
    worker.started_ms = 2;
    // The next run of the task is started on another worker.
    fixture.list_worker("w0", true);
    fixture.list_worker("w1");
    fixture.run_for(2 * second);
    cr_assert(fixture.workers.workers["w1"].running.size() == 1U);
    worker.delayed_starts = late;
    fixture.workers.deliver_delayed_starts("w0");
    cr_assert(fixture.workers.running_count() <= 1U);
}

Test(dispatcher, a_late_start_after_a_confirmed_stop_is_barred_by_a_restart)
{
    cell_fixture fixture(1);
    fixture.begin_term();
    fake_cell_worker& worker = fixture.workers.workers["w0"];
    worker.delay_starts = true;
    fixture.submit("a", 1);
    fixture.run_for(milliseconds(50));
    std::vector<start_order> const late = worker.delayed_starts;
    fixture.list_worker("w0", true);
    fixture.list_worker("w1");
    // The stop is confirmed, and the task is started elsewhere.
    fixture.run_for(2 * second);
    cr_assert(fixture.workers.workers["w1"].running.size() == 1U);
    worker = fake_cell_worker{};
    worker.started_ms = 2;
    fixture.run_for(second);
    worker.delayed_starts = late;
    fixture.workers.deliver_delayed_starts("w0");
    cr_assert(fixture.workers.running_count() == 1U);
}

Test(dispatcher, a_late_start_on_a_lost_worker_does_not_run_beside_another)
{
    cell_fixture fixture(1);
    fixture.begin_term();
    fake_cell_worker& worker = fixture.workers.workers["w0"];
    worker.delay_starts = true;
    fixture.submit("a", 1);
    fixture.run_for(milliseconds(50));
    std::vector<start_order> const late = worker.delayed_starts;
    cr_assert(not late.empty());
    worker.silent = true;
    fixture.list_worker("w1");
    // The lease has expired, but a restarted worker does not know of it.
    fixture.run_for(8 * second);
    worker = fake_cell_worker{};
    worker.started_ms = 2;
    worker.silent = true;
    worker.delayed_starts = late;
    fixture.workers.deliver_delayed_starts("w0");
    cr_assert(fixture.workers.running_count() == 1U);
    worker.silent = false;
    for (int i = 0; i < 200; ++i)
    {
        fixture.run_for(milliseconds(10));
        cr_assert(fixture.workers.running_count() <= 1U);
    }
    cr_assert(fixture.workers.running_count() == 1U);
}

Test(dispatcher, an_unanswered_start_is_kept_while_the_worker_renews_its_lease)
{
    cell_fixture fixture(1);
    fixture.begin_term();
    fake_cell_worker& worker = fixture.workers.workers["w0"];
    worker.lose_replies = 2;
    worker.slow_stops = true;
    fixture.submit("a", 1);
    fixture.run_for(milliseconds(50));
    worker.silent = true;
    fixture.list_worker("w1");
    fixture.run_for(7 * second);
    // Heard for a moment between two sweeps, again and again.
    for (int i = 0; i < 28; ++i)
    {
        fixture.run_for(milliseconds(40));
        worker.silent = false;
        fixture.run_for(milliseconds(160));
        worker.silent = true;
        fixture.run_for(milliseconds(50));
        cr_assert(fixture.workers.running_count() <= 1U);
    }
}

Test(dispatcher, a_task_of_a_lost_worker_waits_no_longer_than_orders_take)
{
    cell_fixture fixture(1);
    fixture.begin_term();
    fixture.workers.workers["w0"].delay_starts = true;
    fixture.submit(
        "a", 1, [](work_record& job) { job.queue.advice.required = true; });
    fixture.run_for(milliseconds(50));
    cr_assert(not fixture.workers.workers["w0"].delayed_starts.empty());
    fixture.workers.workers["w0"].silent = true;
    fixture.list_worker("w1");
    fixture.run_for(11 * second);
    cr_assert(fixture.starts_of(first_task) == 0U);
    fixture.run_for(3 * second);
    cr_assert(fixture.workers.workers["w1"].running.contains(first_task));
}

Test(dispatcher, a_late_start_on_an_unnoticed_incarnation_does_not_run_twice)
{
    cell_fixture fixture(1);
    fixture.begin_term();
    fake_cell_worker& worker = fixture.workers.workers["w0"];
    worker.delay_starts = true;
    fixture.submit("a", 1);
    fixture.run_for(milliseconds(50));
    worker.silent = true;
    fixture.list_worker("w1");
    fixture.run_for(11 * second);
    fixture.restart_before_delayed_calls("w0");
    worker.silent = true;
    fixture.workers.deliver_delayed_starts("w0");
    cr_assert(worker.running.contains(first_task));
    // The clock of the earlier incarnation was far ahead: the lease ends at the
    // platform's limit.
    fixture.run_for(10 * second);
    cr_assert(fixture.workers.running_count() == 1U);
    fixture.workers.end_run("w0", first_task, run_outcome::lapsed);
    fixture.run_for(4 * second);
    cr_assert(fixture.workers.workers["w1"].running.contains(first_task));
}

Test(dispatcher, a_start_on_an_unnoticed_incarnation_does_not_run_twice)
{
    cell_fixture fixture(1);
    fixture.begin_term();
    fake_cell_worker& worker = fixture.workers.workers["w0"];
    worker.withhold_watches = true;
    fixture.run_for(milliseconds(100));
    fixture.restart_before_delayed_calls("w0");
    fixture.submit("a", 1);
    fixture.run_for(milliseconds(100));
    cr_assert(worker.running.contains(first_task));
    worker.silent = true;
    fixture.workers.deliver_delayed_watches("w0");
    fixture.list_worker("w1");
    fixture.run_for(9 * second);
    cr_assert(fixture.workers.running_count() == 1U);
    fixture.workers.end_run("w0", first_task, run_outcome::lapsed);
    fixture.run_for(4 * second);
    cr_assert(fixture.workers.workers["w1"].running.contains(first_task));
}

// Guards against a task that is started again while it runs on a boot of its
// worker that the scheduler has not heard of.
Test(dispatcher, a_ticket_for_an_unnoticed_incarnation_lets_no_task_run_twice)
{
    cell_fixture fixture(1);
    fixture.begin_term();
    fixture.run_for(10 * second);
    fake_cell_worker& worker = fixture.workers.workers["w0"];
    worker.withhold_watches = true;
    fixture.run_for(2 * second);
    fixture.restart_before_delayed_calls("w0");
    // The policy issues the ticket after the restart.
    fixture.submit(
        "a", 1, [](work_record& job) { job.queue.advice.required = true; });
    fixture.run_for(milliseconds(100));
    cr_assert(worker.running.contains(first_task));
    worker.silent = true;
    fixture.workers.deliver_delayed_watches("w0");
    fixture.list_worker("w1");
    // The lease ends by the clock of the earlier incarnation, so that only the
    // platform's limit of 10 s bounds it.
    fixture.run_for(10 * second);
    cr_assert(fixture.workers.running_count() == 1U);
    fixture.workers.end_run("w0", first_task, run_outcome::lapsed);
    fixture.run_for(15 * second);
    cr_assert(fixture.workers.workers["w1"].running.contains(first_task));
}

// Guards against a lease on an unnoticed boot that another start has extended.
Test(dispatcher, a_later_start_on_an_unnoticed_incarnation_extends_all_its_runs)
{
    cell_fixture fixture(1);
    fixture.begin_term();
    fixture.run_for(10 * second);
    fake_cell_worker& worker = fixture.workers.workers["w0"];
    worker.withhold_watches = true;
    fixture.run_for(milliseconds(100));
    fixture.restart_before_delayed_calls("w0");
    fixture.submit("a", 1);
    fixture.run_for(milliseconds(100));
    cr_assert(worker.running.contains(first_task));
    fixture.run_for(milliseconds(1500));
    task_id const next_task{{"b", 0, 0}, 0};
    fixture.submit("b", 1);
    fixture.run_for(milliseconds(100));
    cr_assert(worker.running.contains(next_task));
    worker.silent = true;
    fixture.workers.deliver_delayed_watches("w0");
    fixture.list_worker("w1");
    fixture.run_for(milliseconds(9700));
    cr_assert(worker.lease_until_ms > 10000);
    cr_assert(fixture.starts_of(first_task) == 1U);
    fixture.workers.end_run("w0", first_task, run_outcome::lapsed);
    fixture.workers.end_run("w0", next_task, run_outcome::lapsed);
    fixture.run_for(15 * second);
    cr_assert(fixture.workers.workers["w1"].running.contains(first_task));
}

// Guards against a ticket taken for a bar on the very boot it was issued to.
Test(dispatcher, a_late_start_with_a_ticket_on_a_noticed_incarnation_runs_alone)
{
    cell_fixture fixture(1);
    fixture.begin_term();
    fixture.run_for(10 * second);
    fake_cell_worker& worker = fixture.workers.workers["w0"];
    worker.withhold_watches = true;
    fixture.run_for(milliseconds(100));
    fixture.restart_before_delayed_calls("w0");
    worker.withhold_replies = true;
    fixture.submit(
        "a", 1, [](work_record& job) { job.queue.advice.required = true; });
    fixture.run_for(milliseconds(100));
    cr_assert(worker.delayed_starts.size() == 1U);
    worker.withhold_answers = true;
    fixture.workers.deliver_delayed_watches("w0");
    fixture.run_for(milliseconds(50));
    cr_assert(worker.withheld_answers.size() == 1U);
    worker.silent = true;
    fixture.workers.deliver_withheld_answers("w0");
    fixture.list_worker("w1");
    fixture.run_for(11 * second);
    cr_assert(fixture.starts_of(first_task) == 0U);
    fixture.workers.deliver_delayed_starts("w0");
    cr_assert(worker.running.contains(first_task));
    fixture.run_for(9 * second);
    cr_assert(fixture.workers.running_count() == 1U);
    fixture.workers.end_run("w0", first_task, run_outcome::lapsed);
    fixture.run_for(15 * second);
    cr_assert(fixture.workers.workers["w1"].running.contains(first_task));
}

// Guards against a replaced leader that starts a task again, while its worker
// runs it under a lease of the successor.
Test(dispatcher, an_unanswered_start_is_given_up_only_by_a_confirmed_leader)
{
    cell_fixture fixture(1);
    fixture.begin_term();
    fixture.workers.workers["w0"].delay_starts = true;
    fixture.submit("a", 1);
    fixture.run_for(milliseconds(50));
    fixture.workers.workers["w0"].silent = true;
    fixture.list_worker("w1");
    fixture.run_for(9 * second);
    // The last heartbeat is confirmed now.
    fixture.lease_limit =
        fixture.loop.now() + worker_lease::lease_after_heartbeat;
    fixture.run_for(17 * second);
    cr_assert(fixture.starts_of(first_task) == 0U);
    fixture.lease_limit = time_point::max();
    fixture.run_for(second);
    cr_assert(fixture.workers.workers["w1"].running.contains(first_task));
}

// Guards against a successor that counts a lease by its own grants only, while
// a late poll of its predecessor has given the worker a longer one.
Test(dispatcher, a_lease_that_a_predecessor_may_have_given_is_waited_for)
{
    cell_fixture fixture(1);
    fixture.run_one_task();
    fixture.begin_term();
    fake_cell_worker& worker = fixture.workers.workers["w0"];
    cr_assert(worker.running.contains(first_task));
    worker.silent = true;
    fixture.list_worker("w1");
    fixture.run_for(9 * second);
    cr_assert(fixture.starts_of(first_task) == 1U);
    fixture.workers.end_run("w0", first_task, run_outcome::lapsed);
    fixture.run_for(3 * second);
    cr_assert(fixture.workers.workers["w1"].running.contains(first_task));
}

// Guards against a start that is sent after the end of an earlier run has been
// read, while it waited for advice.
Test(dispatcher, a_reserved_task_that_has_succeeded_is_not_started)
{
    cell_fixture fixture(2);
    fixture.begin_term();
    // Both workers are approved, because one has no room for all tasks.
    fixture.submit("a", 3,
        [](work_record& job)
        {
            job.queue.advice.required = true;
            job.steps[0].need = {1500, 1024, 0};
        });
    fixture.run_for(second);
    cr_assert(fixture.workers.running_count() == 3U);
    std::string const holder = fixture.workers.all_starts.front().first;
    cr_assert(fixture.workers.all_starts.front().second == first_task);
    std::vector<std::function<void()>> answers;
    fixture.advice.answer_later =
        [&answers](placement_advice::callback done, advice_result const& result)
    { answers.push_back([done, result] { done(result); }); };
    fake_cell_worker& worker = fixture.workers.workers[holder];
    worker.silent = true;
    fixture.workers.end_run(holder, first_task, run_outcome::succeeded);
    fixture.run_for(6 * second);
    cr_assert(answers.size() == 1U);
    worker.silent = false;
    fixture.run_for(second);
    cr_assert(worker.acknowledged == 1);
    answers.front()();
    fixture.run_for(second);
    cr_assert(fixture.starts_of(first_task) == 1U);
}

// Guards against a task that waits for the longest lease although its run is
// known to be on the incarnation whose lease has expired.
Test(dispatcher, a_run_that_the_known_incarnation_confirmed_ends_with_its_lease)
{
    cell_fixture fixture(1);
    fixture.begin_term();
    fixture.run_for(10 * second);
    fake_cell_worker& worker = fixture.workers.workers["w0"];
    worker.withhold_watches = true;
    fixture.submit("a", 1);
    fixture.run_for(milliseconds(100));
    cr_assert(worker.running.contains(first_task));
    worker.silent = true;
    fixture.workers.deliver_delayed_watches("w0");
    fixture.list_worker("w1");
    fixture.run_for(4 * second);
    cr_assert(fixture.workers.running_count() == 1U);
    fixture.workers.end_run("w0", first_task, run_outcome::lapsed);
    fixture.run_for(2 * second);
    cr_assert(fixture.workers.workers["w1"].running.contains(first_task));
}

// Guards against a report of a restart that is older than a confirmed start.
Test(dispatcher, a_run_confirmed_before_the_report_of_a_restart_is_not_given_up)
{
    cell_fixture fixture(1);
    fixture.begin_term();
    fixture.run_for(10 * second);
    fixture.restart_before_delayed_calls("w0");
    fake_cell_worker& worker = fixture.workers.workers["w0"];
    worker.withhold_answers = true;
    fixture.run_for(milliseconds(100));
    cr_assert(worker.withheld_answers.size() == 1U);
    fixture.submit("a", 1);
    fixture.run_for(milliseconds(20));
    cr_assert(worker.running.contains(first_task));
    fixture.list_worker("w0", true);
    fixture.list_worker("w1");
    fixture.run_for(milliseconds(500));
    fixture.workers.deliver_withheld_answers("w0");
    for (int i = 0; i < 100; ++i)
    {
        fixture.run_for(milliseconds(10));
        cr_assert(fixture.workers.running_count() == 1U);
    }
    cr_assert(fixture.starts_of(first_task) == 1U);
}

Test(dispatcher, a_durable_completion_settles_none_of_the_next_incarnation)
{
    cell_fixture fixture(1);
    fixture.begin_term();
    fixture.submit("a", 2);
    fixture.run_for(second);
    fixture.store.transaction_time = milliseconds(500);
    fake_cell_worker& worker = fixture.workers.workers["w0"];
    fixture.workers.end_run("w0", first_task, run_outcome::succeeded);
    fixture.run_for(milliseconds(100));
    worker = fake_cell_worker{};
    worker.started_ms = 2;
    // The restart is noticed.
    fixture.run_for(milliseconds(150));
    task_id const next_task{{"b", 0, 0}, 0};
    fixture.submit("b", 1);
    while (not worker.running.contains(next_task))
    {
        fixture.run_for(milliseconds(10));
    }
    fixture.workers.end_run("w0", next_task, run_outcome::succeeded);
    fixture.run_for(milliseconds(350));
    // Only the completion of the first task is durable.
    cr_assert(fixture.state_of("b") == work_state::running);
    cr_assert(worker.acknowledged == 0);
    fixture.run_for(second);
    cr_assert(fixture.state_of("b") == work_state::succeeded);
    cr_assert(worker.acknowledged == 1);
    fixture.workers.end_all_runs(run_outcome::succeeded);
    fixture.run_for(2 * second);
    cr_assert(fixture.state_of("a") == work_state::succeeded);
    cr_assert(worker.acknowledged == 2);
}

Test(dispatcher, a_late_watch_of_an_earlier_incarnation_hides_no_completion)
{
    cell_fixture fixture(1);
    fake_cell_worker& worker = fixture.run_acknowledged_task();
    worker.delay_watches = true;
    fixture.run_for(milliseconds(400));
    cr_assert(not worker.delayed_watches.empty());
    fixture.restart_before_delayed_calls("w0");
    // The restart is noticed.
    fixture.run_for(second);
    fixture.submit("b", 1);
    fixture.run_for(second);
    task_id const next_task{{"b", 0, 0}, 0};
    cr_assert(worker.running.contains(next_task));
    fixture.workers.end_run("w0", next_task, run_outcome::succeeded);
    fixture.workers.deliver_delayed_watches("w0");
    fixture.run_for(2 * second);
    cr_assert(fixture.starts_of(next_task) == 1U);
    cr_assert(fixture.state_of("b") == work_state::succeeded);
}

Test(dispatcher, a_watch_after_an_unnoticed_restart_hides_no_completion)
{
    cell_fixture fixture(1);
    fake_cell_worker& worker = fixture.run_acknowledged_task();
    worker.withhold_replies = true;
    fixture.submit("b", 1);
    fixture.run_for(milliseconds(50));
    cr_assert(worker.delayed_starts.size() == 1U);
    worker.silent = true;
    fixture.run_for(milliseconds(400));
    fixture.restart_before_delayed_calls("w0");
    fixture.workers.deliver_delayed_starts("w0");
    task_id const next_task{{"b", 0, 0}, 0};
    fixture.workers.end_run("w0", next_task, run_outcome::succeeded);
    // Only now is the restart noticed.
    fixture.run_for(2 * second);
    cr_assert(fixture.starts_of(next_task) == 1U);
    cr_assert(fixture.state_of("b") == work_state::succeeded);
}

Test(dispatcher, a_watch_sent_before_a_start_hides_no_completion_of_its_run)
{
    cell_fixture fixture(1);
    fake_cell_worker& worker = fixture.run_acknowledged_task();
    worker.withhold_watches = true;
    fixture.run_for(milliseconds(400));
    cr_assert(worker.delayed_watches.size() == 1U);
    fixture.restart_before_delayed_calls("w0");
    // The scheduler still waits for the watch when it starts the next task.
    fixture.submit("b", 1);
    fixture.run_for(milliseconds(100));
    task_id const next_task{{"b", 0, 0}, 0};
    cr_assert(worker.running.contains(next_task));
    fixture.workers.end_run("w0", next_task, run_outcome::succeeded);
    fixture.workers.deliver_delayed_watches("w0");
    fixture.run_for(2 * second);
    cr_assert(fixture.starts_of(next_task) == 1U);
    cr_assert(fixture.state_of("b") == work_state::succeeded);
}

// Guards against an acknowledgement to a boot that refused the watch before it.
Test(dispatcher, a_watch_after_one_refused_by_a_new_boot_hides_no_completion)
{
    cell_fixture fixture(1);
    fake_cell_worker& worker = fixture.run_acknowledged_task();
    worker.withhold_watches = true;
    fixture.run_for(milliseconds(400));
    cr_assert(worker.delayed_watches.size() == 1U);
    fixture.restart_before_delayed_calls("w0");
    fixture.submit("b", 1);
    fixture.run_for(milliseconds(100));
    task_id const next_task{{"b", 0, 0}, 0};
    cr_assert(worker.running.contains(next_task));
    fixture.workers.end_run("w0", next_task, run_outcome::succeeded);
    fixture.workers.deliver_delayed_watches_with_refusals("w0");
    fixture.run_for(2 * second);
    cr_assert(fixture.starts_of(next_task) == 1U);
    cr_assert(fixture.state_of("b") == work_state::succeeded);
}

Test(dispatcher, a_late_watch_of_an_earlier_incarnation_extends_no_lease)
{
    cell_fixture fixture(1);
    fake_cell_worker& worker = fixture.run_acknowledged_task();
    worker.delay_watches = true;
    fixture.run_for(milliseconds(400));
    fixture.restart_before_delayed_calls("w0");
    fixture.run_for(second);
    fixture.submit("b", 1);
    fixture.run_for(second);
    task_id const next_task{{"b", 0, 0}, 0};
    cr_assert(worker.running.contains(next_task));
    // The clock of the earlier incarnation was far ahead.
    std::int64_t const granted = worker.lease_until_ms;
    for (delayed_watch& watch : worker.delayed_watches)
    {
        watch.order.lease_until_ms = granted + 60000;
    }
    fixture.workers.deliver_delayed_watches("w0");
    cr_assert(worker.lease_until_ms == granted);
}

Test(dispatcher, a_lease_that_reached_the_next_incarnation_is_waited_for)
{
    cell_fixture fixture(1);
    std::string const worker_id = fixture.run_one_task();
    fake_cell_worker& worker = fixture.workers.workers[worker_id];
    worker = fake_cell_worker{};
    worker.started_ms = 2;
    // A late order to the previous incarnation: the worker shortens its lease
    // to the platform's limit.
    std::int64_t const until = std::chrono::duration_cast<milliseconds>(
        fixture.loop.now().time_since_epoch() + 10 * second)
                                   .count();
    worker.lease_until_ms = until;
    fixture.run_for(second);
    cr_assert(worker.running.contains(first_task));
    worker.silent = true;
    fixture.list_worker("w1");
    fixture.run_for(8 * second);
    cr_assert(fixture.starts_of(first_task) == 2U);
    fixture.run_for(4 * second);
    cr_assert(fixture.starts_of(first_task) == 3U);
}

Test(dispatcher, a_restarted_worker_gets_no_longer_lease_than_before)
{
    cell_fixture fixture(1);
    fixture.run_one_task();
    fake_cell_worker& worker = fixture.workers.workers["w0"];
    worker = fake_cell_worker{};
    worker.started_ms = 2;
    fixture.run_for(milliseconds(200));
    std::int64_t const now = std::chrono::duration_cast<milliseconds>(
        fixture.loop.now().time_since_epoch())
                                 .count();
    // A successor counts on leases of at most 5 s.
    cr_assert(worker.lease_until_ms <= now + 5000);
}

Test(dispatcher, a_start_stopped_before_its_reply_is_barred_after_a_restart)
{
    cell_fixture fixture(2);
    fixture.begin_term();
    fake_cell_worker& first = fixture.workers.workers["w0"];
    first.withhold_replies = true;
    fixture.workers.workers["w1"].refuse_next = order_outcome::not_done;
    fixture.submit("a", 2,
        [](work_record& job)
        {
            job.steps[0].gang = true;
            job.steps[0].need = {3000, 1024, 0};
        });
    fixture.run_for(milliseconds(20));
    std::vector<start_order> const late = first.delayed_starts;
    cr_assert(not late.empty());
    first = fake_cell_worker{};
    first.started_ms = 2;
    fixture.list_worker("w0", true);
    fixture.list_worker("w2");
    fixture.run_for(second);
    first.delayed_starts = late;
    fixture.workers.deliver_delayed_starts("w0");
    cr_assert(fixture.workers.running_count() == 2U);
}

Test(dispatcher, completions_and_runs_of_unknown_tasks_change_nothing)
{
    cell_fixture fixture(1);
    fixture.run_one_task();
    fake_cell_worker& worker = fixture.workers.workers["w0"];
    task_id const out_of_range{{"a", 0, 0}, 7};
    task_id const unknown{{"x", 3, 2}, 1};
    for (task_id const& task : {out_of_range, unknown})
    {
        worker.completions.push_back(
            {++worker.last_number, task, 1, run_outcome::failed, "checkpoint"});
    }
    worker.running[out_of_range] = 1;
    fixture.run_for(second);
    cr_assert(worker.acknowledged == worker.last_number);
    cr_assert_not(worker.running.contains(out_of_range));
    cr_assert(fixture.state_of("a") == work_state::running);
}

Test(dispatcher, a_run_whose_job_is_read_late_is_kept_and_not_started_again)
{
    cell_fixture fixture;
    fixture.run_one_task();
    fixture.end_term();
    task_id const task{{"late", 0, 0}, 0};
    fixture.workers.workers["w1"].running[task] = 1;
    fixture.begin_term();
    fixture.submit("late", 1);
    fixture.run_for(second);
    cr_assert(fixture.starts_of(task) == 0U);
    cr_assert(fixture.workers.workers["w1"].running.contains(task));
    cr_assert(fixture.state_of("late") == work_state::running);
    fixture.workers.end_run("w1", task, run_outcome::succeeded);
    fixture.run_for(second);
    cr_assert(fixture.state_of("late") == work_state::succeeded);
}

Test(dispatcher, a_worker_gets_no_work_while_it_runs_tasks_of_an_unknown_job)
{
    cell_fixture fixture(1);
    fixture.begin_term();
    fixture.end_term();
    for (std::uint32_t i = 0; i < 4; ++i)
    {
        fixture.workers.workers["w0"].running[{{"late", 0, 0}, i}] = 1;
    }
    fixture.submit("other", 1);
    fixture.begin_term();
    cr_assert(fixture.workers.running_count() == 4U);
    fixture.submit("late", 4);
    fixture.run_for(second);
    cr_assert(fixture.workers.all_starts.empty());
    fixture.workers.end_run("w0", {{"late", 0, 0}, 1}, run_outcome::succeeded);
    fixture.run_for(second);
    cr_assert(fixture.starts_of({{"other", 0, 0}, 0}) == 1U);
}

Test(dispatcher, a_completion_whose_job_is_read_late_is_recorded)
{
    cell_fixture fixture;
    fixture.run_one_task();
    fixture.end_term();
    fake_cell_worker& worker = fixture.workers.workers["w1"];
    task_id const task{{"late", 0, 0}, 0};
    worker.running[task] = 1;
    fixture.workers.end_run("w1", task, run_outcome::succeeded);
    fixture.begin_term();
    cr_assert(worker.acknowledged < worker.last_number);
    fixture.submit("late", 1);
    fixture.run_for(second);
    cr_assert(fixture.starts_of(task) == 0U);
    cr_assert(fixture.state_of("late") == work_state::succeeded);
    cr_assert(worker.acknowledged == worker.last_number);
}

Test(dispatcher, a_run_that_ends_before_its_job_is_read_is_recorded)
{
    cell_fixture fixture;
    fixture.run_one_task();
    fixture.end_term();
    task_id const task{{"late", 0, 0}, 0};
    fake_cell_worker& worker = fixture.workers.workers["w1"];
    worker.running[task] = 1;
    fixture.begin_term();
    fixture.workers.end_run("w1", task, run_outcome::succeeded);
    fixture.run_for(milliseconds(100));
    cr_assert(worker.acknowledged == 0);
    fixture.submit("late", 1);
    fixture.run_for(second);
    cr_assert(fixture.starts_of(task) == 0U);
    cr_assert(fixture.state_of("late") == work_state::succeeded);
}

Test(dispatcher, a_completion_of_an_unknown_job_on_a_restarted_worker_is_held)
{
    cell_fixture fixture(1);
    fixture.run_one_task();
    fake_cell_worker& worker = fixture.workers.workers["w0"];
    worker = fake_cell_worker{};
    worker.started_ms = 2;
    task_id const task{{"late", 0, 0}, 0};
    worker.running[task] = 1;
    fixture.workers.end_run("w0", task, run_outcome::succeeded);
    fixture.run_for(milliseconds(200));
    cr_assert(worker.acknowledged == 0);
    fixture.submit("late", 1);
    fixture.run_for(second);
    cr_assert(fixture.starts_of(task) == 0U);
}

Test(dispatcher, runs_and_completions_of_an_occurrence_not_created_yet_are_held)
{
    cell_fixture fixture;
    fixture.begin_term();
    fixture.submit("a", 2,
        [](work_record& job)
        {
            job.repetitions = 3;
            job.first_run_ms = wall_time_ms() + 1000000;
            job.interval_ms = 1000;
        });
    fixture.end_term();
    fake_cell_worker& worker = fixture.workers.workers["w1"];
    worker.running[first_task] = 1;
    worker.running[{{"a", 0, 0}, 1}] = 1;
    fixture.workers.end_run("w1", first_task, run_outcome::succeeded);
    fixture.begin_term();
    fixture.run_for(4 * second);
    cr_assert(worker.acknowledged == 0);
    cr_assert(worker.running.size() == 1U);
    fixture.term->cancel("a");
    fixture.run_for(second);
    cr_assert(worker.running.empty());
}

// Guards against tasks that are planned before their held runs are applied.
Test(dispatcher, runs_of_an_occurrence_that_another_job_creates_are_kept)
{
    cell_fixture fixture;
    fixture.begin_term();
    std::int64_t const due = wall_time_ms() + 2000;
    fixture.submit("a", 2,
        [due](work_record& job)
        {
            job.repetitions = 3;
            job.first_run_ms = due;
            job.interval_ms = 1000000;
        });
    fixture.end_term();
    fake_cell_worker& worker = fixture.workers.workers["w1"];
    worker.running[first_task] = 1;
    worker.running[{{"a", 0, 0}, 1}] = 1;
    fixture.workers.end_run("w1", first_task, run_outcome::succeeded);
    fixture.begin_term();
    fixture.run_for(milliseconds(310));
    cr_assert(wall_time_ms() < due);
    while (wall_time_ms() <= due)
    {
        std::this_thread::sleep_for(milliseconds(5));
    }
    fixture.submit("b", 1,
        [due](work_record& job)
        {
            job.repetitions = 1;
            job.first_run_ms = due + 1000000;
        });
    fixture.run_for(second);
    cr_assert(fixture.starts_of(first_task) == 0U);
    cr_assert(fixture.starts_of({{"a", 0, 0}, 1}) == 0U);
    cr_assert(worker.acknowledged == 1);
    cr_assert(worker.running.size() == 1U);
}

Test(dispatcher, runs_and_completions_of_a_job_that_does_not_exist_are_dropped)
{
    cell_fixture fixture(1);
    fixture.begin_term();
    fixture.end_term();
    fake_cell_worker& worker = fixture.workers.workers["w0"];
    worker.running[{{"x", 0, 0}, 0}] = 1;
    worker.running[{{"x", 0, 0}, 1}] = 1;
    fixture.workers.end_run("w0", {{"x", 0, 0}, 1}, run_outcome::succeeded);
    fixture.begin_term();
    fixture.run_for(4 * second);
    cr_assert(fixture.workers.running_count() == 0U);
    cr_assert(worker.acknowledged == worker.last_number);
}

Test(dispatcher, a_task_is_not_started_again_while_its_found_run_is_stopped)
{
    cell_fixture fixture;
    fixture.begin_term();
    fixture.submit("a", 1);
    fixture.run_for(second);
    std::string const first = fixture.workers.all_starts.front().first;
    fixture.end_term();
    // A later run of the task, of which only the journal knows, has failed.
    fixture.store.set({tables::journal, tables::scheduler_part, "1.1"},
        pack(std::vector<run_completion>{
            {first_task, 900, run_outcome::failed}}));
    fixture.workers.workers[first].slow_stops = true;
    fixture.begin_term();
    fixture.run_for(second);
    cr_assert(fixture.starts_of(first_task) == 1U);
    fixture.workers.end_run(first, first_task, run_outcome::stopped);
    fixture.run_for(second);
    cr_assert(fixture.starts_of(first_task) == 2U);
}

Test(dispatcher, waiting_gangs_leave_most_workers_to_other_jobs)
{
    constexpr int workers = 16;
    cell_fixture fixture(workers);
    fixture.begin_term();
    fixture.submit("small-everywhere", workers,
        [](work_record& record) { record.steps[0].max_per_worker = 1; });
    fixture.run_for(second);
    cr_assert(fixture.workers.running_count() == std::size_t{workers});
    // No gang fits while each worker runs a task.
    for (int i = 0; i < 6; ++i)
    {
        fixture.submit("gang-" + std::to_string(i), 3,
            [](work_record& record)
            {
                record.steps[0].gang = true;
                record.steps[0].need.cpu_millis = worker_cpu;
            });
    }
    fixture.submit(
        "last", 1, [](work_record& record) { record.queue.priority = 5; });
    fixture.run_for(second);
    cr_assert(fixture.workers.running_count() == std::size_t{workers + 1});
    // Capacity is reserved for the first gang, so it starts once tasks end.
    fixture.workers.end_all_runs(run_outcome::succeeded);
    fixture.run_for(second);
    cr_assert(fixture.starts_of({{"gang-0", 0, 0}, 0}) == 1U);
}

// Guards against a worker that gets no work for seconds after a burst, for
// orders that it has never seen.
Test(dispatcher, orders_that_were_not_sent_quarantine_no_worker)
{
    cell_fixture fixture(1);
    fixture.begin_term();
    constexpr int jobs = 3;
    for (int i = 0; i < jobs; ++i)
    {
        fixture.workers.workers["w0"].refuse_next = order_outcome::not_sent;
        fixture.submit("job" + std::to_string(i), 1);
        fixture.run_for(milliseconds(300));
    }
    cr_assert(fixture.workers.running_count() == std::size_t{jobs});
}

/// A gang whose tasks each need a whole worker.
void submit_wide_gang(cell_fixture& fixture, std::uint32_t tasks)
{
    fixture.submit("gang", tasks,
        [](work_record& record)
        {
            record.steps[0].gang = true;
            record.steps[0].need.cpu_millis = worker_cpu;
        });
}

// Guards against workers that are held back for a gang that cannot fit any
// more, since some were lost.
Test(dispatcher, a_gang_that_is_too_large_keeps_no_worker_from_other_jobs)
{
    cell_fixture fixture(5);
    fixture.begin_term();
    fixture.submit("everywhere", 5,
        [](work_record& record) { record.steps[0].max_per_worker = 1; });
    fixture.run_for(second);
    submit_wide_gang(fixture, 5);
    fixture.run_for(second);
    // The gang fits, once the tasks have ended.
    fixture.submit(
        "early", 1, [](work_record& record) { record.queue.priority = 5; });
    fixture.run_for(second);
    cr_assert(fixture.starts_of({{"early", 0, 0}, 0}) == 0U);
    fixture.unlist_worker("w4");
    fixture.run_for(4 * second);
    fixture.submit(
        "late", 1, [](work_record& record) { record.queue.priority = 5; });
    fixture.run_for(second);
    cr_assert(fixture.starts_of({{"early", 0, 0}, 0}) == 1U);
    cr_assert(fixture.starts_of({{"late", 0, 0}, 0}) == 1U);
}

Test(
    dispatcher, a_gang_beside_long_running_work_keeps_no_worker_from_other_jobs)
{
    cell_fixture fixture;
    fixture.begin_term();
    submit_service(fixture, 4);
    fixture.run_for(second);
    submit_wide_gang(fixture, 4);
    fixture.run_for(second);
    fixture.submit(
        "last", 1, [](work_record& record) { record.queue.priority = 5; });
    fixture.run_for(second);
    cr_assert(fixture.starts_of({{"last", 0, 0}, 0}) == 1U);
}

// Guards against workers that stand mostly idle, for as long as the work takes
// that a gang waits for.
Test(dispatcher, idle_workers_are_held_back_for_a_limited_time)
{
    cell_fixture fixture;
    fixture.begin_term();
    fixture.submit("everywhere", 4,
        [](work_record& record) { record.steps[0].max_per_worker = 1; });
    fixture.run_for(second);
    submit_wide_gang(fixture, 4);
    fixture.submit(
        "last", 1, [](work_record& record) { record.queue.priority = 5; });
    fixture.run_for(4 * second);
    cr_assert(fixture.starts_of({{"last", 0, 0}, 0}) == 0U);
    fixture.run_for(2 * second);
    cr_assert(fixture.starts_of({{"last", 0, 0}, 0}) == 1U);
}

Test(
    dispatcher, a_worker_whose_capacity_has_shrunk_waits_until_enough_has_ended)
{
    cell_fixture fixture(1);
    fixture.begin_term();
    fixture.submit("a", 4);
    fixture.run_for(second);
    cr_assert(fixture.workers.running_count() == 4U);
    fixture.list_capacity("w0", 2000);
    fixture.submit("b", 1);
    for (std::uint32_t i = 0; i < 2; ++i)
    {
        fixture.run_for(2 * second);
        fixture.workers.end_run("w0", {{"a", 0, 0}, i}, run_outcome::succeeded);
    }
    fixture.run_for(2 * second);
    cr_assert(fixture.workers.running_count() == 2U);
    fixture.workers.end_run("w0", {{"a", 0, 0}, 2}, run_outcome::succeeded);
    fixture.run_for(second);
    cr_assert(fixture.starts_of({{"b", 0, 0}, 0}) == 1U);
}

Test(dispatcher, waiting_tasks_start_when_a_capacity_grows)
{
    cell_fixture fixture(1);
    fixture.list_capacity("w0", 1000);
    fixture.begin_term();
    fixture.submit("a", 4);
    fixture.run_for(second);
    cr_assert(fixture.workers.running_count() == 1U);
    fixture.list_capacity("w0", 3000);
    fixture.run_for(2 * second);
    cr_assert(fixture.workers.running_count() == 3U);
}

Test(dispatcher, tasks_reserved_before_a_capacity_shrank_are_not_started)
{
    for (bool gang : {false, true})
    {
        cell_fixture fixture(1);
        fixture.begin_term();
        fixture.submit("full", 4);
        fixture.run_for(second);
        fixture.submit("a", 4,
            [gang](work_record& job)
            {
                job.queue.advice = {true, 5000, 100};
                job.steps[0].gang = gang;
            });
        // The tickets of the first answer expire.
        fixture.run_for(4 * second);
        std::vector<std::function<void()>> held;
        fixture.advice.answer_later = [&held](placement_advice::callback done,
                                          advice_result const& result)
        { held.push_back([done, result] { done(result); }); };
        fixture.workers.end_all_runs(run_outcome::succeeded);
        fixture.run_for(second);
        cr_assert_not(held.empty());
        fixture.list_capacity("w0", 2000);
        fixture.run_for(2 * second);
        while (!held.empty())
        {
            std::function<void()> answer = std::move(held.back());
            held.pop_back();
            answer();
            fixture.run_for(milliseconds(100));
        }
        cr_assert(fixture.workers.running_count() == (gang ? 0U : 2U));
    }
}

Test(dispatcher, nothing_is_placed_by_a_worker_list_that_is_out_of_date)
{
    cell_fixture fixture(1);
    fixture.begin_term();
    fixture.run_for(second);
    fixture.store.unreadable_tables = {"workers-listed"};
    fixture.list_capacity("w0", 0);
    fixture.run_for(3 * second);
    fixture.submit("a", 1);
    fixture.run_for(2 * second);
    cr_assert(fixture.workers.all_starts.empty());
    fixture.store.unreadable_tables.clear();
    fixture.list_capacity("w0", 1000);
    fixture.run_for(second);
    cr_assert(fixture.workers.running_count() == 1U);
}

Test(dispatcher, reserved_tasks_wait_for_a_worker_list_that_is_up_to_date)
{
    cell_fixture fixture(1);
    fixture.begin_term();
    fixture.submit("full", 4);
    fixture.run_for(second);
    fixture.submit("a", 4,
        [](work_record& job) {
            job.queue.advice = {true, 5000, 100};
        });
    // The ticket of the first answer expires.
    fixture.run_for(4 * second);
    std::vector<std::function<void()>> held;
    fixture.advice.answer_later =
        [&held](placement_advice::callback done, advice_result const& result)
    { held.push_back([done, result] { done(result); }); };
    fixture.workers.end_all_runs(run_outcome::succeeded);
    fixture.run_for(second);
    cr_assert_not(held.empty());
    fixture.store.unreadable_tables = {"workers-listed"};
    fixture.run_for(4 * second);
    held.front()();
    fixture.run_for(second);
    cr_assert(fixture.workers.running_count() == 0U);
}

Test(dispatcher, an_unchanged_worker_list_does_not_delay_work)
{
    cell_fixture fixture(1);
    fixture.begin_term();
    for (int i = 0; i < 100; ++i)
    {
        fixture.submit("job-" + std::to_string(i), 1);
        fixture.run_for(milliseconds(100));
        cr_assert(fixture.workers.running_count() == 1U, "job %d", i);
        fixture.workers.end_all_runs(run_outcome::succeeded);
        fixture.run_for(milliseconds(100));
    }
}

Test(dispatcher, a_restarted_worker_gets_no_work_until_its_entry_is_up_to_date)
{
    cell_fixture fixture(1);
    fixture.list_changed_worker(
        "w0", [](worker_entry& entry) { entry.started_ms = 1; });
    fixture.begin_term();
    fixture.submit("a", 1);
    fixture.run_for(second);
    cr_assert(fixture.workers.running_count() == 1U);
    fake_cell_worker& worker = fixture.workers.workers["w0"];
    worker = fake_cell_worker{};
    worker.started_ms = 2;
    fixture.run_for(2 * second);
    cr_assert(fixture.workers.running_count() == 0U);
    fixture.list_changed_worker("w0",
        [](worker_entry& entry)
        {
            entry.started_ms = 2;
            entry.capacity.cpu_millis = 1000;
        });
    fixture.submit("b", 4);
    fixture.run_for(2 * second);
    cr_assert(fixture.workers.running_count() == 1U);
}

Test(dispatcher, a_report_without_a_start_time_does_not_hide_a_restart)
{
    cell_fixture fixture(1);
    fixture.run_one_task();
    fixture.workers.end_all_runs(run_outcome::succeeded);
    fixture.run_for(second);
    fake_cell_worker& worker = fixture.workers.workers["w0"];
    worker.started_ms = 0;
    fixture.run_for(second);
    worker = fake_cell_worker{};
    worker.started_ms = 2;
    fixture.submit("b", 1);
    fixture.run_for(second);
    // Its number is that of a completion of the earlier incarnation.
    fixture.workers.end_all_runs(run_outcome::succeeded);
    fixture.run_for(second);
    cr_assert(fixture.state_of("b") == work_state::succeeded);
    cr_assert(fixture.starts_of({{"b", 0, 0}, 0}) == 1U);
}

Test(
    dispatcher, an_unusable_entry_in_the_list_changes_nothing_for_other_workers)
{
    cell_fixture fixture(2);
    record_key const odd{"workers-listed", "", "odd"};
    fixture.store.set(odd, unusable_entry);
    fixture.begin_term();
    fixture.submit("a", 8);
    fixture.run_for(second);
    cr_assert(fixture.workers.running_count() == 8U);
    // The entry of a worker that was usable.
    fixture.store.set({"workers-listed", "", "w0"}, unusable_entry);
    fixture.list_worker("w2");
    fixture.run_for(second);
    fixture.workers.end_all_runs(run_outcome::succeeded);
    fixture.submit("b", 8);
    fixture.run_for(second);
    cr_assert(fixture.workers.running_count() == 8U);
    cr_assert(fixture.workers.workers["w0"].running.empty());
    fixture.list_worker("w0");
    fixture.submit("c", 4);
    fixture.run_for(2 * second);
    cr_assert(fixture.workers.workers["w0"].running.size() == 4U);
}

Test(dispatcher, an_unusable_entry_is_logged_once_until_that_changes)
{
    cell_fixture fixture(1);
    record_key const odd{"workers-listed", "", "odd"};
    auto logged = []
    {
        std::string const text = metrics().prometheus();
        constexpr std::string_view name =
            "\ntoucanlever_worker_entries_unusable ";
        auto at = text.find(name);
        return at == text.npos ? 0 : std::stoi(text.substr(at + name.size()));
    };
    fixture.begin_term();
    for (int i = 0; i < 5; ++i)
    {
        fixture.store.set(odd, unusable_entry);
        fixture.run_for(second);
    }
    cr_assert(logged() == 1);
    fixture.list_worker("odd");
    fixture.run_for(second);
    fixture.store.set(odd, unusable_entry);
    fixture.run_for(second);
    cr_assert(logged() == 2);
}

Test(
    dispatcher, a_task_that_crashes_every_worker_fails_and_is_not_started_again)
{
    cell_fixture fixture;
    fixture.begin_term();
    fixture.submit("a", 1);
    fixture.submit("beside", 3);
    int crashes = 0;
    for (int i = 0; i < 20; ++i)
    {
        fixture.run_for(second);
        crashes += fixture.crash_workers_of(first_task) ? 1 : 0;
    }
    cr_assert(crashes <= 3);
    cr_assert(fixture.state_of("a") == work_state::failed);
    cr_assert(fixture.state_of("beside") == work_state::running);
}

Test(dispatcher, tasks_beside_one_that_crashes_workers_succeed)
{
    cell_fixture fixture(2);
    fixture.begin_term();
    fixture.submit("a", 1);
    fixture.submit("b", 3);
    fixture.submit("c", 4);
    // Only the tasks of "b" and "c" ever end.
    for (int i = 0; i < 20; ++i)
    {
        fixture.run_for(second);
        if (fixture.crash_workers_of(first_task))
        {
            continue;
        }
        fixture.workers.end_all_runs(run_outcome::succeeded);
    }
    cr_assert(fixture.state_of("a") == work_state::failed);
    cr_assert(fixture.state_of("b") == work_state::succeeded);
    cr_assert(fixture.state_of("c") == work_state::succeeded);
}

Test(dispatcher, a_suspect_runs_without_tasks_of_other_jobs)
{
    cell_fixture fixture(2);
    fixture.begin_term();
    fixture.submit("a", 1);
    fixture.submit("b", 7);
    fixture.run_for(second);
    cr_assert(fixture.workers.running_count() == 8U);
    cr_assert(fixture.crash_workers_of(first_task));
    // More work than there is capacity for, so that no worker becomes empty by
    // itself.
    fixture.submit("c", 40);
    for (int i = 0; i < 30; ++i)
    {
        fixture.run_for(milliseconds(200));
        for (auto const& [id, worker] : fixture.workers.workers)
        {
            if (worker.running.contains(first_task))
            {
                cr_assert(worker.running.size() == 1U);
            }
        }
        for (auto& [id, worker] : fixture.workers.workers)
        {
            if (!worker.running.empty())
            {
                fixture.workers.end_run(
                    id, worker.running.begin()->first, run_outcome::succeeded);
            }
        }
    }
    cr_assert(fixture.state_of("a") == work_state::succeeded);
}

// Guards against a worker that is kept busy with connections for the stops that
// it resets.
Test(dispatcher, a_stop_that_fails_is_repeated_less_and_less_often)
{
    cell_fixture fixture(1);
    fixture.run_one_task();
    fake_cell_worker& worker = fixture.workers.workers["w0"];
    worker.lose_stops = true;
    fixture.term->cancel("a");
    fixture.run_for(10 * second);
    cr_assert(worker.stops >= 12 && worker.stops <= 15, "%d", worker.stops);
    worker.lose_stops = false;
    fixture.run_for(second);
    cr_assert(fixture.workers.running_count() == 0U);
}

// Guards against a task that waits without end for long-running work to end.
Test(dispatcher, a_suspect_runs_beside_long_running_work_that_is_everywhere)
{
    cell_fixture fixture(2);
    fixture.begin_term();
    submit_service(fixture, 2);
    fixture.run_for(2 * second);
    fixture.submit("a", 1);
    fixture.run_for(second);
    cr_assert(fixture.crash_workers_of(first_task));
    fixture.run_for(2 * second);
    cr_assert(fixture.starts_of(first_task) == 2U);
    // Work that ends still keeps away from it.
    fixture.submit("b", 4);
    fixture.run_for(second);
    for (auto const& [id, worker] : fixture.workers.workers)
    {
        cr_assert(worker.running.size() ==
                  (worker.running.contains(first_task) ? 2U : 4U));
    }
}

Test(dispatcher, a_task_that_crashes_workers_fails_beside_long_running_work)
{
    cell_fixture fixture(2);
    fixture.begin_term();
    submit_service(fixture, 2);
    fixture.run_for(2 * second);
    fixture.submit("a", 1);
    for (int i = 0; i < 5; ++i)
    {
        fixture.run_for(second);
        fixture.crash_workers_of(first_task);
    }
    fixture.run_for(2 * second);
    cr_assert(fixture.state_of("a") == work_state::failed);
    cr_assert(fixture.starts_of(first_task) <= 3U);
    cr_assert(fixture.workers.running_count() == 2U);
}

// Guards against a task that waits for a worker that the policy has refused.
Test(dispatcher, a_suspect_waits_only_for_workers_that_may_be_approved)
{
    cell_fixture fixture(2);
    fixture.list_changed_worker(
        "w0", [](worker_entry& entry) { entry.labels = {"pinned"}; });
    fixture.advice.refused = {"w1"};
    fixture.begin_term();
    fixture.submit("serve", 1,
        [](work_record& job)
        {
            job.steps[0].long_running = true;
            job.steps[0].required_label = "pinned";
        });
    fixture.run_for(2 * second);
    fixture.submit(
        "a", 1, [](work_record& job) { job.queue.advice.required = true; });
    fixture.run_for(second);
    cr_assert(fixture.crash_workers_of(first_task));
    fixture.run_for(3 * second);
    cr_assert(fixture.starts_of(first_task) == 2U);
}

// Guards against a task that waits, beside workers with room, for as long as
// the work of others takes.
Test(dispatcher, a_suspect_waits_for_work_to_end_for_a_limited_time)
{
    cell_fixture fixture(2);
    fixture.begin_term();
    fixture.submit(
        "b", 2, [](work_record& job) { job.steps[0].max_per_worker = 1; });
    fixture.run_for(second);
    fixture.submit("a", 1, [](work_record& job) { job.queue.priority = 1; });
    // Before a report lists it: the other tasks are no suspects then.
    fixture.run_for(milliseconds(20));
    cr_assert(fixture.crash_workers_of(first_task));
    fixture.run_for(9 * second);
    cr_assert(fixture.starts_of(first_task) == 1U);
    fixture.run_for(3 * second);
    cr_assert(fixture.starts_of(first_task) == 2U);
}

Test(dispatcher, a_successor_counts_the_crashes_of_earlier_terms)
{
    cell_fixture fixture;
    fixture.begin_term();
    fixture.submit("a", 1);
    for (int i = 0; i < 6; ++i)
    {
        fixture.run_for(second);
        fixture.crash_workers_of(first_task);
        fixture.run_for(second);
        fixture.begin_term();
    }
    cr_assert(fixture.starts_of(first_task) <= 3U);
    cr_assert(fixture.state_of("a") == work_state::failed);
}

Test(dispatcher, a_task_waits_until_the_crash_under_it_is_durable)
{
    cell_fixture fixture;
    std::string const worker_id = fixture.run_one_task();
    fixture.store.unavailable = true;
    fixture.crash_worker(worker_id);
    fixture.run_for(3 * second);
    cr_assert(fixture.starts_of(first_task) == 1U);
    fixture.store.unavailable = false;
    fixture.run_for(2 * second);
    cr_assert(fixture.starts_of(first_task) == 2U);
}

Test(dispatcher, a_worker_that_was_only_cut_off_has_not_crashed)
{
    cell_fixture fixture;
    fixture.begin_term();
    fixture.submit("a", 1);
    for (int i = 0; i < 5; ++i)
    {
        fixture.run_for(second);
        for (auto& [id, worker] : fixture.workers.workers)
        {
            worker.silent = worker.running.contains(first_task);
        }
        // Longer than the lease, at whose end the worker stops the run.
        fixture.run_for(6 * second);
        for (auto& [id, worker] : fixture.workers.workers)
        {
            if (worker.silent)
            {
                fixture.workers.end_run(id, first_task, run_outcome::lapsed);
                worker.silent = false;
            }
        }
    }
    fixture.run_for(second);
    cr_assert(fixture.state_of("a") == work_state::running);
    fixture.workers.end_all_runs(run_outcome::succeeded);
    fixture.run_for(second);
    cr_assert(fixture.state_of("a") == work_state::succeeded);
}

Test(dispatcher, crashes_under_a_long_running_task_at_work_do_not_fail_it)
{
    cell_fixture fixture;
    fixture.begin_term();
    fixture.submit(
        "a", 1, [](work_record& job) { job.steps[0].long_running = true; });
    for (int i = 0; i < 5; ++i)
    {
        fixture.run_for(second);
        cr_assert(fixture.crash_workers_of(first_task));
    }
    fixture.run_for(second);
    cr_assert(fixture.starts_of(first_task) == 6U);
    cr_assert(fixture.state_of("a") == work_state::running);
}

Test(dispatcher, a_worker_that_has_left_has_not_crashed)
{
    cell_fixture fixture;
    fixture.begin_term();
    fixture.submit("a", 1);
    for (int i = 0; i < 3; ++i)
    {
        fixture.run_for(second);
        fixture.list_worker("w" + std::to_string(i), true);
        fixture.run_for(second);
        fixture.crash_worker("w" + std::to_string(i));
    }
    fixture.run_for(second);
    cr_assert(fixture.state_of("a") == work_state::running);
}

Test(dispatcher, a_worker_in_whose_place_another_one_answers_has_crashed)
{
    cell_fixture fixture(6);
    fixture.begin_term();
    fixture.submit("a", 1);
    for (int i = 0; i < 6; ++i)
    {
        fixture.run_for(second);
        for (auto& [id, worker] : fixture.workers.workers)
        {
            if (worker.running.contains(first_task))
            {
                worker = fake_cell_worker{};
                worker.replaced = true;
            }
        }
    }
    cr_assert(fixture.starts_of(first_task) == 2U);
    cr_assert(fixture.state_of("a") == work_state::failed);
}

Test(dispatcher,
    a_job_whose_starts_were_never_confirmed_is_not_failed_by_crashes)
{
    for (bool replaced : {false, true})
    {
        cell_fixture fixture(8);
        fixture.begin_term();
        for (auto& [id, worker] : fixture.workers.workers)
        {
            worker.delay_starts = true;
        }
        fixture.submit("a", 1);
        for (int i = 0; i < 6; ++i)
        {
            fixture.run_for(second / 2);
            for (auto& [id, worker] : fixture.workers.workers)
            {
                if (worker.delayed_starts.empty())
                {
                    continue;
                }
                fixture.crash_worker(id);
                worker.replaced = replaced;
                worker.delay_starts = true;
            }
        }
        fixture.run_for(second);
        cr_assert(fixture.state_of("a") != work_state::failed);
        cr_assert(fixture.term->waiting_jobs({}) == 1U);
    }
}

Test(dispatcher, a_job_is_not_failed_by_restarts_of_many_workers)
{
    for (std::uint32_t tasks : {1, 2, 5, 10, 20, 40})
    {
        cell_fixture fixture(40);
        fixture.begin_term();
        fixture.submit(
            "a", tasks, [](work_record& job) { job.steps[0].gang = true; });
        fixture.submit("b", tasks);
        for (int i = 0; i < 10; ++i)
        {
            fixture.run_for(4 * second);
            restart_workers(fixture, 12);
        }
        fixture.run_for(2 * second);
        cr_assert(fixture.state_of("a") == work_state::running);
        cr_assert(fixture.state_of("b") == work_state::running);
    }
}

Test(dispatcher, a_job_is_not_failed_by_workers_that_restart_one_by_one)
{
    for (std::uint32_t tasks : {1, 2, 5, 10, 20, 40})
    {
        cell_fixture fixture(40);
        fixture.begin_term();
        fixture.submit(
            "a", tasks, [](work_record& job) { job.steps[0].gang = true; });
        fixture.submit("b", tasks);
        // Each worker restarts every 20 s on average.
        for (int i = 0; i < 160; ++i)
        {
            fixture.run_for(second / 2);
            restart_workers(fixture, 1);
        }
        fixture.run_for(2 * second);
        cr_assert(fixture.state_of("a") == work_state::running);
        cr_assert(fixture.state_of("b") == work_state::running);
    }
}

Test(dispatcher, a_gang_that_crashes_workers_fails_while_others_restart)
{
    for (std::uint32_t tasks : {1, 2, 5, 10, 20, 40})
    {
        cell_fixture fixture(40);
        fixture.begin_term();
        fixture.submit(
            "a", tasks, [](work_record& job) { job.steps[0].gang = true; });
        fixture.submit("b", 20);
        std::size_t crashes = 0;
        for (int i = 0; i < 1000; ++i)
        {
            fixture.run_for(milliseconds(20));
            crashes += fixture.crash_workers_of(first_task) ? 1 : 0;
            // Among many restarts, one of many members proves less.
            if (i % 200 == 0 && tasks <= 10)
            {
                restart_workers(fixture, 4);
            }
        }
        cr_assert(fixture.state_of("a") == work_state::failed);
        cr_assert(crashes <= 4U);
        cr_assert(fixture.state_of("b") == work_state::running);
    }
}

namespace
{

/// Keeps all rows readable.
void refuse_removals(cell_fixture& fixture)
{
    fixture.store.on_commit = [](record_change const& change)
    { return change.removals.empty(); };
}

/// Runs this many jobs to their end, and forgets them.
void run_and_forget_jobs(cell_fixture& fixture, int count)
{
    for (int i = 0; i < count; ++i)
    {
        fixture.submit("job-" + std::to_string(i), 1);
    }
    for (int i = 0; i < count; ++i)
    {
        fixture.run_for(milliseconds(100));
        fixture.workers.end_all_runs(run_outcome::succeeded);
    }
    fixture.run_for(milliseconds(500));
    auto const starts = static_cast<std::size_t>(count);
    cr_assert(fixture.workers.all_starts.size() == starts);
    // Longer than ended jobs are kept.
    fixture.run_for(milliseconds(60500));
    cr_assert_not(fixture.state_of("job-0").has_value());
}

} // namespace

// Guards against ended jobs that run again after the store forgot its history.
Test(dispatcher, a_forgotten_job_whose_row_is_read_again_is_not_started)
{
    constexpr int jobs = 40;
    cell_fixture fixture;
    fixture.begin_term();
    refuse_removals(fixture);
    run_and_forget_jobs(fixture, jobs);
    for (int i = 0; i < 3; ++i)
    {
        fixture.store.history_lost = true;
        fixture.run_for(5 * second);
        cr_assert(fixture.workers.all_starts.size() == std::size_t{jobs});
    }
    fixture.store.on_commit = nullptr;
    fixture.run_for(10 * second);
    cr_assert(fixture.store.count(tables::jobs) == 0U);
    cr_assert(fixture.store.count(tables::journal) == 0U);
}

Test(dispatcher, a_successor_does_not_start_a_job_whose_rows_remain)
{
    constexpr int jobs = 40;
    cell_fixture fixture;
    fixture.begin_term();
    refuse_removals(fixture);
    run_and_forget_jobs(fixture, jobs);
    fixture.begin_term();
    fixture.run_for(5 * second);
    fixture.store.history_lost = true;
    fixture.run_for(5 * second);
    cr_assert(fixture.workers.all_starts.size() == std::size_t{jobs});
    cr_assert(fixture.state_of("job-0") == work_state::succeeded);
}

// Guards against a successor that finds a job, but not that it has ended.
Test(dispatcher, a_predecessor_that_removes_rows_late_revives_no_job)
{
    cell_fixture fixture;
    fixture.begin_term();
    std::int64_t const elected =
        fixture.store.find(tables::leader_row_key())->version;
    run_and_forget_jobs(fixture, 1);
    // The rows of a job that the predecessor is about to remove.
    fixture.submit("late", 1);
    fixture.run_for(second);
    fixture.workers.end_all_runs(run_outcome::succeeded);
    fixture.run_for(second);
    std::size_t const starts = fixture.workers.all_starts.size();
    record_key const row = tables::job_row_key("node", "late");
    std::optional<record_key> journal_row =
        fixture.store.first_key(tables::journal);
    cr_assert(journal_row.has_value());
    fixture.end_term();
    row_cleaner predecessor(fixture.loop, fixture.store,
        leader_proof{fixture.fencing_token, elected}, [] {});
    predecessor.note_job_row("late", row);
    predecessor.note_journal_row(journal_row->key, {"late"});
    predecessor.forget("late");
    fixture.store.unreadable_tables.insert(tables::journal);
    fixture.begin_term();
    fixture.run_for(2 * second);
    fixture.store.unreadable_tables.clear();
    fixture.run_for(10 * second);
    cr_assert(fixture.workers.all_starts.size() == starts);
    cr_assert(fixture.state_of("late") == work_state::succeeded);
}

Test(dispatcher, gangs_start_in_time_when_calls_for_advice_are_slow)
{
    // One instance makes calls of 100 ms and 1.5 ms for each worker named. A
    // gang needs one worker of 100, and one gang arrives every 150 ms.
    constexpr int gangs = 40;
    constexpr milliseconds arrival_period{150};
    cell_fixture fixture(100);
    fixture.advice.answer_later =
        [&fixture](placement_advice::callback done, advice_result const& result)
    {
        milliseconds duration(100 + 3 * result.tickets.size() / 2);
        fixture.loop.after(duration, [done, result] { done(result); });
    };
    fixture.begin_term();
    for (int i = 0; i < gangs; ++i)
    {
        fixture.submit("gang-" + std::to_string(i), 4,
            [](work_record& record)
            {
                record.steps.front().gang = true;
                record.queue.advice.required = true;
                record.queue.advice.decision_us = 100000;
                record.queue.advice.per_worker_us = 1500;
            });
        fixture.run_for(arrival_period);
    }
    fixture.run_for(second);
    cr_assert(fixture.workers.all_starts.size() == 4U * gangs);
}

Test(dispatcher, an_overdue_long_running_step_does_not_wait_behind_a_late_queue)
{
    cell_fixture fixture(1);
    fixture.begin_term();
    // Each task fills the worker, and its queue is always late.
    auto late_job = [](work_record& record)
    { record.steps.front().need.cpu_millis = worker_cpu; };
    fixture.submit("first", 1, late_job);
    fixture.run_for(second);
    for (int i = 0; i < 20; ++i)
    {
        fixture.submit("late-" + std::to_string(i), 1, late_job);
    }
    fixture.submit("lasting", 1,
        [](work_record& record)
        {
            record.steps.front().long_running = true;
            record.queue.priority = 3;
        });
    fixture.run_for(second);
    fixture.workers.end_all_runs(run_outcome::succeeded);
    fixture.run_for(second);
    cr_assert(fixture.starts_of({{"lasting", 0, 0}, 0}) == 1U);
}

Test(dispatcher, waiting_jobs_are_not_counted_from_an_outdated_copy)
{
    cell_fixture fixture;
    dispatcher& scheduler = fixture.begin_term();
    fixture.run_for(second);
    cr_assert(scheduler.waiting_jobs("q").has_value());
    fixture.store.unreadable_tables.insert(tables::jobs);
    fixture.run_for(5 * second);
    cr_assert_not(scheduler.waiting_jobs("q").has_value());
    fixture.store.unreadable_tables.clear();
    fixture.run_for(2 * second);
    cr_assert(scheduler.waiting_jobs("q").has_value());
}

namespace
{

/// Runs job "a" with one task on each of two workers, of which one is silent
/// and the other still answers, and ends the term. Returns the silent worker.
std::string end_term_with_a_silent_worker(cell_fixture& fixture)
{
    fixture.begin_term();
    fixture.submit("a", 2,
        [](work_record& record) { record.steps.front().max_per_worker = 1; });
    fixture.run_for(second);
    std::string const silent = fixture.workers.all_starts.front().first;
    fixture.workers.workers[silent].silent = true;
    return silent;
}

} // namespace

Test(dispatcher, earlier_jobs_do_not_wait_for_a_silent_worker_that_has_no_work)
{
    cell_fixture fixture;
    fixture.begin_term();
    fixture.workers.workers["w0"].silent = true;
    // Long enough for the scheduler to close the worker's record.
    fixture.run_for(3 * second);
    fixture.end_term();
    fixture.submit("a", 1);
    fixture.begin_term();
    fixture.run_for(second);
    cr_assert(fixture.starts_of(first_task) == 1U);
}

Test(dispatcher, earlier_jobs_wait_only_for_silent_workers_that_may_run_them)
{
    cell_fixture fixture(2);
    std::string const silent = end_term_with_a_silent_worker(fixture);
    fixture.run_for(3 * second);
    fixture.end_term();
    fixture.submit("b", 1);
    fixture.begin_term();
    fixture.run_for(3 * second);
    cr_assert(fixture.starts_of({{"b", 0, 0}, 0}) == 1U);
    // The task of "a" on the silent worker may still run there.
    cr_assert(fixture.workers.all_starts.size() == 3U);
    fixture.run_for(8 * second);
    cr_assert(fixture.starts_of({{"a", 0, 0}, 0}) +
                  fixture.starts_of({{"a", 0, 0}, 1}) >=
              2U);
}

Test(dispatcher, a_worker_that_is_back_gets_work_again_and_is_waited_for)
{
    cell_fixture fixture(1);
    fixture.begin_term();
    fake_cell_worker& worker = fixture.workers.workers["w0"];
    worker.silent = true;
    fixture.run_for(3 * second);
    worker.silent = false;
    fixture.run_for(second);
    fixture.submit("a", 1);
    fixture.run_for(second);
    cr_assert(fixture.starts_of(first_task) == 1U);
    // Its record is open again, so a successor waits for it.
    worker.silent = true;
    fixture.end_term();
    fixture.list_worker("w1");
    fixture.begin_term();
    fixture.run_for(5 * second);
    cr_assert(fixture.starts_of(first_task) == 1U);
}

Test(dispatcher, a_closed_record_that_is_written_late_hides_no_later_work)
{
    cell_fixture fixture(1);
    fixture.begin_term();
    fake_cell_worker& worker = fixture.workers.workers["w0"];
    worker.silent = true;
    fixture.run_for(second);
    // The closing is carried out late, after the worker is in use again.
    fixture.store.delay_changes = true;
    while (fixture.store.delayed_changes.empty())
    {
        fixture.run_for(milliseconds(10));
    }
    std::vector<record_change> late;
    late.swap(fixture.store.delayed_changes);
    fixture.store.delay_changes = false;
    worker.silent = false;
    fixture.run_for(3 * second);
    fixture.submit("a", 1);
    fixture.run_for(second);
    cr_assert(fixture.starts_of(first_task) == 1U);
    late.swap(fixture.store.delayed_changes);
    fixture.store.execute_delayed_changes();
    worker.silent = true;
    fixture.end_term();
    fixture.list_worker("w1");
    fixture.begin_term();
    fixture.run_for(5 * second);
    cr_assert(fixture.starts_of(first_task) == 1U);
}

Test(dispatcher, a_worker_with_an_unrecorded_completion_is_not_closed)
{
    cell_fixture fixture;
    std::string const worker_id = fixture.run_one_task();
    fake_cell_worker& worker = fixture.workers.workers[worker_id];
    // The completion reaches the scheduler, but not the journal.
    fixture.store.rejecting = true;
    fixture.workers.end_run(worker_id, first_task, run_outcome::succeeded);
    fixture.run_for(second);
    worker.silent = true;
    fixture.store.rejecting = false;
    fixture.run_for(milliseconds(20));
    fixture.end_term();
    fixture.begin_term();
    fixture.run_for(5 * second);
    cr_assert(fixture.starts_of(first_task) == 1U);
}

Test(dispatcher, closed_records_of_an_older_term_are_not_relied_on)
{
    cell_fixture fixture;
    fixture.begin_term();
    fixture.workers.workers["w0"].silent = true;
    fixture.run_for(3 * second);
    fixture.end_term();
    // A scheduler that does not know of closed records had a term.
    ++fixture.fencing_token;
    fixture.submit("a", 1);
    fixture.begin_term();
    fixture.run_for(3 * second);
    cr_assert(fixture.starts_of(first_task) == 0U);
}

Test(dispatcher, a_job_whose_acceptance_lies_ahead_starts_at_once)
{
    // The clock of the instance that accepted it, or of this one, has jumped.
    constexpr std::int64_t jump_ms = 5000;
    cell_fixture fixture;
    fixture.begin_term();
    for (std::int64_t offset : {jump_ms, -jump_ms})
    {
        fixture.submit(offset > 0 ? "ahead" : "behind", 1,
            [offset](work_record& record)
            { record.accepted_ms = wall_time_ms() + offset; });
    }
    fixture.run_for(second);
    cr_assert(fixture.starts_of({{"ahead", 0, 0}, 0}) == 1U);
    cr_assert(fixture.starts_of({{"behind", 0, 0}, 0}) == 1U);
}

Test(dispatcher, a_gang_whose_approved_workers_stay_busy_asks_about_others)
{
    // The policy approves w0 to w3 at first, which long-running tasks occupy
    // for good, and of the others only those that are asked about.
    cell_fixture fixture(4);
    fixture.begin_term();
    fixture.submit("lasting", 16,
        [](work_record& record) { record.steps.front().long_running = true; });
    fixture.run_for(second);
    auto gang = [](work_record& record)
    {
        record.steps.front().gang = true;
        record.queue.advice.required = true;
    };
    fixture.submit("gang", 4, gang);
    fixture.run_for(second);
    cr_assert(fixture.advice.calls == 1);
    // Room for the gang, but less than the policy's share makes certain.
    fixture.list_worker("w4");
    fixture.run_for(4 * second);
    cr_assert(fixture.starts_of({{"gang", 0, 0}, 0}) == 1U);
}

Test(dispatcher, steps_that_no_worker_can_run_hide_no_later_job)
{
    // A pass that looks at the first few hundred steps never reaches the job.
    cell_fixture fixture;
    fixture.begin_term();
    for (int i = 0; i < 450; ++i)
    {
        fixture.submit("blocked-" + std::to_string(i), 1,
            [](work_record& record)
            { record.steps.front().required_label = "none-has-it"; });
    }
    fixture.run_for(milliseconds(50));
    fixture.submit(
        "later", 1, [](work_record& record) { record.queue.priority = 2; });
    fixture.run_for(milliseconds(50));
    cr_assert(fixture.starts_of({{"later", 0, 0}, 0}) == 1U);
}

Test(dispatcher, a_late_step_soon_gets_capacity_that_becomes_free)
{
    // A delay between the plannings of a late step must not outlast the event
    // which frees capacity for it.
    cell_fixture fixture(1);
    fixture.begin_term();
    auto fill = [](work_record& record)
    { record.steps.front().need.cpu_millis = worker_cpu; };
    fixture.submit("first", 1, fill);
    fixture.run_for(second);
    fixture.submit("late", 1, fill);
    fixture.run_for(second + milliseconds(10));
    fixture.workers.end_all_runs(run_outcome::succeeded);
    fixture.run_for(milliseconds(600));
    cr_assert(fixture.starts_of({{"late", 0, 0}, 0}) == 1U);
}

namespace
{

/// Gives a job to a customer with this cap of thousandths of a core.
std::function<void(work_record&)> of_customer(
    std::string const& name, std::int64_t cap_cpu, bool gang = false)
{
    return [name, cap_cpu, gang](work_record& record)
    {
        record.customer = {name, 1, {cap_cpu, 0, 0}};
        record.steps.front().gang = gang;
    };
}

/// Configures customer "c" with this cap; no customer with a cap of 0.
void configure_cap(
    cell_fixture& fixture, std::int64_t version, std::int64_t cap_cpu)
{
    cell_configuration configuration;
    configuration.version = version;
    if (cap_cpu > 0)
    {
        configuration.customers = {{{"c", 1, {cap_cpu, 0, 0}}, {}}};
    }
    cr_assert(fixture.queues.adopt(std::move(configuration)));
}

} // namespace

// Guards against a gang that starts in part, and against one that keeps workers
// from other customers while it waits for its cap.
Test(dispatcher, a_gang_waits_as_a_whole_for_its_customers_cap)
{
    cell_fixture fixture(2);
    fixture.begin_term();
    fixture.submit("a", 2, of_customer("c", 4000));
    fixture.run_for(second);
    fixture.submit("gang", 3, of_customer("c", 4000, true));
    fixture.submit("other", 6, of_customer("d", 0));
    fixture.run_for(second);
    cr_assert(fixture.workers.running_count() == 8U);
    cr_assert(fixture.starts_of({{"gang", 0, 0}, 0}) == 0U);
    fixture.workers.end_all_runs(run_outcome::succeeded);
    fixture.run_for(second);
    cr_assert(fixture.workers.running_count() == 3U);
}

// Guards against a start in doubt that no longer counts.
Test(dispatcher, an_order_in_doubt_counts_against_the_cap)
{
    cell_fixture fixture(2);
    fixture.begin_term();
    for (auto& [id, worker] : fixture.workers.workers)
    {
        worker.withhold_replies = true;
    }
    fixture.submit("a", 1, of_customer("c", 1000));
    fixture.run_for(second);
    fixture.submit("b", 1, of_customer("c", 1000));
    fixture.run_for(second);
    cr_assert(fixture.starts_of({{"b", 0, 0}, 0}) == 0U);
    for (auto& [id, worker] : fixture.workers.workers)
    {
        worker.withhold_replies = false;
        fixture.workers.deliver_delayed_starts(id);
    }
    fixture.run_for(second);
    cr_assert(fixture.workers.running_count() == 1U);
    fixture.workers.end_all_runs(run_outcome::succeeded);
    fixture.run_for(second);
    cr_assert(fixture.starts_of({{"b", 0, 0}, 0}) == 1U);
}

// Guards against a late start on a restarted worker that no longer counts.
Test(dispatcher, a_late_start_after_a_restart_counts_against_the_cap)
{
    cell_fixture fixture(1);
    fixture.begin_term();
    fake_cell_worker& worker = fixture.workers.workers["w0"];
    worker.delay_starts = true;
    fixture.submit("a", 1, of_customer("c", 2000));
    fixture.run_for(milliseconds(50));
    fixture.list_worker("w0", true);
    fixture.list_worker("w1");
    // The stop is confirmed, and the task is started elsewhere.
    fixture.run_for(2 * second);
    cr_assert(fixture.workers.workers["w1"].running.size() == 1U);
    worker = fake_cell_worker{};
    worker.started_ms = 2;
    while (worker.barred.empty())
    {
        fixture.run_for(milliseconds(10));
    }
    worker.silent = true;
    fixture.submit("b", 1, of_customer("c", 2000));
    fixture.run_for(second);
    cr_assert(fixture.starts_of({{"b", 0, 0}, 0}) == 0U);
    worker.silent = false;
    fixture.run_for(second);
    cr_assert(fixture.starts_of({{"b", 0, 0}, 0}) == 1U);
}

// Guards against a step that starts beyond the cap or stops after a wave, the
// cap at acceptance taking precedence, and a removed customer without any.
Test(dispatcher, a_step_wider_than_the_cap_in_force_runs_in_waves)
{
    cell_fixture fixture;
    configure_cap(fixture, 1, 4500);
    fixture.begin_term();
    fixture.submit("a", 12, of_customer("c", 3000));
    fixture.run_for(second);
    cr_assert(fixture.workers.running_count() == 4U);
    configure_cap(fixture, 2, 1000);
    fixture.run_for(second);
    cr_assert(fixture.workers.running_count() == 4U);
    fixture.workers.end_all_runs(run_outcome::succeeded);
    fixture.run_for(second);
    cr_assert(fixture.workers.running_count() == 1U);
    configure_cap(fixture, 3, 0);
    for (std::size_t running : {3U, 3U, 2U, 0U})
    {
        fixture.run_for(second);
        cr_assert(fixture.workers.running_count() == running);
        fixture.workers.end_all_runs(run_outcome::succeeded);
    }
    cr_assert(fixture.state_of("a") == work_state::succeeded);
}

// Guards against a successor that starts a customer's cap again beside the runs
// that it has not seen, and against one that then lets the customer stall.
Test(dispatcher, runs_that_a_successor_has_not_seen_count_against_the_cap)
{
    cell_fixture fixture;
    fixture.begin_term();
    fixture.submit("a", 4, of_customer("c", 4000));
    fixture.run_for(second);
    cr_assert(fixture.workers.running_count() == 4U);
    std::string const holder = fixture.workers.all_starts.front().first;
    fixture.end_term();
    fixture.workers.workers[holder].silent = true;
    fixture.begin_term();
    fixture.run_for(2 * second);
    fixture.submit("b", 2, of_customer("c", 4000));
    fixture.submit("d", 2, of_customer("d", 4000));
    fixture.run_for(2 * second);
    cr_assert(fixture.starts_of({{"b", 0, 0}, 0}) == 0U);
    cr_assert(fixture.starts_of({{"d", 0, 0}, 0}) == 1U);
    fixture.workers.workers[holder].silent = false;
    fixture.run_for(second);
    cr_assert(fixture.starts_of({{"b", 0, 0}, 0}) == 0U);
    for (std::uint32_t i = 0; i < 3; ++i)
    {
        fixture.workers.end_run(
            holder, {{"a", 0, 0}, i}, run_outcome::succeeded);
    }
    fixture.run_for(second);
    cr_assert(fixture.starts_of({{"b", 0, 0}, 1}) == 1U);
}

// Guards against a successor that measures entitlements in the order of keys.
Test(dispatcher, stored_jobs_are_measured_in_the_order_of_their_acceptance)
{
    cell_fixture fixture(0);
    for (std::int64_t accepted_ms : {2000, 1500})
    {
        fixture.submit(accepted_ms == 2000 ? "a" : "b", 1,
            [accepted_ms](work_record& record)
            {
                record.customer.name = "c";
                record.accepted_ms = accepted_ms;
            });
    }
    std::string const counted = "jobs_beyond_entitlement 1\n";
    cr_assert(metrics().prometheus().find(counted) == std::string::npos);
    fixture.begin_term();
    cr_assert(metrics().prometheus().find(counted) != std::string::npos);
}

namespace
{

/// Tasks of a known duration, one on each worker.
void one_on_each(work_record& record)
{
    record.steps[0].max_per_worker = 1;
    record.steps[0].estimated_ms = 5000;
}

/// The runs on all workers but one make progress.
void run_while_one_hangs(
    cell_fixture& fixture, std::string const& hung, milliseconds duration)
{
    constexpr milliseconds interval{500};
    for (milliseconds elapsed{0}; elapsed < duration; elapsed += interval)
    {
        for (auto& [id, worker] : fixture.workers.workers)
        {
            worker.progress += id == hung ? 0 : 1;
        }
        fixture.run_for(interval);
    }
}

} // namespace

Test(dispatcher, a_worker_that_hangs_gets_no_work_until_it_progresses)
{
    // Guards against a worker that accepts tasks and never ends them taking
    // more and more of them.
    cell_fixture fixture(2);
    fixture.begin_term();
    fixture.submit("a", 2, one_on_each);
    run_while_one_hangs(fixture, "w0", 5 * second);
    fixture.submit("b", 6);
    run_while_one_hangs(fixture, "w0", 3 * second);
    cr_assert(fixture.workers.workers["w0"].starts.size() == 1U);
    cr_assert(fixture.workers.workers["w1"].starts.size() == 4U);
    fixture.workers.workers["w0"].progress = 10;
    run_while_one_hangs(fixture, "", 2 * second);
    cr_assert(fixture.workers.workers["w0"].starts.size() == 4U);
}

Test(dispatcher, one_step_tries_a_stalled_worker_after_a_while)
{
    // Guards against a worker that is never used again, and one on which all
    // waiting steps are tried at once.
    cell_fixture fixture(2);
    fixture.begin_term();
    fixture.submit("a", 2, one_on_each);
    run_while_one_hangs(fixture, "w0", 5 * second);
    for (std::string const job : {"b", "c", "d", "e", "f"})
    {
        fixture.submit(job, 1);
    }
    run_while_one_hangs(fixture, "w0", 3 * second);
    cr_assert(fixture.workers.workers["w0"].starts.size() == 1U);
    run_while_one_hangs(fixture, "w0", 8 * second);
    cr_assert(fixture.workers.workers["w0"].starts.size() == 2U);
}

Test(dispatcher, runs_on_a_stalled_worker_are_moved)
{
    // Guards against tasks that wait for a hung worker while others are free.
    cell_fixture fixture(2);
    fixture.begin_term();
    fixture.submit("p", 2, one_on_each);
    fixture.submit("a", 1,
        [](work_record& record) { record.steps[0].estimated_ms = 5000; });
    fixture.run_for(second);
    std::string const hung =
        fixture.workers.workers["w0"].running.contains(first_task) ? "w0"
                                                                   : "w1";
    run_while_one_hangs(fixture, hung, 8 * second);
    cr_assert(fixture.starts_of(first_task) == 2U);
    cr_assert(
        fixture.workers.workers[hung].running.contains(first_task) == false);
    // The tasks that are limited to one on each worker have nowhere to go.
    cr_assert(fixture.workers.workers[hung].running.size() == 1U);
}

Test(dispatcher, a_long_task_without_visible_progress_is_no_stall)
{
    // Guards against idle workers because progress comes in whole percents.
    cell_fixture fixture(2);
    fixture.begin_term();
    fixture.submit("a", 2,
        [](work_record& record)
        {
            one_on_each(record);
            record.steps[0].estimated_ms = 300000;
        });
    run_while_one_hangs(fixture, "w0", 8 * second);
    fixture.submit("b", 6);
    fixture.run_for(second);
    cr_assert(fixture.workers.workers["w0"].starts.size() == 4U);
}

namespace
{

/// Runs a cell with a steady queue of short jobs beside work that fails.
class failing_work_fixture : public cell_fixture
{
public:
    using cell_fixture::cell_fixture;

    /// For so long, but not in its last 5 s, submits short jobs, each of half a
    /// worker. Their runs end after 200 ms to 300 ms; those that `fails` names
    /// as failed.
    void run_short_jobs(milliseconds duration,
        std::function<bool(std::string const& worker, task_id const&)> const&
            fails)
    {
        constexpr milliseconds interval{100};
        for (milliseconds elapsed{0}; elapsed < duration; elapsed += interval)
        {
            bool const is_due =
                elapsed % this->burst_interval == milliseconds(0) &&
                elapsed + 5 * second < duration;
            for (int i = 0; is_due && i < this->jobs_in_burst; ++i)
            {
                this->short_jobs.push_back(
                    "short" + std::to_string(this->short_jobs.size()));
                this->submit(this->short_jobs.back(), 1,
                    [](work_record& record)
                    { record.steps[0].need.cpu_millis = worker_cpu / 2; });
            }
            this->run_for(interval);
            this->end_old_runs(fails);
        }
    }

    std::size_t count_short_jobs(work_state state)
    {
        return static_cast<std::size_t>(
            std::count_if(this->short_jobs.begin(), this->short_jobs.end(),
                [this, state](std::string const& job)
                { return this->state_of(job) == state; }));
    }

    milliseconds burst_interval{100};
    int jobs_in_burst = 1;
    std::vector<std::string> short_jobs;

private:
    void end_old_runs(
        std::function<bool(std::string const&, task_id const&)> const& fails)
    {
        for (auto& [id, worker] : this->workers.workers)
        {
            std::map<task_id, std::uint64_t> const running = worker.running;
            for (auto const& [task, run] : running)
            {
                int& age = this->ages[{task, run}];
                constexpr int intervals = 2;
                if (++age > intervals)
                {
                    this->workers.end_run(id, task,
                        fails(id, task) ? run_outcome::failed
                                        : run_outcome::succeeded);
                }
            }
        }
    }

    std::map<std::pair<task_id, std::uint64_t>, int> ages;
};

bool is_short(task_id const& task)
{
    return task.step.job.starts_with("short");
}

} // namespace

// Guards against a service that fails wherever it runs and thereby takes all
// workers from other jobs, and against one that is restarted without a pause.
Test(dispatcher, a_service_that_fails_everywhere_keeps_no_worker_from_others)
{
    failing_work_fixture fixture(4);
    fixture.begin_term();
    constexpr std::uint32_t tasks = 5;
    fixture.submit("service", tasks,
        [](work_record& record) { record.steps[0].long_running = true; });
    fixture.run_short_jobs(20 * second,
        [](std::string const&, task_id const& task)
        { return !is_short(task); });
    cr_assert(fixture.count_short_jobs(work_state::succeeded) ==
              fixture.short_jobs.size());
    for (std::uint32_t i = 0; i < tasks; ++i)
    {
        std::size_t const starts = fixture.starts_of({{"service", 0, 0}, i});
        cr_assert(starts >= 7U, "%zu", starts);
        cr_assert(starts <= 14U, "%zu", starts);
    }
}

// Guards against jobs that can never be done, each of many tasks, which take
// all workers from other jobs.
Test(dispatcher, jobs_that_fail_everywhere_keep_no_worker_from_others)
{
    failing_work_fixture fixture(4);
    fixture.begin_term();
    for (int round = 0; round < 4; ++round)
    {
        for (int i = 0; i < 3; ++i)
        {
            fixture.submit("poison" + std::to_string(round) + std::to_string(i),
                10, [](work_record& record) { record.queue.max_attempts = 4; });
        }
        fixture.run_short_jobs(8 * second,
            [](std::string const&, task_id const& task)
            { return !is_short(task); });
        cr_assert(fixture.count_short_jobs(work_state::succeeded) ==
                  fixture.short_jobs.size());
    }
}

// Guards against a gang whose starts are refused everywhere: it is restarted
// without a pause, and takes all workers from other jobs.
Test(dispatcher, a_job_whose_starts_are_refused_keeps_no_worker_from_others)
{
    for (bool const is_gang : {false, true})
    {
        failing_work_fixture fixture(4);
        fixture.begin_term();
        fixture.workers.refused_jobs.insert("refused");
        fixture.submit("refused", 3,
            [is_gang](work_record& record) { record.steps[0].gang = is_gang; });
        fixture.run_short_jobs(20 * second,
            [](std::string const&, task_id const&) { return false; });
        cr_assert(fixture.count_short_jobs(work_state::succeeded) ==
                  fixture.short_jobs.size());
        cr_assert(fixture.workers.refused_starts >= 3);
        cr_assert(fixture.workers.refused_starts <= 40, "%d",
            fixture.workers.refused_starts);
    }
}

// Guards against a worker that fails all it gets and still gets work, so that
// jobs use up their attempts there.
Test(dispatcher, a_worker_that_fails_all_it_gets_is_kept_from_work)
{
    failing_work_fixture fixture(3);
    fixture.begin_term();
    // One more than fit on the other two workers.
    fixture.burst_interval = milliseconds(500);
    fixture.jobs_in_burst = 5;
    fixture.run_short_jobs(25 * second,
        [](std::string const& worker, task_id const&)
        { return worker == "w0"; });
    cr_assert(fixture.count_short_jobs(work_state::succeeded) ==
              fixture.short_jobs.size());
    std::size_t const starts = fixture.workers.workers["w0"].starts.size();
    cr_assert(starts >= 3U, "%zu", starts);
    cr_assert(starts <= 12U, "%zu", starts);
}

Test(dispatcher, a_failed_task_goes_to_another_worker)
{
    // Guards against a task that uses up its attempts on one worker: the later
    // success of another task there makes the worker healthy again.
    cell_fixture fixture(2);
    std::string const worker = fixture.run_one_task();
    fixture.submit("b", 2);
    fixture.run_for(second);
    cr_assert(fixture.workers.workers[worker].running.size() == 3U);
    fixture.workers.end_run(worker, first_task, run_outcome::failed);
    fixture.workers.end_run(
        worker, task_id{{"b", 0, 0}, 0}, run_outcome::succeeded);
    fixture.run_for(2 * second);
    cr_assert(fixture.starts_of(first_task) == 2U);
    cr_assert(
        fixture.workers.workers[worker].running.contains(first_task) == false);
}

Test(dispatcher, urgent_tasks_prefer_workers_that_were_fast)
{
    // Guards against run times that are not measured, or measured wrongly.
    cell_fixture fixture(2);
    fixture.begin_term();
    for (int i = 0; i < 6; ++i)
    {
        fixture.submit("j" + std::to_string(i), 2, one_on_each);
        fixture.run_for(milliseconds(1700));
        auto const& runs = fixture.workers.workers["w1"].running;
        fixture.workers.end_run(
            "w1", runs.begin()->first, run_outcome::succeeded);
        fixture.run_for(2 * second);
        fixture.workers.end_all_runs(run_outcome::succeeded);
        fixture.run_for(second);
    }
    fixture.submit("a", 1);
    fixture.run_for(second);
    cr_assert(fixture.workers.workers["w1"].running.contains(first_task));
}
