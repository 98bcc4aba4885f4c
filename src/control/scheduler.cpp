#include "toucanlever/control/scheduler.hpp"

#include "toucanlever/core/ids.hpp"
#include "toucanlever/core/log.hpp"
#include "toucanlever/core/metrics.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

constexpr milliseconds insert_retry_delay{500};
// Shorter than the retention of fence rows, so that a retry cannot insert a
// row again that was fenced and deleted in the meantime.
constexpr std::chrono::minutes insert_timeout{10};
constexpr milliseconds min_write_interval{10};
constexpr milliseconds flush_poll_period{50};
// A shutdown waits at most 5 s for the journal to become idle.
constexpr int max_flush_polls = 100;
// Version of a fence row that was inserted and never changed.
constexpr std::int64_t fence_version = 1;

error unavailable(std::string const& message, std::string const& step)
{
    return error(error_code::unavailable, message, step);
}

rpc_timing timing_of(scheduler_settings const& settings)
{
    rpc_timing timing;
    timing.heartbeat = settings.leases.heartbeat;
    return timing;
}

} // namespace

scheduler::scheduler(event_loop& loop, scheduler_settings const& settings,
    scheduler_platform platform, std::function<void()> on_fenced)
    : loop(loop)
    , settings(settings)
    , platform(platform)
    , on_fenced(std::move(on_fenced))
    , incarnation(make_incarnation(settings.domain, settings.name))
    , began_at(loop.now())
    , configuration(loop, platform.table)
    , configuration_fetch(
          loop, [this] { return this->configuration.snapshot().revision; },
          [this](std::string const& packed, std::string const& origin)
          {
              this->configuration.adopt_if_newer(
                  unpack<config_snapshot>(packed, origin));
          })
    , members(
          loop, settings, platform.instances,
          [this] { return this->make_state_request(); },
          [this](state_reply const& reply, rpc_client& peer)
          { this->handle_heartbeat_reply(reply, peer); })
    , workers(loop, platform.workers, settings.leases, this->incarnation)
    , placement(loop, this->health, this->configuration, settings.log_decisions)
    , permits(loop.time_source(), this->incarnation,
          settings.leases.peer_timeout, settings.leases.lease_margin)
    , listing(this->configuration, this->placement, this->workers, this->health,
          this->jobs)
{
    this->log =
        std::make_unique<journal>(loop, platform.table, this->incarnation,
            fence_version, journal_tuning{}, [this] { this->report_fenced(); });
    this->jobs =
        std::make_unique<job_controller>(loop, this->incarnation, *this->log,
            this->workers, this->health, this->placement, this->configuration,
            job_limits{settings.max_attempts, settings.max_queued_jobs,
                settings.keep_ended});
    this->compactor = std::make_unique<journal_compactor>(
        loop, *this->log, this->jobs->records());
    this->workers.set_events(*this->jobs);
    this->recovery = std::make_unique<recovery_controller>(loop, settings,
        this->incarnation, platform.table, *this->log, this->members,
        this->workers, *this->jobs, [this] { this->report_fenced(); });
    this->configuration.on_change(
        [this]
        {
            this->placement.reconfigure();
            this->members.set_drained(this->configuration.snapshot().drained);
        });
    this->placement.set_peer_preemptible([this] { return this->lenders(); },
        [this](std::string const& owner, capacity_request const& request)
        { this->request_capacity(owner, request); });
    this->members.on_instances([this] { this->refresh_capacities(); });
    this->server = std::make_unique<rpc_server>(
        loop, settings.address, *this, timing_of(settings));
    this->tick_timer =
        loop.every(settings.leases.heartbeat / 2, [this] { this->tick(); });
    this->insert_fence_row();
}

scheduler::~scheduler()
{
    *this->alive = false;
    this->loop.cancel(this->tick_timer);
}

void scheduler::tick()
{
    this->permits.tick();
    this->placement.refresh_preemptible();
    auto writers = static_cast<std::int64_t>(
        std::max<std::size_t>(1, this->members.live_schedulers("").size()));
    // The schedulers share the write limit equally.
    milliseconds interval(1000 * writers / this->settings.store_writes_per_s);
    this->log->set_min_batch_interval(std::max(interval, min_write_interval));
}

std::vector<peer_preemptible> scheduler::lenders() const
{
    std::vector<peer_preemptible> found;
    for (scheduler_state const& peer : this->members.live_schedulers(""))
    {
        for (borrowed_worker const& lent : peer.borrowed_workers)
        {
            if (peer.incarnation != this->incarnation)
            {
                found.push_back({peer.incarnation, lent});
            }
        }
    }
    return found;
}

