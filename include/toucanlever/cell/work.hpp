/// Jobs of a cell as the schedulers and the store represent them. A job has
/// steps, a step has identical tasks, and a repeated job has occurrences, each
/// of which runs all steps.
#pragma once

#include "toucanlever/cell/customer.hpp"
#include "toucanlever/core/enum_names.hpp"
#include "toucanlever/core/resources.hpp"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <tuple>
#include <vector>

namespace toucanlever
{

/// A group of identical tasks of a job.
struct work_step
{
    std::uint32_t tasks = 1;
    /// Per task.
    resources need;
    /// The caller's estimate of one task's run time; 0 when not given.
    std::int64_t estimated_ms = 0;
    /// Earlier steps that must have succeeded first.
    std::vector<std::uint32_t> after;
    bool makes_checkpoints = false;
    /// The tasks make progress only while all of them run.
    bool gang = false;
    /// The gang runs slower when it spans racks.
    bool prefers_one_rack = false;
    /// A label that the worker must have; empty for none.
    std::string required_label;
    /// The rack on which the tasks are fastest; empty for none.
    std::string data_rack;
    /// Maximum number of tasks of the step on one worker; 0 for no limit.
    std::uint32_t max_per_worker = 0;
    /// Runs until the job is cancelled.
    bool long_running = false;
    /// Uses only processor time that other tasks leave idle; its processors do
    /// not count against a worker's capacity.
    bool uses_idle_cpu = false;

    /// The worker capacity that one task occupies.
    resources capacity_need() const
    {
        resources amount = this->need;
        amount.cpu_millis = this->uses_idle_cpu ? 0 : this->need.cpu_millis;
        return amount;
    }

    MSGPACK_DEFINE(tasks, need, estimated_ms, after, makes_checkpoints, gang,
        prefers_one_rack, required_label, data_rack, max_per_worker,
        long_running, uses_idle_cpu)
};

/// Whether an external placement policy restricts where a queue's steps may
/// run, and how long its calls take.
struct advice_terms
{
    /// False when the queue's steps may run anywhere.
    bool required = false;
    /// Fixed time of one call, and the additional time per worker in it.
    std::int64_t decision_us = 0;
    std::int64_t per_worker_us = 0;

    MSGPACK_DEFINE(required, decision_us, per_worker_us)
};

/// Scheduling terms of a queue's jobs.
struct queue_terms
{
    std::string name;
    /// The worker service that runs its tasks.
    std::string service;
    /// 0 is the most urgent.
    std::int64_t priority = 0;
    /// A job fails when one of its tasks has failed this many times.
    std::uint32_t max_attempts = 1;
    /// A job is in time when it takes at most `slack_permille` / 1000 times its
    /// critical path, plus `target_ms`.
    std::int64_t slack_permille = 1000;
    std::int64_t target_ms = 0;
    advice_terms advice;

    MSGPACK_DEFINE(name, service, priority, max_attempts, slack_permille,
        target_ms, advice)
};

/// A job as stored.
struct work_record
{
    std::string id;
    queue_terms queue;
    /// Opaque; passed to workers unchanged.
    std::string payload;
    std::vector<work_step> steps;
    /// Number of occurrences; 0 for a job that runs once, immediately.
    std::uint32_t repetitions = 0;
    /// Wall time of occurrence 0, and the interval between occurrences.
    std::int64_t first_run_ms = 0;
    std::int64_t interval_ms = 0;
    /// Wall time of acceptance at the entry instance; used only to order jobs.
    std::int64_t accepted_ms = 0;
    /// The customer that submitted it, as configured then. Absent in rows of
    /// earlier versions.
    customer_terms customer;
    /// Accepted although the estimated backlog spoke against it, to see whether
    /// the estimate is right. Absent in rows of earlier versions.
    bool is_admission_probe = false;

    MSGPACK_DEFINE(id, queue, payload, steps, repetitions, first_run_ms,
        interval_ms, accepted_ms, customer, is_admission_probe)
};

/// The tasks of one occurrence.
std::size_t count_tasks(work_record const& record);

/// Names a step of one occurrence of a job.
struct step_id
{
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    bool operator==(step_id const&) const = default;
    bool operator<(step_id const& other) const
    {
        return std::tie(this->job, this->occurrence, this->step) <
               std::tie(other.job, other.occurrence, other.step);
    }

