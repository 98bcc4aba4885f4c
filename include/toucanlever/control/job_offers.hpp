/// Job records during a handover: offered to a peer, transferred to it,
/// returned to the queue, or received from a peer.
#pragma once

#include "toucanlever/control/job_table.hpp"
#include "toucanlever/control/job_waiters.hpp"
#include "toucanlever/control/journal.hpp"
#include "toucanlever/control/placement_controller.hpp"
#include "toucanlever/wire/messages.hpp"

#include <functional>
#include <optional>
#include <string>

namespace toucanlever
{

/// Changes the records only: `handover_controller` chooses what to offer to
/// whom, and finds out who owns a job whose transfer is in doubt.
class job_offers
{
public:
    /// `requeue` schedules a job of the table to be queued for placement here.
    job_offers(event_loop& loop, journal& log, job_table& jobs,
        job_waiters& waiters, placement_controller& placement,
        std::function<void(std::string const& job_id)> requeue);

    /// Removes a waiting job from the queue and marks it as offered. Returns
    /// nothing when the job no longer waits or may not be handed over.
    std::optional<offered_job> begin_offer(std::string const& id);

    /// Records that incarnation `owner` now owns the offered job. Like
    /// `return_to_queue`, does nothing when the job has meanwhile come back
    /// through a succession.
    void confirm_transfer(offered_job const& offered, std::string const& owner);

    /// Queues the job here again. To be called only when it is certain that no
    /// peer accepted it.
    /// `move_version` is the current version of the job's owner row.
    void return_to_queue(offered_job const& offered, std::int64_t move_version);

    /// Adds a job that a peer handed over and whose transfer is durable.
    void receive(offered_job const& offered);

private:
    job_record* find_offered(offered_job const& offered);

    event_loop& loop;
    journal& log;
    job_table& jobs;
    job_waiters& waiters;
    placement_controller& placement;
    std::function<void(std::string const&)> requeue;
};

} // namespace toucanlever