void scheduler::request_capacity(
    std::string const& owner, capacity_request const& request)
{
    this->members.request(owner, message_type::capacity_request, pack(request),
        this->settings.leases.peer_timeout,
        [owner, worker = request.worker](rpc_result const& result)
        {
            // No retry: the reservation of the worker expires, then the job
            // can request capacity on another worker.
            if (result.problem)
            {
                log_line("room-request-failed")
                    .with("owner", owner)
                    .with("worker", worker)
                    .with("reason", result.problem->what());
            }
        });
}

/// Runs the callback once: both the journal and the scan of fence rows may
/// detect that this incarnation is fenced.
void scheduler::report_fenced()
{
    if (!this->is_fenced)
    {
        this->is_fenced = true;
        this->on_fenced();
    }
}

void scheduler::insert_fence_row()
{
    fence_record record;
    record.state = "active";
    record.address = this->settings.address;
    std::string row = journal::fence_row(this->incarnation);
    transaction work;
    work.checks.push_back({row, 0});
    work.writes.push_back({row, nlohmann::json(record).dump()});
    auto still_alive = this->alive;
    this->platform.table.commit(work,
        [this, still_alive](commit_result const& result)
        {
            if (*still_alive)
            {
                this->on_fence_row_inserted(result);
            }
        });
}

void scheduler::on_fence_row_inserted(commit_result const& result)
{
    // A conflict counts as success: the incarnation name is random, so an
    // existing row was inserted by an earlier attempt of this incarnation whose
    // reply was lost.
    if (result.outcome == commit_outcome::in_doubt)
    {
        if (this->loop.now() - this->began_at > insert_timeout)
        {
            // Another scheduler may have fenced this incarnation and deleted
            // its fence row since.
            this->report_fenced();
            return;
        }
        auto still_alive = this->alive;
        this->loop.after(insert_retry_delay,
            [this, still_alive]
            {
                if (*still_alive)
                {
                    this->insert_fence_row();
                }
            });
        return;
    }
    this->inserted = true;
    log_line("scheduler-active").with("incarnation", this->incarnation);
    this->ownership = std::make_unique<ownership_controller>(this->loop,
        this->settings, this->incarnation, this->members, this->workers);
    this->handover =
        std::make_unique<handover_controller>(this->loop, this->incarnation,
            *this->log, *this->jobs, this->placement, this->members);
    this->recovery->begin();
}

bool scheduler::is_ready() const
{
    return this->inserted && this->configuration.is_loaded();
}

void scheduler::require_ready(std::string const& step) const
{
    if (!this->is_ready() || this->shutting_down)
    {
        throw unavailable(this->shutting_down ? "the scheduler is shutting down"
                                              : "the scheduler is starting",
            step);
    }
}

scheduler_state scheduler::state() const
{
    scheduler_state own;
    own.incarnation = this->incarnation;
    own.name = this->settings.name;
    own.domain = this->settings.domain;
    own.address = this->settings.address;
    own.ready = this->is_ready();
    own.leaving = this->shutting_down;
    own.config_revision = this->configuration.snapshot().revision;
    own.serves = this->recovery ? this->recovery->served_incarnations()
                                : std::vector<std::string>{this->incarnation};
    own.free = this->placement.view().total_free();
    own.capacity = this->placement.view().total_capacity();
    own.largest_free = this->placement.view().largest_free();
    own.preemptible = this->placement.largest_preemptible();
    own.borrowed_workers = this->placement.capacity_elsewhere();
    own.queued = this->placement.queued_count();
    own.running = this->jobs ? this->jobs->records().open_count() : 0;
    return own;
}

state_request scheduler::make_state_request() const
{
    state_request request;
    request.sender = this->state();
    request.config_revision = this->configuration.snapshot().revision;
    request.endpoints_digest = this->members.endpoints_digest();
    request.fetches_configuration = true;
    return request;
}

void scheduler::handle_heartbeat_reply(
    state_reply const& reply, rpc_client& peer)
{
    // Set by schedulers of earlier versions.
    this->configuration.adopt_if_newer(reply.config);
    if (reply.state.config_revision > this->configuration.snapshot().revision)
    {
        this->configuration_fetch.request_from(peer);
    }
}

void scheduler::refresh_capacities()
{
    std::vector<resources> capacities;
    for (instance const& each : this->members.instances())
    {
        bool is_new = each.role == instance_role::worker &&
                      std::find(capacities.begin(), capacities.end(),
                          each.capacity) == capacities.end();
        if (is_new)
        {
            capacities.push_back(each.capacity);
        }
    }
    this->jobs->set_capacities(std::move(capacities));
}

