/// Bodies of the messages that the entry instances of a cell exchange. Each is
/// a msgpack array. Fields are only appended, so that instances of different
/// versions can work together.
#pragma once

#include "toucanlever/cell/work.hpp"
#include "toucanlever/cell/worker_orders.hpp"
#include "toucanlever/wire/configuration_messages.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace toucanlever
{

/// Announces an entry instance to the active scheduler; sent periodically.
struct member_hello
{
    std::string name;
    /// Where the instance accepts requests of the other instances.
    std::string address;
    /// The configuration in force at the instance; 0 when there is none, and in
    /// a `member_list`.
    std::int64_t config_version = 0;
    /// CPU share, in thousandths of a core, of an instance that could become
    /// the active scheduler now; 0 when it could not, and in a `member_list`.
    std::int64_t candidate_cpu_millis = 0;
    /// How long the process has been up; 0 in a `member_list`, and from earlier
    /// versions.
    std::int64_t up_ms = 0;

    MSGPACK_DEFINE(name, address, config_version, candidate_cpu_millis, up_ms)
};

/// How long a new job of a queue would wait for capacity.
struct queue_estimate
{
    std::string queue;
    std::int64_t wait_ms = 0;

    MSGPACK_DEFINE(queue, wait_ms)
};

/// The active scheduler's reply to `member_hello`: the instances that sent a
/// hello recently, the time since it sent the last heartbeat that the store
/// confirmed, the configuration in force there, the time since that was
/// confirmed to be the newest one, and the estimates of its backlog, none where
/// admission control is off.
struct member_list
{
    std::vector<member_hello> members;
    std::int64_t heartbeat_age_ms = 0;
    std::int64_t config_version = 0;
    /// -1 when it is not known.
    std::int64_t config_confirmed_age_ms = -1;
    std::vector<queue_estimate> estimates;

    MSGPACK_DEFINE(members, heartbeat_age_ms, config_version,
        config_confirmed_age_ms, estimates)
};

/// Tells a member that another configuration is in force at the active
/// scheduler.
struct configuration_notice
{
    std::int64_t version = 0;

    MSGPACK_DEFINE(version)
};

/// Announces a job that the store holds.
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

/// The reply to `work_submit`; `outcome` is the value of an `accept_outcome`.
struct work_submit_reply
{
    std::uint8_t outcome = 0;

    MSGPACK_DEFINE(outcome)
};

/// Announces a job whose cancellation the store holds.
struct work_cancelled
{
    std::string job;

    MSGPACK_DEFINE(job)
};

/// Asks for the state of a job. While the job is open, or its end is not
/// durable, the reply may take up to `wait_ms`.
struct work_query
{
    std::string job;
    std::int64_t wait_ms = 0;

    MSGPACK_DEFINE(job, wait_ms)
};

/// The reply to `work_query`. `known` is false when the active scheduler has no
/// record of the job; `absent` is true when it is certain that no such job
/// exists.
struct work_reply
{
    bool known = false;
    work_state state = work_state::queued;
    bool absent = false;

    MSGPACK_DEFINE(known, state, absent)
};

/// Asks how many jobs of a queue have not started.
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

/// Asks an instance to send a placement advice request to the external
/// placement policy. The policy handles one call at a time per instance.
struct advice_request
{
    step_id step;
    std::vector<std::string> workers;

    MSGPACK_DEFINE(step, workers)
};

/// Asks an instance to relay a start order to a worker.
struct relayed_start
{
    worker_target worker;
    start_order order;

    MSGPACK_DEFINE(worker, order)
};

/// Asks an instance to relay a stop order to a worker.
struct relayed_stop
{
    worker_target worker;
    stop_order order;

    MSGPACK_DEFINE(worker, order)
};

/// Asks an instance to relay a poll to a worker.
struct relayed_watch
{
    worker_target worker;
    watch_order order;

    MSGPACK_DEFINE(worker, order)
};

} // namespace toucanlever
