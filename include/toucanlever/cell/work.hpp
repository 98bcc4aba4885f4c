/// Jobs of a cell: what callers submit, as the schedulers and the store keep
/// it. A job has steps, a step has equal tasks, and a repeated job has
/// occurrences, each of which runs all steps.
#pragma once

#include "toucanlever/core/enum_names.hpp"
#include "toucanlever/core/resources.hpp"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <tuple>
#include <vector>

namespace toucanlever
{

/// Equal tasks of a job.
struct work_step
{
    std::uint32_t tasks = 1;
    /// Of each task.
    resources need;
    /// The caller's guess at one task's run time; 0 when not given.
    std::int64_t estimated_ms = 0;
    /// Earlier steps that must have succeeded first.
    std::vector<std::uint32_t> after;
    bool makes_checkpoints = false;
    /// The tasks work only while all of them are present.
    bool gang = false;
    /// A gang that is slower when it spans racks.
    bool prefers_one_rack = false;
    /// A label that the worker must have; empty for none.
    std::string required_label;
    /// The rack on which the tasks are fastest; empty for none.
    std::string data_rack;
    /// Most tasks of the step on one worker; 0 for no limit.
    std::uint32_t max_per_worker = 0;
    /// Runs until the job is cancelled.
    bool long_running = false;
    /// Uses processors that others leave idle: its processors do not count
    /// against a worker's capacity.
    bool fills = false;

    /// What a task holds of a worker's capacity.
    resources capacity_need() const
    {
        resources amount = this->need;
        amount.cpu_millis = this->fills ? 0 : this->need.cpu_millis;
        return amount;
    }

    MSGPACK_DEFINE(tasks, need, estimated_ms, after, makes_checkpoints, gang,
        prefers_one_rack, required_label, data_rack, max_per_worker,
        long_running, fills)
};

/// How an external policy restricts where a queue's steps may run.
struct advice_terms
{
    /// False when the queue's steps may run anywhere.
    bool required = false;
    /// Time of one answer, and more for each worker that is asked about.
    std::int64_t decision_us = 0;
    std::int64_t per_worker_us = 0;

    MSGPACK_DEFINE(required, decision_us, per_worker_us)
};

/// What a queue grants to its jobs.
struct queue_terms
{
    std::string name;
    /// Which workers run its tasks.
    std::string service;
    /// 0 is the most urgent.
    std::int64_t priority = 0;
    /// A task that failed this often fails its job.
    std::uint32_t max_attempts = 1;
    /// A job is in time within `slack_permille` / 1000 of its critical path
    /// and `target_ms` more.
    std::int64_t slack_permille = 1000;
    std::int64_t target_ms = 0;
    advice_terms advice;

    MSGPACK_DEFINE(name, service, priority, max_attempts, slack_permille,
        target_ms, advice)
};

/// A job as it is stored.
struct work_record
{
    std::string id;
    queue_terms queue;
    /// Passed on to workers unread.
    std::string payload;
    std::vector<work_step> steps;
    /// Occurrences; 0 for a job that runs once, at once.
    std::uint32_t repetitions = 0;
    /// Wall time of occurrence 0 and the time between two.
    std::int64_t first_run_ms = 0;
    std::int64_t interval_ms = 0;
    /// Wall time of acceptance at the entry instance; orders jobs only.
    std::int64_t accepted_ms = 0;

    MSGPACK_DEFINE(id, queue, payload, steps, repetitions, first_run_ms,
        interval_ms, accepted_ms)
};

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

/// Where a job stands; the last three are final.
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

/// How a question about a job was answered.
enum class lookup_outcome : std::uint8_t
{
    found,
    no_such_job,
    /// Nobody who knows can be reached.
    unavailable
};

/// The answer.
struct lookup_result
{
    lookup_outcome outcome = lookup_outcome::unavailable;
    work_state state = work_state::queued;
};

/// How a run of a task ended.
enum class run_outcome : std::uint8_t
{
    succeeded,
    failed,
    /// On request.
    stopped,
    /// Its lease was not renewed.
    lapsed,
    /// Another member of its gang ended.
    gang_broken,
    /// The other members of its gang did not come.
    gang_incomplete
};

template <>
struct enum_table<run_outcome>
{
    using row = enum_name<run_outcome>;
    static constexpr std::array rows{row{run_outcome::succeeded, "succeeded"},
        row{run_outcome::failed, "failed"}, row{run_outcome::stopped, "stopped"},
        row{run_outcome::lapsed, "lapsed"},
        row{run_outcome::gang_broken, "gang-broken"},
        row{run_outcome::gang_incomplete, "gang-incomplete"}};
};

} // namespace toucanlever

MSGPACK_ADD_ENUM(toucanlever::work_state)
MSGPACK_ADD_ENUM(toucanlever::run_outcome)
