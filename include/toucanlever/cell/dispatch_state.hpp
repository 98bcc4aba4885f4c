/// State shared by the controllers of the active scheduler during one leader
/// term: jobs, workers and dependencies.
#pragma once

#include "toucanlever/cell/advice_broker.hpp"
#include "toucanlever/cell/advice_claims.hpp"
#include "toucanlever/cell/advice_query.hpp"
#include "toucanlever/cell/backlog_forecast.hpp"
#include "toucanlever/cell/completion_journal.hpp"
#include "toucanlever/cell/failure_evidence.hpp"
#include "toucanlever/cell/queue_directory.hpp"
#include "toucanlever/cell/work_registry.hpp"
#include "toucanlever/cell/worker_pool.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace toucanlever
{

/// Dependencies and settings of a dispatcher; all outlive it.
struct dispatcher_dependencies
{
    event_loop& loop;
    record_store& store;
    worker_orders& orders;
    advice_broker& advice;
    queue_directory const& queues;
    /// Table that holds the platform's list of workers.
    std::string worker_table;
    /// Decodes a row of `worker_table`; nothing for rows that describe no
    /// worker.
    std::function<std::optional<worker_entry>(
        std::string const& id, std::string const& value)>
        decode_worker;
    /// False while this leader must not start work.
    std::function<bool()> may_start_work;
    /// How long a leader that cannot reach the store may still start work.
    milliseconds leader_lease_duration{0};
    /// Notified of each transaction that checks the leader's row; each such
    /// transaction may also write the heartbeat.
    leader_heartbeat& heartbeat;
    /// The latest time at which a worker lease may expire.
    std::function<time_point()> lease_limit;
    /// How long an ended job stays in the registry.
    milliseconds ended_job_retention{120000};
    /// Logs each start, stop and completion of a run and each advice answer.
    bool log_decisions = true;
    /// Estimates the backlog of each queue for admission control.
    bool forecasts_backlog = false;
};

/// What the external policy was asked in this leader term.
struct advice_totals
{
    std::uint64_t calls = 0;
    std::uint64_t workers_asked = 0;
    std::uint64_t workers_approved = 0;
    /// Starts that carried a ticket.
    std::uint64_t starts = 0;
};

/// Owned by the dispatcher; outlives its controllers.
struct dispatch_state
{
    dispatcher_dependencies dependencies;
    leader_proof proof;
    /// Called when another scheduler is active and this one has to shut down.
    /// The shutdown happens after the call has returned.
    std::function<void(std::string const& reason)> on_replaced;
    /// Called when a change may let a waiting step start.
    std::function<void()> on_work_changed;
    /// All jobs that were stored before this time have been read.
    std::function<time_point()> jobs_read_until;
    /// False when the workers' capacities were last read so long ago that no
    /// work may be placed by them.
    std::function<bool()> is_worker_list_current;
    work_registry registry;
    worker_pool pool;
    advice_totals advice;
    advice_claims claims;
    /// By queue.
    std::map<std::string, approval_estimate> approvals;
    backlog_forecast forecast{};
    failure_evidence failures{this->registry, this->pool};
};

} // namespace toucanlever
