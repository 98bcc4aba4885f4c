#include "toucanlever/control/handover_controller.hpp"

#include "toucanlever/core/ids.hpp"
#include "toucanlever/core/log.hpp"
#include "toucanlever/core/metrics.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

constexpr milliseconds period{100};
// A job that fits nowhere here is offered after this long.
constexpr std::int64_t offer_after_us = 200'000;
constexpr std::size_t jobs_per_round = 200;
constexpr std::size_t jobs_per_offer = 50;
constexpr milliseconds offer_timeout{5000};

resources times(resources const& need, std::uint32_t count)
{
    return {need.cpu_millis * count, need.memory_bytes * count,
        need.accelerators * count};
}

/// Waiting jobs for each unit of capacity, to compare two schedulers.
double load_of(scheduler_state const& state)
{
    return static_cast<double>(state.queued) /
           static_cast<double>(
               std::max<std::int64_t>(1, state.capacity.cpu_millis));
}

} // namespace

handover_controller::handover_controller(event_loop& loop,
    std::string incarnation, journal& log, job_controller& jobs,
    placement_controller& placement, membership_controller& members)
    : loop(loop)
    , incarnation(std::move(incarnation))
    , log(log)
    , jobs(jobs)
    , placement(placement)
    , members(members)
{
    this->timer = loop.every(period, [this] { this->tick(); });
}

handover_controller::~handover_controller()
{
    *this->alive = false;
    this->loop.cancel(this->timer);
}

void handover_controller::tick()
{
    if (this->placement.queued_count() == 0 || this->offers_in_flight > 0 ||
        this->log.is_store_unresponsive())
    {
        return;
    }
    bool no_workers = this->placement.view().size() == 0;
    auto now = this->loop.now().time_since_epoch().count();
    std::int64_t before = no_workers ? now + 1 : now - offer_after_us;
    this->offer_jobs(
        this->placement.queue().waiting(jobs_per_round, before), no_workers);
}

void handover_controller::offer_jobs(
    std::vector<queued_job> const& waiting, bool unconditionally)
{
    std::string own_domain = domain_of_incarnation(this->incarnation);
    auto peers = this->members.live_schedulers("");
    std::erase_if(peers,
        [this](scheduler_state const& state)
        {
            return state.incarnation == this->incarnation ||
                   state.capacity.cpu_millis == 0;
        });
    std::stable_partition(peers.begin(), peers.end(),
        [&own_domain](scheduler_state const& state)
        { return state.domain == own_domain; });
    std::map<std::string, std::vector<offered_job>> batches;
    for (queued_job const& job : waiting)
    {
        scheduler_state* best = nullptr;
        for (scheduler_state& peer : peers)
        {
            bool room = peer.largest_free.fits(job.need) &&
                        peer.free.fits(times(job.need, job.tasks)) &&
                        peer.queued == 0;
            if (room)
            {
                best = &peer;
                break;
            }
            bool lighter = best == nullptr || load_of(peer) < load_of(*best);
            if (unconditionally && lighter)
            {
                best = &peer;
            }
        }
        if (best == nullptr && this->needs_preemption_by_peer(job))
        {
            auto makes_room = std::find_if(peers.begin(), peers.end(),
                [&job](scheduler_state const& peer)
                { return peer.preemptible.fits(job.need); });
            best = makes_room == peers.end() ? nullptr : &*makes_room;
        }
        if (best == nullptr ||
            batches[best->incarnation].size() >= jobs_per_offer)
        {
            continue;
        }
        if (auto offered = this->jobs.offers().begin_offer(job.id))
        {
            best->free -= times(job.need, job.tasks);
            batches[best->incarnation].push_back(std::move(*offered));
        }
    }
    for (auto& entry : batches)
    {
        if (!entry.second.empty())
        {
            this->send_offer(entry.first, std::move(entry.second));
        }
    }
}

/// Urgent work that fits nowhere, when nothing of its own can be stopped here:
/// what fills the workers may belong to schedulers that had them before.
bool handover_controller::needs_preemption_by_peer(queued_job const& job) const
{
    return job.urgent && job.tasks == 1 &&
           !this->placement.queue().awaits_capacity(job.id) &&
           !this->placement.largest_preemptible().fits(job.need);
}

void handover_controller::send_offer(
    std::string const& peer, std::vector<offered_job> offered)
{
    ++this->offers_in_flight;
    log_line("offer").with("peer", peer).with("jobs", offered.size());
    offer_request request{this->incarnation, offered};
    auto still_alive = this->alive;
    this->members.request(peer, message_type::offer_jobs, pack(request),
        offer_timeout,
        [this, still_alive, peer, offered](rpc_result const& result)
        {
            if (*still_alive)
            {
                --this->offers_in_flight;
                this->on_offer_result(peer, offered, result);
            }
        });
}

void handover_controller::on_offer_result(std::string const& peer,
    std::vector<offered_job> const& offered, rpc_result const& result)
{
    offer_reply reply;
    try
    {
        reply = result.as<offer_reply>(message_type::offer_reply, peer);
    }
    catch (error const& problem)
    {
        log_line("offer-in-doubt")
            .with("peer", peer)
            .with("reason", problem.what());
    }
    for (offered_job const& job : offered)
    {
        bool taken = std::find(reply.taken.begin(), reply.taken.end(),
                         job.id) != reply.taken.end();
        if (taken)
        {
            metrics().count("jobs_handed_over");
            this->jobs.offers().confirm_transfer(job, reply.owner);
        }
        else
        {
            this->reclaim(job);
        }
    }
}

void handover_controller::reclaim(offered_job const& job)
{
    key_claim claim;
    claim.row = owner_row(job.id);
    claim.version = job.move_version;
    claim.record.job_id = job.id;
    claim.record.claimant = this->incarnation;
    this->log.claim_key(claim,
        [this, job](append_result const& result)
        {
            bool ours = result.outcome == append_outcome::durable ||
                        result.existing.claimant == this->incarnation;
            if (ours)
            {
                std::int64_t version = result.outcome == append_outcome::durable
                                           ? job.move_version + 1
                                           : result.existing_version;
                this->jobs.offers().return_to_queue(job, version);
                return;
            }
            this->jobs.offers().confirm_transfer(job, result.existing.claimant);
        });
}

void handover_controller::accept_offer(
    offer_request const& request, std::function<void(offer_reply const&)> done)
{
    auto reply = std::make_shared<offer_reply>();
    reply->owner = this->incarnation;
    auto awaited = std::make_shared<std::size_t>(request.jobs.size());
    for (offered_job const& job : request.jobs)
    {
        journal_entry entry;
        entry.event = journal_event::accepted;
        entry.job_id = job.id;
        entry.spec = job.spec;
        entry.attempt = job.attempt;
        entry.checkpoint = job.checkpoint;
        key_claim claim;
        claim.row = owner_row(job.id);
        claim.version = job.move_version;
        claim.record.job_id = job.id;
        claim.record.claimant = this->incarnation;
        // A scheduler that was succeeded while paused may still offer what
        // its successor has taken over.
        claim.previous_owner = request.from;
        this->log.append_with_key(std::move(entry), std::move(claim),
            [this, job, reply, awaited, done](append_result const& result)
            {
                if (result.outcome == append_outcome::durable)
                {
                    this->jobs.offers().receive(job);
                    reply->taken.push_back(job.id);
                }
                if (--*awaited == 0)
                {
                    done(*reply);
                }
            });
    }
}

} // namespace toucanlever
