/// In-memory state of one job that a scheduler is responsible for.
#pragma once

#include "toucanlever/core/clock.hpp"
#include "toucanlever/core/job.hpp"

#include <string>
#include <vector>

namespace toucanlever
{

/// Status of one task of the current attempt.
enum class task_status : std::uint8_t
{
    starting,
    running,
    succeeded,
    failed,
    stopped,
    /// It ended without a report because its lease expired.
    lapsed,
    /// It ended without a report because its worker restarted or was removed.
    lost,
    /// The worker refused it: it never started.
    refused
};

constexpr bool is_over(task_status status)
{
    return status != task_status::starting && status != task_status::running;
}

/// One task of the current attempt.
struct job_task
{
    std::string id;
    std::string worker;
    task_status status = task_status::starting;
    /// The worker retains the task's report until it is acknowledged.
    bool needs_ack = false;
};

/// A job. Its durable state is in the journal; after a takeover the rest is
/// rebuilt from what the workers report.
struct job_record
{
    std::string id;
    job_spec spec;
    job_state state = job_state::queued;
    std::uint32_t attempt = 1;
    /// Number of placements of this attempt that no worker accepted.
    std::uint32_t refused_placements = 0;
    /// Attempts that count against the attempt limit.
    std::uint32_t failures = 0;
    /// Failures that were attributed to a suspected worker.
    std::uint32_t worker_caused_failures = 0;
    std::vector<job_task> tasks;
    time_point accepted_at{};
    /// Time from acceptance to the first start; -1 if it has not started.
    std::int64_t waited_ms = -1;
    std::string worker;
    std::string reason;
    std::string result;
    bool cancel_requested = false;
    /// Stopped to free capacity for other work.
    bool preempted = false;
    /// Checkpoint from which the next attempt resumes; empty to start from
    /// the beginning.
    std::string checkpoint;
    /// Its acceptance is not in the journal yet; the worker that runs it
    /// holds its record.
    bool attached = false;
    /// It was offered to a peer and the outcome is not known yet.
    bool offered = false;
    /// A journal entry for its completion, next attempt or handover is in
    /// flight.
    bool recording = false;
    /// Version of the job's owner row; 0 until the first handover.
    std::int64_t owner_row_version = 0;
    /// The incarnation that owns the job, if it is another one; else empty.
    std::string moved_to;
};

/// Number of tasks of an attempt by status.
struct attempt_summary
{
    std::size_t succeeded = 0;
    std::size_t failed = 0;
    std::size_t stopped = 0;
    /// Includes tasks whose lease expired.
    std::size_t lost = 0;
    std::size_t refused = 0;
    std::size_t unfinished = 0;
};

attempt_summary summarise_attempt(job_record const& job);

/// Maps the state in a worker's report of an ended task to a status; an
/// unknown state counts as failed.
task_status task_status_from_report(std::string const& state);

/// The job as callers see it.
job_view make_job_view(job_record const& job);

/// Explains the job's state in words for operators; empty if it waits in the
/// queue.
std::string explain_job(job_record const& job);

/// Returns the id of a task of the current attempt and placement; the same for
/// every retry of its start. A worker permanently refuses an id that it has
/// refused once, so each placement has its own ids.
std::string make_task_id(job_record const& job, std::uint32_t index);

} // namespace toucanlever