void scheduler::on_request(
    frame const& request, std::string const& peer, rpc_responder respond)
{
    metrics().count("messages_received");
    metrics().count("message_bytes_received",
        static_cast<std::int64_t>(request.body.size()));
    switch (request.type)
    {
    case message_type::state_request:
        this->on_state(unpack<state_request>(request.body, peer), respond);
        return;
    case message_type::configuration_query:
        respond(message_type::configuration_reply,
            pack(cut_piece(unpack<configuration_query>(request.body, peer),
                this->configuration.snapshot().revision,
                this->configuration.packed_snapshot())));
        return;
    case message_type::submit:
        this->on_submit(request, peer, respond);
        return;
    case message_type::job_query:
    case message_type::job_cancel:
        this->on_query(request, peer, respond);
        return;
    case message_type::claim:
        this->on_claim(unpack<claim_request>(request.body, peer), respond);
        return;
    case message_type::claim_result:
        this->on_claim_result(
            unpack<claim_request>(request.body, peer), respond);
        return;
    case message_type::offer_jobs:
        this->on_offer(unpack<offer_request>(request.body, peer), respond);
        return;
    case message_type::capacity_request:
        this->placement.handle_capacity_request(
            unpack<capacity_request>(request.body, peer));
        respond(message_type::ack, pack(operator_reply{}));
        return;
    case message_type::permit_request:
        this->on_permit(unpack<permit_request>(request.body, peer), respond);
        return;
    case message_type::operator_query:
        this->on_operator(unpack<operator_query>(request.body, peer), respond);
        return;
    case message_type::config_change:
        this->on_config(unpack<config_change>(request.body, peer), respond);
        return;
    default:
        throw error(error_code::bad_request,
            "unexpected message " + std::string(name_of(request.type)),
            "handle-message", peer);
    }
}

void scheduler::on_state(
    state_request const& request, rpc_responder const& respond)
{
    this->members.record_heartbeat(request.sender);
    state_reply reply;
    reply.state = this->state();
    if (!request.fetches_configuration &&
        request.config_revision < this->configuration.snapshot().revision)
    {
        reply.config = this->configuration.snapshot();
    }
    reply.endpoints_digest = this->members.endpoints_digest();
    bool from_gateway = request.sender.incarnation.empty();
    if (from_gateway && request.endpoints_digest != reply.endpoints_digest)
    {
        reply.endpoints = this->members.endpoints();
    }
    respond(message_type::state_reply, pack(reply));
}

void scheduler::on_submit(
    frame const& request, std::string const& peer, rpc_responder const& respond)
{
    auto submit = unpack<submit_request>(request.body, peer);
    this->require_ready("accept-job");
    auto answer = [respond](std::optional<error> const& problem,
                      submit_reply const& reply)
    {
        if (problem)
        {
            respond(message_type::reply_error, pack_error(*problem));
            return;
        }
        respond(message_type::submit_reply, pack(reply));
    };
    if (!this->log->is_store_unresponsive())
    {
        this->jobs->accept(submit, answer);
        return;
    }
    // Without the table service it is unknown whether the key is in use.
    if (!submit.key.empty())
    {
        throw unavailable("the table service does not answer, so the "
                          "idempotency key cannot be claimed; retry later",
            "accept-job");
    }
    this->jobs->accept_attached(submit, answer);
}

void scheduler::on_query(
    frame const& request, std::string const& peer, rpc_responder const& respond)
{
    auto query = unpack<job_request>(request.body, peer);
    auto answer = [respond](
                      std::optional<error> const& problem, job_view const& view)
    {
        if (problem)
        {
            respond(message_type::reply_error, pack_error(*problem));
            return;
        }
        respond(message_type::job_reply, pack(view));
    };
    if (request.type == message_type::job_cancel)
    {
        this->jobs->cancel(query, answer);
        return;
    }
    this->jobs->query(query, answer);
}

void scheduler::on_claim(
    claim_request const& request, rpc_responder const& respond)
{
    this->require_ready("claim-key");
    if (this->log->is_store_unresponsive())
    {
        throw unavailable("the table service does not answer, so the "
                          "idempotency key cannot be claimed; retry later",
            "claim-key");
    }
    key_claim claim;
    claim.row = key_row(request.customer, request.key);
    claim.record = request.record;
    auto reply = [respond, claim](
                     key_claim const& tried, append_result const& result)
    {
        bool durable = result.outcome == append_outcome::durable;
        // If the reply to this claim was lost, the row already names its
        // claimant.
        bool ours = result.existing.claimant == claim.record.claimant &&
                    result.existing.status == 0;
        claim_reply out;
        out.claimed = durable || ours;
        out.existing = result.existing;
        out.version = durable ? tried.version + 1 : result.existing_version;
        respond(message_type::claim_reply, pack(out));
    };
    this->log->claim_key(claim,
        [this, claim, reply](append_result const& result)
        {
            key_record const& existing = result.existing;
            // The earlier claimant did not run the request, and the body is the
            // same: another claimant may run it.
            bool given_back = result.outcome == append_outcome::duplicate &&
                              existing.status == key_released &&
                              existing.body_hash == claim.record.body_hash &&
                              existing.claimant != claim.record.claimant;
            if (!given_back)
            {
                reply(claim, result);
                return;
            }
            key_claim again = claim;
            again.version = result.existing_version;
            this->log->claim_key(again,
                [reply, again](append_result const& last)
                { reply(again, last); });
        });
}