    MSGPACK_DEFINE(job, occurrence, step)
};

/// Names a task.
struct task_id
{
    step_id step;
    std::uint32_t index = 0;

    bool operator==(task_id const&) const = default;
    bool operator<(task_id const& other) const
    {
        return std::tie(this->step, this->index) <
               std::tie(other.step, other.index);
    }

    MSGPACK_DEFINE(step, index)
};

/// JOB.OCCURRENCE.STEP and JOB.OCCURRENCE.STEP.INDEX.
std::string to_string(step_id const& step);
std::string to_string(task_id const& task);

/// State of a job; the last three are final.
enum class work_state : std::uint8_t
{
    queued,
    running,
    succeeded,
    failed,
    cancelled
};

template <>
struct enum_table<work_state>
{
    using row = enum_name<work_state>;
    static constexpr std::array rows{row{work_state::queued, "queued"},
        row{work_state::running, "running"},
        row{work_state::succeeded, "succeeded"},
        row{work_state::failed, "failed"},
        row{work_state::cancelled, "cancelled"}};
};

/// Outcome of a job lookup.
enum class lookup_outcome : std::uint8_t
{
    found,
    no_such_job,
    /// No instance that knows the job can be reached.
    unavailable
};

/// Why a job lookup, or a cancellation, is `unavailable`.
enum class lookup_problem : std::uint8_t
{
    none,
    /// No active scheduler is connected, and the store may not be read yet.
    no_leader,
    /// The active scheduler did not reply within the time limit.
    leader_not_answering,
    /// The active scheduler has no recent copy of the jobs in the store.
    leader_outdated,
    store_not_answering
};

template <>
struct enum_table<lookup_problem>
{
    using row = enum_name<lookup_problem>;
    static constexpr std::array rows{row{lookup_problem::none, "none"},
        row{lookup_problem::no_leader, "no-leader"},
        row{lookup_problem::leader_not_answering, "leader-not-answering"},
        row{lookup_problem::leader_outdated, "leader-outdated"},
        row{lookup_problem::store_not_answering, "store-not-answering"}};
};

/// Result of a job lookup; `state` is valid when the job was found, `problem`
/// when the lookup is unavailable.
struct lookup_result
{
    lookup_outcome outcome = lookup_outcome::unavailable;
    work_state state = work_state::queued;
    lookup_problem problem = lookup_problem::none;

    /// A lookup that is unavailable for this reason.
    static lookup_result unavailable(lookup_problem why)
    {
        return {lookup_outcome::unavailable, work_state::queued, why};
    }
};

/// Outcome of a task run.
enum class run_outcome : std::uint8_t
{
    succeeded,
    failed,
    /// Stopped on request.
    stopped,
    /// Its lease was not renewed.
    lapsed,
    /// Another task of its gang ended.
    gang_broken,
    /// The other tasks of its gang did not start.
    gang_incomplete,
    /// The worker crashed while it ran or may have run.
    worker_crashed
};

template <>
struct enum_table<run_outcome>
{
    using row = enum_name<run_outcome>;
    static constexpr std::array rows{row{run_outcome::succeeded, "succeeded"},
        row{run_outcome::failed, "failed"},
        row{run_outcome::stopped, "stopped"},
        row{run_outcome::lapsed, "lapsed"},
        row{run_outcome::gang_broken, "gang-broken"},
        row{run_outcome::gang_incomplete, "gang-incomplete"},
        row{run_outcome::worker_crashed, "worker-crashed"}};
};

/// The recorded end of a run: the task succeeded or failed, or its worker
/// crashed.
struct run_completion
{
    task_id task;
    std::uint64_t run = 0;
    run_outcome outcome = run_outcome::failed;
    /// For a crash: the worker ran tasks of no other job. Absent in rows of
    /// earlier versions.
    bool isolated = false;

    MSGPACK_DEFINE(task, run, outcome, isolated)
};

} // namespace toucanlever

MSGPACK_ADD_ENUM(toucanlever::work_state)
MSGPACK_ADD_ENUM(toucanlever::run_outcome)
