/// The jobs of a cell and the state of their tasks. Pure state: no I/O, and
/// time is an argument.
#pragma once

#include "toucanlever/cell/step_planning.hpp"
#include "toucanlever/cell/wait_reason.hpp"
#include "toucanlever/cell/work.hpp"
#include "toucanlever/core/clock.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace toucanlever
{

/// State of one task.
struct registry_task
{
    /// The highest run number assigned.
    std::uint64_t run = 0;
    /// Runs that failed. A completion is reported again, also to the next
    /// scheduler, until it is known to be durable; each run counts once.
    std::set<std::uint64_t> failed_runs;
    bool succeeded = false;
    /// The worker on which its current run is allocated; empty while it waits.
    std::string worker;
    std::string checkpoint;
    /// The worker of the most recent failed run, or of the most recent run that
    /// was stopped because the worker stalled.
    std::string last_failed_worker;
    /// How many of its runs were stopped because their worker stalled.
    std::uint32_t stalled_runs = 0;
    /// Failed runs of a long-running task, and refused starts of any task, that
    /// came shortly after one another.
    std::uint32_t quick_failures = 0;
    /// It is not started again before this time.
    time_point restart_at{};

    bool is_waiting() const { return !this->succeeded && this->worker.empty(); }
    bool is_startable(time_point now) const
    {
        return this->is_waiting() && this->restart_at <= now;
    }
};

/// The external policy's approval of a worker for a step.
struct worker_ticket
{
    std::string ticket;
    time_point valid_until{};
    time_point received_at{};
};

/// Placement advice received for a step.
struct step_advice
{
    std::unordered_map<std::string, worker_ticket> approved;
    // Invariant: contains every approved worker.
    std::unordered_set<std::string> queried;
    // A call for the step is in flight.
    bool pending = false;
    // The planner requests no advice about more workers before this time: the
    // last call failed,
    time_point retry_at{};
    // or another call would not have let the step start sooner.
    time_point reconsider_at{};
    // When the last answer about the step arrived.
    time_point answered_at{};
};

/// The worker crashes under the runs of one task, or of one gang.
struct crash_history
{
    /// Runs during which a worker crashed. A crash may be recorded by two
    /// schedulers; each run counts once.
    std::set<std::uint64_t> runs;
    /// During one of them no other job had a task on the worker, but for
    /// long-running ones at work.
    bool isolated = false;
};

struct registry_job;
struct registry_step;

/// Sort key of a ready step: priority, then the latest wall time at which the
/// step can start and its job still finish in time. `order_steps` derives the
/// planning order from it.
struct step_rank
{
    std::int64_t priority = 0;
    std::int64_t latest_start_ms = 0;
    step_id id;
    /// A step that starts later than this makes the job useless to its caller.
    std::int64_t useless_start_ms = 0;
    /// The step's tasks run until the job is cancelled: however late it starts,
    /// it is of use from then on.
    bool long_running = false;
    /// As in `registry_job`.
    bool beyond_entitlement = false;
    /// The step itself, which lives as long as its job is in the registry.
    registry_step* step = nullptr;

    bool operator<(step_rank const& other) const
    {
        return std::tie(this->priority, this->latest_start_ms, this->id) <
               std::tie(other.priority, other.latest_start_ms, other.id);
    }
};

/// State of one step of one occurrence.
struct registry_step
{
    step_id id;
    work_step const* spec = nullptr;
    registry_job* job = nullptr;
    /// Computed once, when the occurrence is created.
    step_rank rank;
    std::vector<registry_task> tasks;
    std::uint32_t succeeded = 0;
    /// Number of tasks that wait for an allocation; updated with the tasks.
    std::uint32_t waiting = 0;
    /// For a gang, which fails as a whole: runs in which a task failed.
    std::set<std::uint64_t> failed_runs;
    /// By task index; a gang has one entry, with index 0. Tasks under which no
    /// worker crashed have none.
    std::map<std::uint32_t, crash_history> crashes;
    step_advice advice;
    /// A task of the step has a `last_failed_worker`.
    bool has_failed_worker = false;
    /// A task of the step has a `restart_at`.
    bool has_delayed_restart = false;
    /// The workers on which its runs have failed, or that have refused them.
    std::set<std::string> failing_workers;
    /// When the step first became ready.
    time_point ready_at{};
    /// Why it waits, as last logged; `none` until it is late.
    wait_reason logged_reason = wait_reason::none;
    step_planning planning;

    bool done() const { return this->succeeded == this->tasks.size(); }

    /// Number of waiting tasks that may be started now: all or none of a gang.
    std::uint32_t startable(time_point now) const;

    /// A task of the step may be the cause of a worker's crash. All its tasks
    /// that are started from now on run isolated from other jobs, but not from
    /// each other, because their job fails as a whole.
    bool is_suspect() const { return !this->crashes.empty(); }

    /// More than one worker has crashed under one of its tasks, or gangs.
    bool has_crashed_repeatedly() const;
};

/// State of one job.
struct registry_job
{
    work_record record;
    /// The lowest store version of the records that hold this job; two
    /// instances may have stored it.
    std::int64_t version = 0;
    work_state state = work_state::queued;
    /// The store holds enough to derive `state` again after a restart.
    bool durable = true;
    /// Submitted beyond what its customer is entitled to submit.
    bool beyond_entitlement = false;
    /// A task of the job has been started.
    bool started = false;
    /// When the job was added to the registry.
    time_point received{};
    time_point ended_at{};
    /// By step: the later steps that wait for it directly.
    std::vector<std::vector<std::uint32_t>> dependents;
    // By occurrence number; an occurrence is created when it is due.
    std::map<std::uint32_t, std::vector<registry_step>> occurrences;
    std::uint32_t finished_occurrences = 0;
    // Of occurrences that are not due yet by this scheduler's clock, but were
    // by the clock of an earlier one.
    std::vector<run_completion> early_completions;

    bool open() const
    {
        return this->state == work_state::queued ||
               this->state == work_state::running;
    }
};

/// Effects of a run's completion.
struct completion_effect
{
    /// The run is the task's current one.
    bool current = false;
    /// All tasks of its step have now succeeded.
    bool step_done = false;
    bool job_ended = false;
};

/// All open and recently ended jobs.
class work_registry
{
public:
    /// Adds a job; false when it is known already. A known job keeps the lower
    /// of the two versions.
    bool add(work_record record, std::int64_t version, std::int64_t wall_ms,
        time_point now, bool beyond_entitlement = false);

    registry_job* find(std::string const& job);
    registry_step* find(step_id const& step);
    registry_task* find(task_id const& task);

    /// Tasks of due occurrences that are created in one call, at least one
    /// occurrence: a job whose times have passed long ago has thousands.
    static constexpr std::size_t max_tasks_created = 20000;

    /// Creates occurrences that are due; when there are many, the next call
    /// continues. Returns the wall time, in milliseconds, at which the next one
    /// is due, or 0 when there is none.
    std::int64_t create_due_occurrences(std::int64_t wall_ms, time_point now);

    /// Records that a run of the task is allocated on a worker.
    void mark_placed(
        task_id const& task, std::uint64_t run, std::string const& worker);

    /// Records that the task's allocation was released; it waits again unless
    /// it has succeeded.
    void mark_unplaced(task_id const& task);

    /// Records that the task's run failed, or stalled, on this worker.
    void mark_failed_on(task_id const& task, std::string const& worker);

    /// Delays the next start of a task that is restarted without limit: not
    /// after its first failure, which may be its worker's fault, but longer and
    /// longer while it fails shortly after each start.
    void delay_restart(task_id const& task, time_point now);

    /// Records that a task of the job was started.
    void mark_started(registry_job& job);

    /// Records the completion of a run. The success of one task of a gang
    /// completes the whole step.
    completion_effect record_completion(task_id const& task, std::uint64_t run,
        run_outcome outcome, time_point now);

    /// Records a crash of a worker that is evidence against the run, which was
    /// on it. `isolated` means that no other job had a task there, but for
    /// long-running ones at work. The job fails after a second crash under one
    /// of its tasks, once it was isolated in one.
    completion_effect record_crash(
        task_id const& task, std::uint64_t run, bool isolated, time_point now);

    /// Applies a completion or crash that an earlier scheduler has recorded;
    /// for an occurrence that is not created yet, when it is created.
    void replay(run_completion const& entry, time_point now);

    /// Cancels the job; false when it is unknown or has ended.
    bool cancel(std::string const& job, time_point now);

    /// Steps with waiting tasks whose earlier steps are done, sorted by rank.
    std::set<step_rank> const& ready() const { return this->ready_steps; }

    /// Number of open jobs of a queue of which no task has started. Jobs with
    /// occurrences are not counted.
    std::int64_t waiting_jobs(std::string const& queue) const;

    /// Removes jobs that ended at or before `before`, are durable and have no
    /// allocation left. Returns their ids.
    std::vector<std::string> remove_ended(time_point before);

    std::map<std::string, std::unique_ptr<registry_job>> const& all() const
    {
        return this->jobs;
    }

private:
    void create_occurrence(
        registry_job& job, std::uint32_t occurrence, time_point now);
    void apply(run_completion const& entry, time_point now);
    void update_readiness(
        registry_job& job, registry_step& step, time_point now);
    void update_all_readiness(
        registry_job& job, std::uint32_t occurrence, time_point now);
    void record_success(registry_step& step, registry_task& task);
    /// Returns true when the job has no attempt left.
    bool record_failure(registry_job const& job, registry_step& step,
        registry_task& task, std::uint64_t run);
    /// Ends the job when its last occurrence is done; returns true then.
    bool finish_occurrence(
        registry_job& job, std::uint32_t occurrence, time_point now);
    /// Sets the ranks of all steps of an occurrence.
    static void set_ranks(
        registry_job const& job, std::vector<registry_step>& steps);
    bool is_ready(registry_job const& job, registry_step const& step) const;
    void end_job(registry_job& job, work_state state, time_point now);
    /// Adds (1) or subtracts (-1) the job from its queue's waiting jobs.
    void adjust_waiting_count(registry_job const& job, std::int64_t change);

    std::map<std::string, std::unique_ptr<registry_job>> jobs;
    std::set<step_rank> ready_steps;
    // By queue: number of open jobs without occurrences that have not started.
    std::map<std::string, std::int64_t> waiting;
    // Jobs with occurrences still to be created, by the wall time of the next
    // one.
    std::set<std::pair<std::int64_t, std::string>> scheduled;
};

} // namespace toucanlever