void scheduler::on_claim_result(
    claim_request const& request, rpc_responder const& respond)
{
    key_claim claim;
    claim.row = key_row(request.customer, request.key);
    claim.record = request.record;
    claim.version = request.version;
    auto ack = [respond]
    { respond(message_type::ack, pack(operator_reply{})); };
    this->log->claim_key(claim,
        [this, claim, ack](append_result const& result)
        {
            key_record const& existing = result.existing;
            // The claimant does not know the row's version if the reply to its
            // claim was lost.
            bool still_ours = result.outcome == append_outcome::duplicate &&
                              existing.claimant == claim.record.claimant &&
                              existing.status == 0;
            if (!still_ours)
            {
                ack();
                return;
            }
            key_claim again = claim;
            again.version = result.existing_version;
            this->log->claim_key(again, [ack](append_result const&) { ack(); });
        });
}

void scheduler::on_offer(
    offer_request const& request, rpc_responder const& respond)
{
    this->require_ready("take-jobs");
    this->handover->accept_offer(request, [respond](offer_reply const& reply)
        { respond(message_type::offer_reply, pack(reply)); });
}

void scheduler::on_permit(
    permit_request const& request, rpc_responder const& respond)
{
    auto const& endpoints = this->members.endpoints();
    auto runner = std::find_if(endpoints.begin(), endpoints.end(),
        [&request](instance const& each) {
            return each.role == instance_role::runner &&
                   each.id == request.runner;
        });
    if (runner == endpoints.end())
    {
        throw error(error_code::not_found, "no such runner", "grant-permits");
    }
    std::string grantor = permit_grantor(
        request.runner, this->members.live_schedulers(runner->domain));
    std::uint32_t slots = runner->leaving ? 0 : runner->slots;
    service_config const& service = this->configuration.config().find_service(
        runner->service, "grant-permits");
    auto lease = milliseconds(service.timeout_ms) + permit_lease_margin;
    respond(message_type::permit_reply,
        pack(this->permits.grant(request, grantor, slots, lease)));
}

void scheduler::on_config(
    config_change const& change, rpc_responder const& respond)
{
    this->configuration.change(change,
        [respond](std::optional<error> const& problem,
            config_snapshot const& snapshot)
        {
            if (problem)
            {
                respond(message_type::reply_error, pack_error(*problem));
                return;
            }
            nlohmann::json json{{"revision", snapshot.revision},
                {"preset", snapshot.preset}, {"author", snapshot.author}};
            respond(message_type::operator_reply,
                pack(operator_reply{json.dump()}));
        });
}

void scheduler::on_operator(
    operator_query const& query, rpc_responder const& respond)
{
    operator_reply reply;
    reply.json = this->listing.answer(query, this->state());
    respond(message_type::operator_reply, pack(reply));
}

void scheduler::shut_down(std::function<void()> done)
{
    this->shutting_down = true;
    this->recovery->stop();
    log_line("scheduler-leaving").with("incarnation", this->incarnation);
    if (!this->inserted)
    {
        done();
        return;
    }
    this->ownership->release_all_workers();
    this->finish_shutdown(std::move(done), 0);
}

void scheduler::finish_shutdown(std::function<void()> done, int polls)
{
    auto still_alive = this->alive;
    if (!this->log->is_idle() && polls < max_flush_polls)
    {
        this->loop.after(flush_poll_period,
            [this, still_alive, done, polls]
            {
                if (*still_alive)
                {
                    this->finish_shutdown(done, polls + 1);
                }
            });
        return;
    }
    fence_record record;
    record.state = "released";
    record.address = this->settings.address;
    transaction work;
    std::string row = journal::fence_row(this->incarnation);
    work.checks.push_back({row, fence_version});
    work.writes.push_back({row, nlohmann::json(record).dump()});
    this->platform.table.commit(work, [done](commit_result const&) { done(); });
}

} // namespace toucanlever
