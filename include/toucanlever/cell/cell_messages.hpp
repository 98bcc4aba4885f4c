/// Bodies of the messages between the entry instances of a cell. All are
/// msgpack arrays: fields are only ever appended, so that versions can mix.
#pragma once

#include "toucanlever/cell/work.hpp"
#include "toucanlever/cell/worker_orders.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace toucanlever
{

/// An entry instance tells the active scheduler that it is there.
struct member_hello
{
    std::string name;
    /// Where it answers requests for advice.
    std::string address;

    MSGPACK_DEFINE(name, address)
};

/// The active scheduler's answer: whom it hears, and how long ago the last
/// beat was sent that the store confirmed.
struct member_list
{
    std::vector<member_hello> members;
    std::int64_t heartbeat_age_ms = 0;

    MSGPACK_DEFINE(members, heartbeat_age_ms)
};

/// A job that is in the store by now.
struct work_accepted
{
    work_record record;
    std::int64_t version = 0;

    MSGPACK_DEFINE(record, version)
};

/// Asks an instance that reaches the store to store a job.
struct work_submit
{
    work_record record;
    std::int64_t timeout_ms = 0;

    MSGPACK_DEFINE(record, timeout_ms)
};

/// What became of it: the value of an `accept_outcome`.
struct work_submit_reply
{
    std::uint8_t outcome = 0;

    MSGPACK_DEFINE(outcome)
};

/// A job whose cancellation is in the store by now.
struct work_cancelled
{
    std::string job;

    MSGPACK_DEFINE(job)
};

/// Asks where a job stands.
struct work_query
{
    std::string job;

    MSGPACK_DEFINE(job)
};

/// `known` is false when the active scheduler has not heard of the job;
/// `absent` when it knows that there is none.
struct work_reply
{
    bool known = false;
    work_state state = work_state::queued;
    bool absent = false;

    MSGPACK_DEFINE(known, state, absent)
};

/// Asks how many jobs of a queue have not begun.
struct queue_query
{
    std::string queue;

    MSGPACK_DEFINE(queue)
};

struct queue_reply
{
    std::uint64_t waiting = 0;

    MSGPACK_DEFINE(waiting)
};

/// Asks an instance to ask the external policy, which answers one call at a
/// time for each instance.
struct advice_request
{
    step_id step;
    std::vector<std::string> workers;

    MSGPACK_DEFINE(step, workers)
};

/// Asks an instance to pass an order on to a worker.
struct relayed_start
{
    worker_target worker;
    start_order order;

    MSGPACK_DEFINE(worker, order)
};

struct relayed_stop
{
    worker_target worker;
    stop_order order;

    MSGPACK_DEFINE(worker, order)
};

struct relayed_watch
{
    worker_target worker;
    watch_order order;

    MSGPACK_DEFINE(worker, order)
};

} // namespace toucanlever
