/// Hands waiting jobs to peers that can start them sooner.
///
/// A job has one owner at any time: its owner row is changed in the very
/// transaction in which the peer records the job. Whoever is in doubt about
/// an offer takes the row itself, which shows who has it.
#pragma once

#include "toucanlever/control/job_controller.hpp"
#include "toucanlever/control/membership_controller.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace toucanlever
{

/// Offers and takes jobs.
class handover_controller
{
public:
    handover_controller(event_loop& loop, std::string incarnation, journal& log,
        job_controller& jobs, placement_controller& placement,
        membership_controller& members);
    ~handover_controller();

    /// Takes what a peer offers; `done` gets the jobs that are durable here.
    void accept_offer(offer_request const& request,
        std::function<void(offer_reply const&)> done);

private:
    void tick();
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
