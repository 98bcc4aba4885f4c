/// The jobs of a cell and where each of their tasks stands. Pure state: no
/// I/O, and time is an argument.
#pragma once

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

/// One task.
struct registry_task
{
    /// The highest run that was given out.
    std::uint64_t run = 0;
    /// Its runs that failed. A run is reported again until it is known to be
    /// durable, also to the next scheduler, and counts once.
    std::set<std::uint64_t> failed_runs;
    bool succeeded = false;
    /// Where its present run holds room; empty while it waits.
    std::string worker;
    std::string checkpoint;
    /// The worker on which it failed last.
    std::string last_failed_worker;

    bool is_waiting() const { return !this->succeeded && this->worker.empty(); }
};

/// A worker that the external policy approved for a step.
struct worker_ticket
{
    std::string ticket;
    time_point valid_until{};
};

/// What is known of the external policy's view of a step.
struct step_advice
{
    std::unordered_map<std::string, worker_ticket> approved;
    // Invariant: holds every approved worker.
    std::unordered_set<std::string> queried;
    bool pending = false;
    time_point retry_at{};
};

/// A step of one occurrence.
struct registry_step
{
    step_id id;
    work_step const* spec = nullptr;
    std::vector<registry_task> tasks;
    std::uint32_t succeeded = 0;
    /// Tasks that hold no room; kept with the tasks.
    std::uint32_t waiting = 0;
    /// A gang fails as a whole: its runs in which a task failed.
    std::set<std::uint64_t> failed_runs;
    step_advice advice;
    time_point ready_at{};

    bool done() const { return this->succeeded == this->tasks.size(); }
};

/// A job.
struct registry_job
{
    work_record record;
    /// The lowest version of its records in the store.
    std::int64_t version = 0;
    work_state state = work_state::queued;
    /// The store knows enough to conclude `state` again.
    bool durable = true;
    /// An attempt was started.
    bool started = false;
    time_point received{};
    time_point ended_at{};
    // By occurrence; an occurrence is made when it is due.
    std::map<std::uint32_t, std::vector<registry_step>> occurrences;
    std::uint32_t finished_occurrences = 0;

    bool open() const
    {
        return this->state == work_state::queued ||
               this->state == work_state::running;
    }
};

/// What followed from the end of a run.
struct completion_effect
{
    /// The run was the task's present one.
    bool current = false;
    /// Its step has ended with it.
    bool step_done = false;
    bool job_ended = false;
};

/// Order in which steps are served: priority, then the latest moment at which
/// a step may start and its job still be in time.
struct step_rank
{
    std::int64_t priority = 0;
    std::int64_t latest_start_ms = 0;
    step_id id;
    /// A job that starts later than this is of no use to its caller.
    std::int64_t useless_start_ms = 0;

    bool operator<(step_rank const& other) const
    {
        return std::tie(this->priority, this->latest_start_ms, this->id) <
               std::tie(other.priority, other.latest_start_ms, other.id);
    }
};

/// All jobs that are open or ended lately.
class work_registry
{
public:
    /// Adds a job; false when it is known.
    bool add(work_record record, std::int64_t version, std::int64_t wall_ms,
        time_point now);

    registry_job* find(std::string const& job);
    registry_step* find(step_id const& step);
    registry_task* find(task_id const& task);

    /// Makes the occurrences that are due; the earliest wall time at which
    /// another one is, or 0.
    std::int64_t create_due_occurrences(std::int64_t wall_ms, time_point now);

    /// A task holds room on a worker from now on.
    void mark_placed(
        task_id const& task, std::uint64_t run, std::string const& worker);

    /// A task holds none any more and waits again.
    void mark_unplaced(task_id const& task);

    /// A task of the job was started.
    void mark_started(registry_job& job);

    /// A run succeeded or failed. `whole_step` is a gang's success.
    completion_effect record_completion(
        task_id const& task, std::uint64_t run, run_outcome how, time_point now);

    /// Ends the job; false when it had ended.
    bool cancel(std::string const& job, time_point now);

    /// Steps with waiting tasks whose earlier steps are done, in order.
    std::set<step_rank> const& ready() const { return this->ready_steps; }

    /// Open jobs of a queue of which no task has begun.
    std::int64_t waiting_jobs(std::string const& queue) const;

    /// Forgets jobs that ended before; their ids.
    std::vector<std::string> remove_ended(time_point before);

    std::map<std::string, std::unique_ptr<registry_job>> const& all() const
    {
        return this->jobs;
    }

private:
    void create_occurrence(
        registry_job& job, std::uint32_t occurrence, time_point now);
    void update_readiness(
        registry_job& job, registry_step& step, time_point now);
    void update_all_readiness(
        registry_job& job, std::uint32_t occurrence, time_point now);
    void record_success(registry_step& step, registry_task& task);
    /// True when the job has no attempt left.
    bool record_failure(registry_job const& job, registry_step& step,
        registry_task& task, std::uint64_t run);
    /// Ends the job when its last occurrence has ended; true then.
    bool finish_occurrence(
        registry_job& job, std::uint32_t occurrence, time_point now);
    step_rank rank_of(registry_job const& job, registry_step const& step) const;
    bool is_ready(registry_job const& job, registry_step const& step) const;
    void end_job(registry_job& job, work_state state, time_point now);
    /// The job enters (1) or leaves (-1) those that wait to begin.
    void adjust_waiting_count(registry_job const& job, std::int64_t step);

    std::map<std::string, std::unique_ptr<registry_job>> jobs;
    std::set<step_rank> ready_steps;
    // By queue: open jobs without occurrences that have not begun.
    std::map<std::string, std::int64_t> waiting;
    // Jobs with occurrences that are not made yet, by the wall time of the
    // next one.
    std::set<std::pair<std::int64_t, std::string>> scheduled;
};

} // namespace toucanlever
