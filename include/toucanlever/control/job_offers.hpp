/// The owner's side of handing jobs over: which records are on offer, went to
/// a peer, came back, or arrived from one.
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

/// See the head of this file. `handover_controller` decides what to offer to
/// whom, and who owns a job that is in doubt.
class job_offers
{
public:
    /// `requeue` lets a job of the table wait for a worker here, soon.
    job_offers(event_loop& loop, journal& log, job_table& jobs,
        job_waiters& waiters, placement_controller& placement,
        std::function<void(std::string const& job_id)> requeue);

    /// Takes a waiting job out of the queue while it is offered; nothing when
    /// it does not wait any more.
    std::optional<offered_job> begin_offer(std::string const& id);

    /// The offered job is another incarnation's now. Nothing happens, here
    /// and in `returned`, when the job came back by a succession since.
    void confirm_transfer(offered_job const& offered, std::string const& owner);

    /// It is certain that nobody took it: it waits here again.
    void return_to_queue(offered_job const& offered, std::int64_t move_version);

    /// A job that a peer handed over and that is durable here.
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
