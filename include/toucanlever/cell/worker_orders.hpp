/// Workers as the active scheduler of a cell calls them.
///
/// A worker accepts orders of the highest fencing token that it has seen, and
/// everything on it runs under one lease whose end only moves later. The end
/// is a time on the worker's own clock.
#pragma once

#include "toucanlever/cell/work.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace toucanlever
{

/// A worker as the platform lists it.
struct worker_entry
{
    std::string id;
    /// Wall time of its start in milliseconds: tells two lives of one id
    /// apart. 0 when unknown.
    std::int64_t started_ms = 0;
    std::string address;
    std::string domain;
    std::string rack;
    std::string service;
    std::vector<std::string> labels;
    resources capacity;
    /// It takes no new work.
    bool leaving = false;

    MSGPACK_DEFINE(id, started_ms, address, domain, rack, service, labels,
        capacity, leaving)
};

/// How an order ended.
enum class order_outcome : std::uint8_t
{
    done,
    /// The scheduler's fencing token is not the highest.
    refused_fenced,
    /// This or a later run of the task has ended or was stopped there.
    refused_superseded,
    /// The lease that came with it was over.
    refused_expired,
    refused_no_capacity,
    /// The external policy's ticket is missing or over.
    refused_ticket,
    /// Nothing was done, for a reason of the worker's.
    not_done,
    /// Another life of the worker answered; nothing was done.
    other_incarnation,
    in_doubt
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
        row{order_outcome::in_doubt, "in-doubt"}};
};

/// The outcome and, if it was told, the worker's clock.
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
    std::int64_t lease_until_ms = 0;
    std::uint64_t fencing_token = 0;
    std::string checkpoint;
    std::string ticket;

    MSGPACK_DEFINE(
        task, run, payload, lease_until_ms, fencing_token, checkpoint, ticket)
};

/// Stops a run, and bars it and all before it.
struct stop_order
{
    task_id task;
    std::uint64_t run = 0;
    std::uint64_t fencing_token = 0;

    MSGPACK_DEFINE(task, run, fencing_token)
};

/// Renews the lease and asks what runs and what has ended.
struct watch_order
{
    std::uint64_t fencing_token = 0;
    std::int64_t lease_until_ms = 0;
    /// Ends up to this number are durable elsewhere and may be forgotten.
    std::int64_t acknowledged = 0;
    /// How long the answer may wait for an end.
    std::int64_t wait_ms = 0;

    MSGPACK_DEFINE(fencing_token, lease_until_ms, acknowledged, wait_ms)
};

/// A run that goes on.
struct running_task
{
    task_id task;
    std::uint64_t run = 0;
    std::string checkpoint;
    /// Of its work, in percent.
    int progress = 0;

    MSGPACK_DEFINE(task, run, checkpoint, progress)
};

/// A run that has ended; numbers rise within one life of the worker.
struct completed_run
{
    std::int64_t number = 0;
    task_id task;
    std::uint64_t run = 0;
    run_outcome outcome = run_outcome::failed;
    std::string checkpoint;

    MSGPACK_DEFINE(number, task, run, outcome, checkpoint)
};

/// What a worker says of itself.
struct watch_result
{
    order_outcome outcome = order_outcome::in_doubt;
    std::int64_t clock_ms = -1;
    std::int64_t started_ms = 0;
    std::vector<running_task> running;
    std::vector<completed_run> completions;
    /// False when the list of ends was cut short.
    bool all_completions = true;
    std::string problem;

    MSGPACK_DEFINE(outcome, clock_ms, started_ms, running, completions,
        all_completions, problem)
};

/// Where and at which life of a worker an order is meant to arrive.
struct worker_target
{
    std::string id;
    std::string address;

    MSGPACK_DEFINE(id, address)
};

/// Calls to workers. Callbacks come exactly once, on the loop's thread. A
/// repeated order has no further effect.
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
