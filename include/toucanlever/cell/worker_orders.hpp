/// The orders that the active scheduler of a cell sends to workers.
///
/// A worker refuses orders whose fencing token is lower than the highest that
/// it has seen. All runs on a worker share one lease, whose end is a time on
/// the worker's own clock and only moves later.
#pragma once

#include "toucanlever/cell/work.hpp"
#include "toucanlever/core/clock.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace toucanlever
{

/// An order without a reply may be carried out until this long after it was
/// sent, also by a later incarnation of the worker. The platform names delays
/// of up to 12 s; the rest allows for a relay.
inline constexpr milliseconds max_order_delay{12500};

/// A worker as the platform lists it.
struct worker_entry
{
    std::string id;
    /// Wall time of its start in milliseconds, which distinguishes the
    /// incarnations of one id. 0 when unknown.
    std::int64_t started_ms = 0;
    std::string address;
    std::string domain;
    std::string rack;
    std::string service;
    std::vector<std::string> labels;
    resources capacity;
    /// It accepts no new work.
    bool leaving = false;

    MSGPACK_DEFINE(id, started_ms, address, domain, rack, service, labels,
        capacity, leaving)
};

/// The outcome of an order.
enum class order_outcome : std::uint8_t
{
    done,
    /// The scheduler's fencing token is not the highest.
    refused_fenced,
    /// This or a later run of the task has ended or was stopped on the worker.
    refused_superseded,
    /// The lease in the order had expired.
    refused_expired,
    refused_no_capacity,
    /// The ticket of the external placement policy is missing or has expired.
    refused_ticket,
    /// The order had no effect, for another reason of the worker.
    not_done,
    /// Another incarnation of the worker answered; the order had no effect.
    other_incarnation,
    /// No usable reply arrived; the order may have been carried out, or may be
    /// carried out later.
    in_doubt,
    /// A later order of the same scheduler reached the worker first; the order
    /// had no effect. Set by the scheduler, not by workers.
    overtaken,
    /// The instance that was to send the order has not, because earlier ones to
    /// the worker are unanswered. Says nothing about the worker.
    not_sent
};

template <>
struct enum_table<order_outcome>
{
    using row = enum_name<order_outcome>;
    static constexpr std::array rows{row{order_outcome::done, "done"},
        row{order_outcome::refused_fenced, "fenced"},
        row{order_outcome::refused_superseded, "superseded"},
        row{order_outcome::refused_expired, "expired"},
        row{order_outcome::refused_no_capacity, "no-room"},
        row{order_outcome::refused_ticket, "ticket"},
        row{order_outcome::not_done, "not-done"},
        row{order_outcome::other_incarnation, "other-incarnation"},
        row{order_outcome::in_doubt, "in-doubt"},
        row{order_outcome::overtaken, "overtaken"},
        row{order_outcome::not_sent, "not-sent"}};
};

/// The reply to a start or stop order; `clock_ms` is the worker's clock, or -1
/// when the reply did not contain it.
struct order_result
{
    order_outcome outcome = order_outcome::in_doubt;
    std::int64_t clock_ms = -1;
    std::string problem;

    MSGPACK_DEFINE(outcome, clock_ms, problem)
};

/// Starts one run of a task.
struct start_order
{
    task_id task;
    std::uint64_t run = 0;
    std::string payload;
    /// The end of the lease on the worker's clock; 0 while the scheduler does
    /// not know that clock.
    std::int64_t lease_until_ms = 0;
    std::uint64_t fencing_token = 0;
    /// The run resumes from this checkpoint; empty for none.
    std::string checkpoint;
    /// The ticket of the external placement policy; empty for none.
    std::string ticket;

    MSGPACK_DEFINE(
        task, run, payload, lease_until_ms, fencing_token, checkpoint, ticket)
};

/// Stops a run and prevents it and all earlier runs of the task from starting.
struct stop_order
{
    task_id task;
    std::uint64_t run = 0;
    std::uint64_t fencing_token = 0;

    MSGPACK_DEFINE(task, run, fencing_token)
};

/// Renews the lease and asks for running and completed runs.
struct watch_order
{
    std::uint64_t fencing_token = 0;
    std::int64_t lease_until_ms = 0;
    /// Completions up to this number are durable in the store; the worker may
    /// discard them.
    std::int64_t acknowledged = 0;
    /// How long the worker may delay its reply until a run completes.
    std::int64_t wait_ms = 0;

    MSGPACK_DEFINE(fencing_token, lease_until_ms, acknowledged, wait_ms)
};

/// A run that is still running.
struct running_task
{
    task_id task;
    std::uint64_t run = 0;
    std::string checkpoint;
    /// Completed share of its work, in percent.
    int progress = 0;

    MSGPACK_DEFINE(task, run, checkpoint, progress)
};

/// A run that has ended; numbers increase within one incarnation of the worker.
struct completed_run
{
    std::int64_t number = 0;
    task_id task;
    std::uint64_t run = 0;
    run_outcome outcome = run_outcome::failed;
    std::string checkpoint;

    MSGPACK_DEFINE(number, task, run, outcome, checkpoint)
};

/// The report of a worker.
struct watch_result
{
    order_outcome outcome = order_outcome::in_doubt;
    std::int64_t clock_ms = -1;
    std::int64_t started_ms = 0;
    std::vector<running_task> running;
    std::vector<completed_run> completions;
    /// False when the list of completions is truncated.
    bool all_completions = true;
    std::string problem;

    MSGPACK_DEFINE(outcome, clock_ms, started_ms, running, completions,
        all_completions, problem)
};

/// The worker, and the incarnation of it, that an order is addressed to.
struct worker_target
{
    std::string id;
    std::string address;

    MSGPACK_DEFINE(id, address)
};

/// Sends orders to workers. Each callback is called exactly once, on the loop's
/// thread. Orders are idempotent.
class worker_orders
{
public:
    using order_callback = std::function<void(order_result)>;
    using watch_callback = std::function<void(watch_result)>;

    virtual ~worker_orders() = default;
    virtual void start(worker_target const& worker, start_order const& order,
        order_callback done) = 0;
    virtual void stop(worker_target const& worker, stop_order const& order,
        order_callback done) = 0;
    virtual void watch(worker_target const& worker, watch_order const& order,
        watch_callback done) = 0;
};

} // namespace toucanlever

MSGPACK_ADD_ENUM(toucanlever::order_outcome)
