/// Stand-in for workers: many in one process, each under the path /w/{id}.
///
/// A worker grants control to one scheduler at a time, starts each task id at
/// most once, stops tasks whose lease expires, and records every start and end
/// in a ledger that the invariant checker reads.
#pragma once

#include "role.hpp"

#include "toucanlever/core/resources.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace standin
{

/// One task on a worker.
struct worker_task
{
    std::string id;
    std::string job_id;
    std::string owner;
    std::uint32_t attempt = 0;
    std::uint32_t index = 0;
    toucanlever::resources need;
    std::string state = "running";
    std::string result;
    std::string reason;
    /// Opaque to the worker; returned to the owner in follow answers.
    std::string record;
    /// The owner's version number at the task's last change.
    std::int64_t changed_version = 0;
    std::int64_t lease_until_ms = 0;
    /// 0 for a task that runs until it is stopped.
    std::int64_t ends_at_ms = 0;
    bool fails = false;
    /// Work completed by earlier attempts, and when this attempt started.
    std::int64_t resumed_from_ms = 0;
    std::int64_t started_at_ms = 0;
    /// When the checkpoint is complete and the task stops; 0 for never.
    std::int64_t checkpoint_done_at_ms = 0;
    std::int64_t checkpointed_work_ms = 0;
    /// Empty until the checkpoint is complete.
    std::string checkpoint;
};

/// A follow call (long poll) that waits for changes.
struct pending_follow
{
    std::string owner;
    /// Version in the caller's request; the call is answered as soon as the
    /// worker's version differs.
    std::int64_t version = 0;
    /// The caller knows all changes up to this version; 0 when it knows none,
    /// as after a restart of the worker.
    std::int64_t known_version = 0;
    std::int64_t until_ms = 0;
    exchange_ptr exchange;
};

/// State of one worker.
struct simulated_worker
{
    std::string id;
    /// Random; changes when the worker restarts.
    std::string incarnation;
    toucanlever::resources capacity;
    std::int64_t epoch = 0;
    /// Scheduler that holds the control lease; empty for none.
    std::string holder;
    std::int64_t control_until_ms = 0;
    std::int64_t control_lease_ms = 0;
    std::map<std::string, worker_task> tasks;
    std::set<std::string> refused_tasks;
    std::set<std::string> fenced_owners;
    std::map<std::string, std::int64_t> owner_versions;
    std::vector<pending_follow> pending_follows;
    /// While set, the worker answers no calls; tasks and leases continue.
    bool unreachable = false;
    /// While set, the worker does nothing at all.
    bool frozen = false;
    bool fails_all = false;
    int restarts = 0;
    /// Disables the capacity check, to prove that the checker notices.
    bool capacity_check_disabled = false;
    /// Disables leases, epochs and fencing, for the same purpose.
    bool fencing_disabled = false;
    /// Starts every task from its beginning, for the same purpose.
    bool ignores_checkpoints = false;
};

/// Simulates all workers of one process.
class workers_role final : public toucanlever::http_handler
{
public:
    workers_role(toucanlever::event_loop& loop, std::string const& address,
        std::string const& instances_file);

    void on_request(toucanlever::http_request request,
        std::shared_ptr<toucanlever::http_exchange> exchange) override;

private:
    void tick();
    void end_due_tasks(simulated_worker& worker);
    void set_frozen(simulated_worker& worker, bool frozen);
    void serve(simulated_worker& worker, std::string const& verb,
        json const& body, exchange_ptr const& exchange);
    void acquire(simulated_worker& worker, json const& body,
        exchange_ptr const& exchange);
    void renew(simulated_worker& worker, json const& body,
        exchange_ptr const& exchange);
    void release(simulated_worker& worker, json const& body,
        exchange_ptr const& exchange);
    void start(simulated_worker& worker, json const& body,
        exchange_ptr const& exchange);
    std::string refusal_reason(
        simulated_worker const& worker, json const& body) const;
    void start_task(simulated_worker& worker, json const& body);
    void stop(simulated_worker& worker, json const& body,
        exchange_ptr const& exchange);
    void follow(simulated_worker& worker, json const& body,
        exchange_ptr const& exchange);
    void fence(simulated_worker& worker, json const& body,
        exchange_ptr const& exchange);
    void begin_checkpoint(worker_task& task) const;
    void end_task(simulated_worker& worker, worker_task& task,
        std::string const& state, std::string const& reason);
    void record_ack(simulated_worker const& worker, worker_task const& task);
    void answer_followers(simulated_worker& worker);
    json make_follow_answer(simulated_worker const& worker,
        std::string const& owner, std::int64_t version,
        std::int64_t known_version) const;
    static void mark_changed(simulated_worker& worker, worker_task& task);
    json make_grant(simulated_worker const& worker) const;
    void admin(
        toucanlever::http_request const& request, exchange_ptr const& exchange);
    void restart(simulated_worker& worker);
    void record_event(simulated_worker const& worker, worker_task const& task,
        std::string const& event);

    toucanlever::event_loop& loop;
    std::map<std::string, simulated_worker> workers;
    std::vector<std::pair<simulated_worker*, exchange_ptr>> held_exchanges;
    json ledger = json::array();
    std::int64_t calls = 0;
    toucanlever::http_server server;
};

} // namespace standin
