/// What the controllers of one term of the active scheduler share: jobs,
/// workers, and the outside that they call.
#pragma once

#include "toucanlever/cell/advice_broker.hpp"
#include "toucanlever/cell/completion_journal.hpp"
#include "toucanlever/cell/queue_directory.hpp"
#include "toucanlever/cell/work_registry.hpp"
#include "toucanlever/cell/worker_pool.hpp"

#include <functional>
#include <optional>
#include <string>

namespace toucanlever
{

/// What a dispatcher works with; all outlive it.
struct dispatcher_dependencies
{
    event_loop& loop;
    record_store& store;
    worker_orders& orders;
    advice_broker& advice;
    queue_directory const& queues;
    /// The platform's list of workers is kept in this table.
    std::string worker_table;
    /// Reads a row of it; nothing for rows that name no worker.
    std::function<std::optional<worker_entry>(
        std::string const& id, std::string const& value)>
        decode_worker;
    /// False while starts are forbidden to this holder.
    std::function<bool()> may_start_work;
    /// How long a holder that lost the store may go on starting work.
    milliseconds leader_lease_duration{0};
    /// Told of each transaction under the holder's row.
    leader_heartbeat& heartbeat;
    /// No lease may reach beyond it.
    std::function<time_point()> lease_limit;
    milliseconds ended_job_retention{120000};
    bool log_decisions = true;
};

/// Belongs to the dispatcher and outlives its controllers.
struct dispatch_state
{
    dispatcher_dependencies dependencies;
    leader_proof proof;
    /// Another scheduler is active: this one is to end. Never ends it from
    /// within the call.
    std::function<void(std::string const& reason)> on_replaced;
    /// Something changed for steps that wait.
    std::function<void()> on_work_changed;
    work_registry registry;
    worker_pool pool;
};

} // namespace toucanlever
