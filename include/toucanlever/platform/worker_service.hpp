/// Workers as schedulers see them.
///
/// A worker decides by itself what runs on it. Two leases guard it, both
/// counted on the worker's own clock from the moment it issued the token
/// that a request echoes, so a request that arrives late extends nothing:
///
/// - the control lease says which scheduler may start tasks there (epoch);
/// - task leases are renewed by the scheduler that owns the job.
#pragma once

#include "toucanlever/core/resources.hpp"

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace toucanlever
{

/// Whether a call reached the worker and what it said.
enum class worker_answer
{
    accepted,
    refused,
    /// No whole answer: the call may have taken effect.
    in_doubt
};

/// A task as its worker reports it.
struct task_report
{
    std::string id;
    std::string job_id;
    std::uint32_t attempt = 0;
    std::uint32_t index = 0;
    /// running | succeeded | failed | stopped | lapsed
    std::string state;
    std::string result;
    std::string reason;
    resources need;
    /// What came with the start, for whoever succeeds the owner.
    std::string record;
    /// Of a task that was stopped at a checkpoint: where it can go on from.
    std::string checkpoint;
};

/// How a task is to be stopped.
enum class stop_kind
{
    at_once,
    /// The worker makes a checkpoint first, if it can.
    at_checkpoint
};

/// A grant or renewal of the control lease.
struct control_grant
{
    worker_answer answer = worker_answer::in_doubt;
    std::int64_t epoch = 0;
    std::int64_t token = 0;
    std::string incarnation;
    resources capacity;
    /// Held by tasks of other owners than the holder.
    resources used_by_others;
    /// Set on refusal.
    std::string reason;
};

/// A start. The worker takes each task id once, whatever comes again.
struct task_start
{
    std::string holder;
    std::int64_t epoch = 0;
    std::int64_t token = 0;
    std::string incarnation;
    std::string id;
    std::string job_id;
    std::string owner;
    std::uint32_t attempt = 0;
    std::uint32_t index = 0;
    resources need;
    std::string name;
    std::int64_t run_ms = 0;
    std::int64_t lease_ms = 0;
    std::string input;
    /// The job itself, when it stands nowhere else; kept with the task.
    std::string record;
    /// Where an earlier attempt was stopped; empty to begin at the beginning.
    std::string checkpoint;
};

/// What became of a start.
struct start_result
{
    worker_answer answer = worker_answer::in_doubt;
    std::string reason;
};

/// Asks for the tasks of one owner and renews their leases.
struct follow_request
{
    std::string owner;
    std::int64_t token = 0;
    std::int64_t lease_ms = 0;
    /// Ended tasks that are durable elsewhere and may be forgotten.
    std::vector<std::string> acks;
    /// Answered at once when the worker's version for this owner is another,
    /// else when it changes or `wait_ms` is over. Told of with the worker
    /// incarnation that gave it, only what changed since is reported.
    std::int64_t version = 0;
    std::string incarnation;
    std::int64_t wait_ms = 0;
};

/// All running and all ended, not yet acknowledged tasks of an owner, or those
/// of them that changed since the version that was asked with.
struct follow_result
{
    worker_answer answer = worker_answer::in_doubt;
    std::string incarnation;
    std::int64_t token = 0;
    std::int64_t version = 0;
    bool changes_only = false;
    std::vector<task_report> tasks;
};

/// One worker's calls; `base` is its URL. Callbacks come exactly once.
class worker_service
{
public:
    virtual ~worker_service() = default;

    /// Asks for control; granted when nobody holds it.
    virtual void acquire(std::string const& base, std::string const& holder,
        std::int64_t lease_ms, std::function<void(control_grant)> done) = 0;
    virtual void renew(std::string const& base, std::string const& holder,
        std::int64_t epoch, std::int64_t token, std::int64_t lease_ms,
        std::function<void(control_grant)> done) = 0;
    virtual void release(std::string const& base, std::string const& holder,
        std::int64_t epoch) = 0;
    virtual void start(std::string const& base, task_start const& task,
        std::function<void(start_result)> done) = 0;
    virtual void stop(std::string const& base, std::string const& task,
        std::string const& owner, stop_kind how) = 0;
    virtual void follow(std::string const& base, follow_request const& request,
        std::function<void(follow_result)> done) = 0;

    /// Bars `owners` from this worker for good and hands their tasks to
    /// `successor`. Leases are not extended by this.
    virtual void fence(std::string const& base,
        std::vector<std::string> const& owners, std::string const& successor,
        std::function<void(follow_result)> done) = 0;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(task_report, id, job_id,
    attempt, index, state, result, reason, need, record, checkpoint)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(task_start, holder, epoch,
    token, incarnation, id, job_id, owner, attempt, index, need, name, run_ms,
    lease_ms, input, record, checkpoint)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    follow_request, owner, token, lease_ms, acks, version, incarnation, wait_ms)

} // namespace toucanlever
