/// Bodies of the messages between gateways and schedulers. All are msgpack
/// arrays: fields are only ever appended, so that versions can mix.
#pragma once

#include "toucanlever/core/job.hpp"
#include "toucanlever/platform/instance.hpp"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace toucanlever
{

/// Batch work of the sender on a worker that another scheduler controls.
struct borrowed_worker
{
    std::string worker;
    /// What stopping all of it would make free.
    resources preemptible;

    MSGPACK_DEFINE(worker, preemptible)
};

/// Asks the owner of batch work on a worker to stop enough of it, at
/// checkpoints, that `missing` becomes free. Repeats stop nothing more.
struct capacity_request
{
    std::string worker;
    resources missing;

    MSGPACK_DEFINE(worker, missing)
};

/// What a scheduler says about itself in every heartbeat.
struct scheduler_state
{
    std::string incarnation;
    std::string name;
    std::string domain;
    std::string address;
    /// Incarnations whose jobs it answers for: its own and those it fenced.
    std::vector<std::string> serves;
    bool ready = false;
    bool leaving = false;
    std::int64_t config_revision = 0;
    /// Free on the workers it controls.
    resources free;
    /// Free on its emptiest worker.
    resources largest_free;
    std::uint64_t queued = 0;
    std::uint64_t running = 0;
    /// Of the workers it controls.
    resources capacity;
    /// What stopping batch work for urgent work could make free on one worker.
    resources preemptible;
    /// What it could stop on workers that others control: some of it.
    std::vector<borrowed_worker> borrowed_workers;

    MSGPACK_DEFINE(incarnation, name, domain, address, serves, ready, leaving,
        config_revision, free, largest_free, queued, running, capacity,
        preemptible, borrowed_workers)
};

/// The configuration in force, as it travels.
struct config_snapshot
{
    std::int64_t revision = 0;
    std::string change_id;
    std::string author;
    std::string preset;
    std::string yaml;
    /// Instances that operators want empty; they get no new work.
    std::vector<std::string> drained;

    MSGPACK_DEFINE(revision, change_id, author, preset, yaml, drained)
};

/// Asks for a scheduler's state; schedulers send their own along.
struct state_request
{
    scheduler_state sender;
    std::int64_t config_revision = 0;
    std::uint64_t endpoints_digest = 0;

    MSGPACK_DEFINE(sender, config_revision, endpoints_digest)
};

/// The state, with what the asker does not have yet.
struct state_reply
{
    scheduler_state state;
    /// Set when the asker's revision is lower.
    config_snapshot config;
    std::uint64_t endpoints_digest = 0;
    /// Set when the asker's digest differs: runners and entries.
    std::vector<instance> endpoints;

    MSGPACK_DEFINE(state, config, endpoints_digest, endpoints)
};

/// Hands a job over. `key` may be empty.
struct submit_request
{
    std::string key;
    std::uint64_t body_hash = 0;
    job_spec spec;

    MSGPACK_DEFINE(key, body_hash, spec)
};

/// The job is accepted and durable, or was by an earlier submission.
struct submit_reply
{
    std::string job_id;
    bool duplicate = false;
    /// False while only the worker that runs it holds the job.
    bool durable = true;

    MSGPACK_DEFINE(job_id, duplicate, durable)
};

/// Asks for one job, or to cancel it. An empty customer may see all jobs.
struct job_request
{
    std::string job_id;
    std::string customer;
    std::int64_t wait_ms = 0;

    MSGPACK_DEFINE(job_id, customer, wait_ms)
};

/// Status of a key whose request did not run and may be claimed anew.
constexpr int key_released = -1;

/// A waiting job that its owner offers to a peer. `move_version` is the
/// version of the job's row that says who owns it.
struct offered_job
{
    std::string id;
    job_spec spec;
    std::uint32_t attempt = 1;
    std::uint32_t failures = 0;
    std::int64_t waiting_us = 0;
    std::int64_t move_version = 0;
    std::uint32_t tries = 0;
    std::string checkpoint;

    MSGPACK_DEFINE(id, spec, attempt, failures, waiting_us, move_version, tries,
        checkpoint)
};

/// Offers jobs for good.
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
    /// The incarnation that took them: another than the one the offer was
    /// meant for when a new one answers at the same address.
    std::string owner;

    MSGPACK_DEFINE(taken, owner)
};

/// What stands in the row of a caller's key.
struct key_record
{
    std::uint64_t body_hash = 0;
    /// Set when the key belongs to a job.
    std::string job_id;
    /// Set when it belongs to a routed request: who dispatches it, and where.
    std::string claimant;
    std::string runner;
    /// The answer's HTTP status once it is recorded, 0 before that, and
    /// `key_given_back` when the claimant provably did not run it.
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
    /// Of the row that the claim made; 0 when the claimant does not know.
    std::int64_t version = 0;

    MSGPACK_DEFINE(customer, key, record, version)
};

/// Whether the key is the claimant's; otherwise what stands there.
struct claim_reply
{
    bool claimed = false;
    key_record existing;
    /// Of the claimed row.
    std::int64_t version = 0;

    MSGPACK_DEFINE(claimed, existing, version)
};

/// Asks for permits to use one runner. `held` is what the gateway holds
/// already and still needs; `wanted` comes on top.
struct permit_request
{
    std::string gateway;
    std::string runner;
    std::uint32_t held = 0;
    std::uint32_t wanted = 0;

    MSGPACK_DEFINE(gateway, runner, held, wanted)
};

/// The number of permits that the gateway now holds, for `lease_ms` counted
/// from when it sent its request.
struct permit_reply
{
    std::uint32_t granted = 0;
    std::int64_t lease_ms = 0;

    MSGPACK_DEFINE(granted, lease_ms)
};

/// An operator's question; `what` names the listing.
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

/// Changes the configuration. The revision must be the one in force.
struct config_change
{
    std::string change_id;
    std::string author;
    std::int64_t base_revision = 0;
    /// Empty fields stay as they are.
    std::string preset;
    std::string yaml;
    std::string drain;
    std::string undrain;

    MSGPACK_DEFINE(
        change_id, author, base_revision, preset, yaml, drain, undrain)
};

} // namespace toucanlever
