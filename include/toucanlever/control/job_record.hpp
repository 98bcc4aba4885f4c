/// What a scheduler keeps in memory about one job it answers for.
#pragma once

#include "toucanlever/core/clock.hpp"
#include "toucanlever/core/job.hpp"

#include <string>
#include <vector>

namespace toucanlever
{

/// Where one task of the present attempt stands.
enum class task_status : std::uint8_t
{
    starting,
    running,
    succeeded,
    failed,
    stopped,
    /// Its lease ran out: it is over, with no report.
    lapsed,
    /// Its worker restarted or was removed: it is over, with no report.
    lost,
    /// It never started.
    refused
};

constexpr bool is_over(task_status status)
{
    return status != task_status::starting && status != task_status::running;
}

/// One task of the present attempt.
struct job_task
{
    std::string id;
    std::string worker;
    task_status status = task_status::starting;
    /// The worker keeps its report until this is acknowledged.
    bool needs_ack = false;
};

/// A job. Durable facts are in the journal; the rest is rebuilt from the
/// workers.
struct job_record
{
    std::string id;
    job_spec spec;
    job_state state = job_state::queued;
    std::uint32_t attempt = 1;
    /// Placements of this attempt that no worker took.
    std::uint32_t refused_placements = 0;
    /// Attempts that count against the limit.
    std::uint32_t failures = 0;
    /// Failures that a suspected worker was blamed for.
    std::uint32_t worker_caused_failures = 0;
    std::vector<job_task> tasks;
    time_point accepted_at{};
    std::int64_t waited_ms = -1;
    std::string worker;
    std::string reason;
    std::string result;
    bool cancel_requested = false;
    /// Stopped to make room for other work.
    bool preempted = false;
    /// Where the next attempt goes on from; empty for the beginning.
    std::string checkpoint;
    /// Its acceptance is not in the journal yet: the worker that runs it
    /// holds its record.
    bool attached = false;
    /// It was offered to a peer and nobody knows yet who has it.
    bool offered = false;
    /// Its end, next attempt or hand-over is on its way to be recorded.
    bool recording = false;
    /// Version of the row that says who owns it; 0 until it first moved.
    std::int64_t owner_row_version = 0;
    /// The incarnation that owns it now, when that is another one.
    std::string moved_to;
};

/// What the statuses of an attempt's tasks amount to.
struct attempt_summary
{
    std::size_t succeeded = 0;
    std::size_t failed = 0;
    std::size_t stopped = 0;
    std::size_t lost = 0;
    std::size_t refused = 0;
    std::size_t unfinished = 0;
};

attempt_summary summarise_attempt(job_record const& job);

/// The status that a worker's report of an ended task stands for.
task_status task_status_from_report(std::string const& state);

/// The caller's view.
job_view make_job_view(job_record const& job);

/// Where the job stands, for people; empty when it waits in the queue.
std::string explain_job(job_record const& job);

/// Name of a task of the present attempt and try; the same for every repeat of
/// its start. A worker refuses an id for good that it refused once, so each
/// placement has ids of its own.
std::string make_task_id(job_record const& job, std::uint32_t index);

} // namespace toucanlever
