/// Bodies of the messages between gateways and schedulers. All are msgpack
/// arrays: only append fields, so that different versions can interoperate.
#pragma once

#include "toucanlever/core/job.hpp"
#include "toucanlever/platform/instance.hpp"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace toucanlever
{

/// A worker of another scheduler on which the sender runs batch work.
struct borrowed_worker
{
    std::string worker;
    /// Capacity that preempting all of this work would free.
    resources preemptible;

    MSGPACK_DEFINE(worker, preemptible)
};

/// Asks the owner of batch work on a worker to preempt enough of it, at
/// checkpoints, to free `missing`. Idempotent: a repeated request preempts no
/// more work.
struct capacity_request
{
    std::string worker;
    resources missing;

    MSGPACK_DEFINE(worker, missing)
};

/// State that a scheduler reports in every heartbeat.
struct scheduler_state
{
    std::string incarnation;
    std::string name;
    std::string domain;
    std::string address;
    /// Incarnations whose jobs it is responsible for: its own and those it
    /// fenced.
    std::vector<std::string> serves;
    bool ready = false;
    bool leaving = false;
    std::int64_t config_revision = 0;
    /// Free capacity of all workers it controls.
    resources free;
    /// The greatest free amount of each dimension on any one of its workers.
    resources largest_free;
    std::uint64_t queued = 0;
    std::uint64_t running = 0;
    /// Total capacity of the workers it controls.
    resources capacity;
    /// The maximum of each dimension that preempting batch work for urgent work
    /// could make free on any one of its workers, with what is free already.
    resources preemptible;
    /// Some of the work that it could preempt on workers of other schedulers.
    std::vector<borrowed_worker> borrowed_workers;

    MSGPACK_DEFINE(incarnation, name, domain, address, serves, ready, leaving,
        config_revision, free, largest_free, queued, running, capacity,
        preemptible, borrowed_workers)
};

/// The configuration in force, as sent between processes.
struct config_snapshot
{
    std::int64_t revision = 0;
    std::string change_id;
    std::string author;
    std::string preset;
    std::string yaml;
    /// Instances that operators drain; they receive no new work.
    std::vector<std::string> drained;

    MSGPACK_DEFINE(revision, change_id, author, preset, yaml, drained)
};

/// Asks for a scheduler's state. A scheduler sends its own state with it.
struct state_request
{
    scheduler_state sender;
    std::int64_t config_revision = 0;
    std::uint64_t endpoints_digest = 0;
    /// The requester fetches configurations with `configuration_query`, so
    /// that the reply carries none. False from earlier versions.
    bool fetches_configuration = false;

    MSGPACK_DEFINE(
        sender, config_revision, endpoints_digest, fetches_configuration)
};

/// The state, with the configuration and endpoints that the requester lacks.
struct state_reply
{
    scheduler_state state;
    /// Set when the requester's revision is lower and it does not fetch
    /// configurations itself.
    config_snapshot config;
    std::uint64_t endpoints_digest = 0;
    /// Instances with the role runner or entry; set when the requester's digest
    /// differs.
    std::vector<instance> endpoints;

    MSGPACK_DEFINE(state, config, endpoints_digest, endpoints)
};

/// Submits a job. `key` is the idempotency key and may be empty.
struct submit_request
{
    std::string key;
    std::uint64_t body_hash = 0;
    job_spec spec;

    MSGPACK_DEFINE(key, body_hash, spec)
};

/// The job is accepted and durable, by this submission or an earlier one.
struct submit_reply
{
    std::string job_id;
    /// True when an earlier submission created the job.
    bool duplicate = false;
    /// False while only the worker that runs the job has a record of it.
    bool durable = true;

    MSGPACK_DEFINE(job_id, duplicate, durable)
};

/// Queries or cancels one job. An empty customer has access to all jobs.
struct job_request
{
    std::string job_id;
    std::string customer;
    /// How long a query waits for the job to end; 0 for an immediate reply.
    std::int64_t wait_ms = 0;

    MSGPACK_DEFINE(job_id, customer, wait_ms)
};

/// Status of a key whose request did not run: the key can be claimed again.
constexpr int key_released = -1;

/// A queued job that its owner offers to a peer. `move_version` is the version
/// of the row that records the job's owner.
struct offered_job
{
    std::string id;
    job_spec spec;
    std::uint32_t attempt = 1;
    std::uint32_t failures = 0;
    /// Time since the job was accepted.
    std::int64_t waiting_us = 0;
    std::int64_t move_version = 0;
    /// Placements of this attempt that workers refused.
    std::uint32_t refused_placements = 0;
    std::string checkpoint;

    MSGPACK_DEFINE(id, spec, attempt, failures, waiting_us, move_version,
        refused_placements, checkpoint)
};

/// Offers to transfer the ownership of jobs permanently.
struct offer_request
{
    std::string from;
    std::vector<offered_job> jobs;

    MSGPACK_DEFINE(from, jobs)
};

/// The jobs that the peer has durably taken over.
struct offer_reply
{
    std::vector<std::string> taken;
    /// The incarnation that took the jobs over. Differs from the intended one
    /// when the scheduler at that address has restarted.
    std::string owner;

    MSGPACK_DEFINE(taken, owner)
};

/// Content of the row of an idempotency key.
struct key_record
{
    std::uint64_t body_hash = 0;
    /// Set when the key belongs to a job.
    std::string job_id;
    /// Set when the key belongs to a routed request: who dispatches it, and to
    /// which runner.
    std::string claimant;
    std::string runner;
    /// HTTP status of the recorded answer; 0 before it is recorded, and
    /// `key_released` when the request certainly did not run.
    int status = 0;
    std::string content_type;
    std::string body;

    MSGPACK_DEFINE(
        body_hash, job_id, claimant, runner, status, content_type, body)
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    key_record, body_hash, job_id, claimant, runner, status, content_type, body)

/// Claims a key for one execution of a request, or records its answer.
struct claim_request
{
    std::string customer;
    std::string key;
    key_record record;
    /// Version of the row that the claim created; 0 when unknown.
    std::int64_t version = 0;

    MSGPACK_DEFINE(customer, key, record, version)
};

/// Whether the claim succeeded; otherwise the existing record.
struct claim_reply
{
    bool claimed = false;
    key_record existing;
    /// Version of the claimed row.
    std::int64_t version = 0;

    MSGPACK_DEFINE(claimed, existing, version)
};

/// Requests permits to use one runner. `held` is the number of permits that
/// the gateway has and still needs; `wanted` is the number of additional ones.
struct permit_request
{
    std::string gateway;
    std::string runner;
    std::uint32_t held = 0;
    std::uint32_t wanted = 0;

    MSGPACK_DEFINE(gateway, runner, held, wanted)
};

/// The total number of permits that the gateway now holds. They are valid for
/// `lease_ms` from the time at which the gateway sent its request.
struct permit_reply
{
    std::uint32_t granted = 0;
    std::int64_t lease_ms = 0;

    MSGPACK_DEFINE(granted, lease_ms)
};

/// An operator's query. `what` is the listing: members, workers, jobs, explain
/// or metrics. `argument` is the job id for explain.
struct operator_query
{
    std::string what;
    std::string argument;

    MSGPACK_DEFINE(what, argument)
};

/// The answer as JSON text.
struct operator_reply
{
    std::string json;

    MSGPACK_DEFINE(json)
};

/// Changes the configuration. `base_revision` must be the one in force.
struct config_change
{
    std::string change_id;
    std::string author;
    std::int64_t base_revision = 0;
    /// Empty fields leave the current value unchanged.
    std::string preset;
    std::string yaml;
    std::string drain;
    std::string undrain;

    MSGPACK_DEFINE(
        change_id, author, base_revision, preset, yaml, drain, undrain)
};

} // namespace toucanlever
