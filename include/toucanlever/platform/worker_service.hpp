/// The calls that schedulers make to workers.
///
/// A worker itself decides what runs on it, by two kinds of leases. A request
/// that renews a lease or starts a task echoes a token that the worker issued
/// earlier. The lease runs on the worker's own clock from the time at which
/// that token was issued, so a delayed request does not extend a lease:
///
/// - the control lease names the scheduler that may start tasks there; its
///   epoch identifies the grant;
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

/// A worker's answer to a call.
enum class worker_answer
{
    accepted,
    refused,
    /// No complete answer: the call may have taken effect.
    in_doubt
};

/// A task as its worker reports it.
struct task_report
{
    std::string id;
    std::string job_id;
    std::uint32_t attempt = 0;
    std::uint32_t index = 0;
    /// running | succeeded | failed | stopped | lapsed (its lease expired)
    std::string state;
    std::string result;
    std::string reason;
    resources need;
    /// The record that came with the start, for the owner's successor.
    std::string record;
    /// Of a task stopped at a checkpoint: the checkpoint to resume from.
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
    /// Used by tasks of owners other than the holder of the lease.
    resources used_by_others;
    /// Set on refusal.
    std::string reason;
};

/// A request to start a task. The worker accepts each task id only once;
/// repeated requests start nothing.
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
    /// The job itself, when it is stored nowhere else; kept with the task.
    std::string record;
    /// The checkpoint of an earlier attempt to resume from; empty to start
    /// from the beginning.
    std::string checkpoint;
};

/// The result of a start.
struct start_result
{
    worker_answer answer = worker_answer::in_doubt;
    std::string reason;
};

/// Requests the tasks of one owner and renews their leases.
struct follow_request
{
    std::string owner;
    std::int64_t token = 0;
    std::int64_t lease_ms = 0;
    /// Ids of ended tasks that are durable elsewhere; the worker may remove
    /// them.
    std::vector<std::string> acks;
    /// The last version received. The worker answers at once when its version
    /// for this owner differs, else when it changes or after `wait_ms`. When
    /// `incarnation` names the worker incarnation that issued the version,
    /// only changes since then are reported.
    std::int64_t version = 0;
    std::string incarnation;
    std::int64_t wait_ms = 0;
};

/// All running tasks of an owner and all ended ones that are not acknowledged
/// yet; with `changes_only`, those that changed since the requested version.
struct follow_result
{
    worker_answer answer = worker_answer::in_doubt;
    std::string incarnation;
    std::int64_t token = 0;
    std::int64_t version = 0;
    bool changes_only = false;
    std::vector<task_report> tasks;
};

/// Calls to workers; `base` is the worker's URL. Each callback is called
/// exactly once.
class worker_service
{
public:
    virtual ~worker_service() = default;

    /// Requests the control lease; granted when no scheduler holds it.
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

    /// Permanently fences `owners` on this worker and transfers their tasks to
    /// `successor`. Does not extend leases.
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
