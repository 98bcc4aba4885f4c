/// Hands queued jobs over to peers that can start them sooner.
///
/// A job has one owner at any time: the transaction in which the peer records
/// the job also changes its owner row. If the outcome of an offer is unknown,
/// the sender tries to claim the owner row itself; the result shows which
/// scheduler owns the job.
#pragma once

#include "toucanlever/control/job_controller.hpp"
#include "toucanlever/control/membership_controller.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace toucanlever
{

/// Offers jobs to peers and accepts offers of peers.
class handover_controller
{
public:
    handover_controller(event_loop& loop, std::string incarnation, journal& log,
        job_controller& jobs, placement_controller& placement,
        membership_controller& members);
    ~handover_controller();

    /// Accepts the jobs that a peer offers; `done` receives those that were
    /// recorded durably in this scheduler's journal.
    void accept_offer(offer_request const& request,
        std::function<void(offer_reply const&)> done);

private:
    void tick();
    /// Offers each job to a peer that has enough free capacity and queues no
    /// jobs. If no peer does and `unconditionally` is set, which means that
    /// this scheduler has no workers, the least loaded peer is used. Otherwise,
    /// an urgent job is offered to a peer that can preempt work for it.
    void offer_jobs(
        std::vector<queued_job> const& waiting, bool unconditionally);
    bool needs_preemption_by_peer(queued_job const& job) const;
    void send_offer(std::string const& peer, std::vector<offered_job> jobs);
    void on_offer_result(std::string const& peer,
        std::vector<offered_job> const& jobs, rpc_result const& result);
    void reclaim(offered_job const& job);

    event_loop& loop;
    std::string incarnation;
    journal& log;
    job_controller& jobs;
    placement_controller& placement;
    membership_controller& members;
    std::size_t offers_in_flight = 0;
    event_loop::timer_id timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
