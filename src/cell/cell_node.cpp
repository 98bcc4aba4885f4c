#include "toucanlever/cell/cell_node.hpp"

#include "cell/cell_tables.hpp"

#include "toucanlever/core/ids.hpp"
#include "toucanlever/core/log.hpp"
#include "toucanlever/core/metrics.hpp"
#include "toucanlever/wire/codec.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

/// Also the time limit of a hello.
constexpr milliseconds hello_period{500};
/// For a query to the active scheduler; the store is queried when it fails.
constexpr milliseconds query_timeout{600};
/// Minimum time between two lookups in the store: each costs as many calls as
/// there are instances, and the rate of calls to the store is limited.
constexpr milliseconds store_lookup_interval{500};
constexpr milliseconds announce_timeout{1000};
/// After this long without a reply of the leader, or without a confirmed
/// heartbeat of it, the leader is treated as unable to accept jobs. Three hello
/// periods, or five heartbeat periods.
constexpr milliseconds leader_unresponsive_after{1500};
/// Long enough for a store that is 100 times as slow as the usual 10 ms.
constexpr milliseconds cancel_commit_timeout{2000};
constexpr double millis_per_core = 1000.0;

} // namespace

cell_node::cell_node(
    cell_node_dependencies collaborators, cell_settings const& settings)
    : dependencies(std::move(collaborators))
    , settings(settings)
    , created_at(this->dependencies.loop.now())
    , exchange(this->dependencies.loop, this->dependencies.configuration)
    , acceptor(this->dependencies.loop, this->dependencies.store, settings.name)
    , cancellations(this->dependencies.loop,
          [this](std::string const& job, std::function<void(bool)> done)
          { this->send_cancellation(job, std::move(done)); })
    , relay(this->dependencies.loop, this->dependencies.orders)
{
    event_loop& loop = this->dependencies.loop;
    this->server = std::make_unique<rpc_server>(loop, settings.peer_address,
        static_cast<rpc_handler&>(*this), rpc_timing{});
    leader_row self{settings.name,
        make_incarnation(settings.failure_domain, settings.name),
        settings.peer_address, 0, false};
    this->election =
        std::make_unique<leadership>(loop, this->dependencies.store, self,
            settings.cpu_share, static_cast<leadership_listener&>(*this));
    this->hello_timer = loop.every(hello_period,
        [this]
        {
            this->send_hello();
            this->cancellations.resend();
        });
    this->discovery = std::make_unique<leader_discovery>(
        loop, settings.name, [this] { return this->needs_leader(); },
        [this](leader_row const& row)
        { this->election->note_known_leader(row); });
    this->dependencies.configuration.on_adopted(
        [this] { this->announce_configuration(); });
}

cell_node::~cell_node()
{
    *this->alive = false;
    this->dependencies.configuration.on_adopted(nullptr);
    this->dependencies.loop.cancel(this->hello_timer);
}

// ---------------------------------------------------------------------------
// The election

void cell_node::on_elected(leader_proof const& proof)
{
    this->close_leader_link();
    event_loop& loop = this->dependencies.loop;
    this->members = std::make_unique<member_links>(loop, this->settings.name);
    this->broker = std::make_unique<advice_broker>(
        loop, this->dependencies.advice, *this->members);
    this->orders = std::make_unique<relayed_orders>(
        loop, this->dependencies.orders, *this->members);
    dispatcher_dependencies scheduling{loop, this->dependencies.store,
        *this->orders, *this->broker, this->dependencies.configuration.queues(),
        this->dependencies.worker_table, this->dependencies.decode_worker,
        [this] { return this->election->may_start_work(); },
        leadership::leader_lease_duration, *this->election,
        [this] { return this->election->lease_limit(); },
        this->settings.keep_ended, this->settings.log_decisions,
        this->settings.admission_control};
    this->scheduler = std::make_unique<dispatcher>(std::move(scheduling), proof,
        [this](std::string const& reason)
        {
            // Posted, because stepping down destroys the dispatcher, which is
            // the caller here.
            this->dependencies.loop.post(
                [this, reason, alive = this->alive]
                {
                    if (*alive)
                    {
                        this->election->step_down(reason);
                    }
                });
        });
}

void cell_node::close_leader_link()
{
    if (std::unique_ptr<rpc_client> const closing =
            std::move(this->leader_client))
    {
        closing->close();
    }
}

void cell_node::on_deposed(std::string const&)
{
    this->discovery->add_members(this->members->list());
    // The answers need the whole dispatcher.
    this->scheduler->answer_waiting_queries();
    this->scheduler.reset();
    this->orders.reset();
    this->broker.reset();
    this->members.reset();
}

void cell_node::on_leader(std::optional<leader_row> const& found)
{
    this->leader_replied_at.reset();
    this->close_leader_link();
    bool usable = found && !found->released &&
                  found->address != this->settings.peer_address;
    if (!usable)
    {
        return;
    }
    log_line("leader")
        .with("name", found->name)
        .with("address", found->address)
        .with("fence", found->fencing_token);
    this->leader_client = std::make_unique<rpc_client>(
        this->dependencies.loop, found->address, rpc_timing{});
    this->send_hello();
}

void cell_node::send_hello()
{
    if (this->scheduler)
    {
        this->discovery->add_members(this->members->list());
        return;
    }
    if (!this->leader_client || !this->leader_client->connected())
    {
        this->leader_replied_at.reset();
        return;
    }
    member_hello message{this->settings.name, this->settings.peer_address,
        this->exchange.version()};
    message.candidate_cpu_millis =
        this->election->can_be_elected()
            ? static_cast<std::int64_t>(
                  this->settings.cpu_share * millis_per_core)
            : 0;
    message.up_ms = std::chrono::duration_cast<milliseconds>(
        this->dependencies.loop.now() - this->created_at)
                        .count();
    this->leader_client->request(message_type::member_hello, pack(message),
        hello_period,
        [this, sent_at = this->dependencies.loop.now(), alive = this->alive](
            rpc_result const& result)
        {
            if (*alive)
            {
                this->handle_member_list(result, sent_at);
            }
        });
}

void cell_node::handle_hello(member_hello const& hello)
{
    this->members->handle_hello(hello);
    if (rpc_client* member = this->members->find(hello.name))
    {
        this->exchange.handle_peer_version(hello.config_version, *member);
    }
    // Posted, because handing over the term destroys the links to the members,
    // one of which is being answered.
    this->dependencies.loop.post(
        [this, name = hello.name,
            cpu_share = static_cast<double>(hello.candidate_cpu_millis) /
                        millis_per_core,
            alive = this->alive]
        {
            if (*alive)
            {
                this->election->note_candidate(name, cpu_share);
            }
        });
}

void cell_node::announce_configuration()
{
    if (!this->members)
    {
        // Sent before any job that is accepted under the new configuration.
        this->send_hello();
        return;
    }
    std::string notice = pack(configuration_notice{this->exchange.version()});
    for (member_hello const& each : this->members->list())
    {
        if (rpc_client* member = this->members->find(each.name))
        {
            // A member that misses it learns the version by its next hello.
            member->request(message_type::configuration_notice, notice,
                announce_timeout, [](rpc_result const&) {});
        }
    }
}

void cell_node::handle_member_list(rpc_result const& result, time_point sent_at)
{
    this->leader_replied_at.reset();
    try
    {
        auto answer =
            result.as<member_list>(message_type::member_list, "leader");
        this->leader_replied_at = this->dependencies.loop.now();
        this->leader_heartbeat_age = milliseconds(answer.heartbeat_age_ms);
        this->discovery->add_members(answer.members);
        this->exchange.handle_confirmation(
            answer.config_version, answer.config_confirmed_age_ms, sent_at);
        this->admission.set_estimates(answer.estimates, sent_at);
        if (this->leader_client)
        {
            this->exchange.handle_peer_version(
                answer.config_version, *this->leader_client);
        }
    }
    catch (error const& problem)
    {
        log_line("hello-not-answered")
            .with("step", problem.step)
            .with("problem", problem.what());
    }
}

bool cell_node::needs_leader() const
{
    if (this->scheduler)
    {
        return this->election->heartbeat_age() > leader_unresponsive_after;
    }
    // An instance that can read the store learns of the leader there.
    return !this->scheduler && !this->leader_replied_at &&
           (this->acceptor.is_store_unavailable() ||
               !this->dependencies.configuration.is_confirmed());
}

bool cell_node::can_accept()
{
    if (!this->acceptor.is_store_unavailable())
    {
        return true;
    }
    this->acceptor.probe();
    return !this->scheduler && this->leader_replied_at &&
           this->dependencies.loop.now() - *this->leader_replied_at <
               leader_unresponsive_after &&
           this->leader_heartbeat_age < leader_unresponsive_after;
}

void cell_node::shut_down(std::function<void()> done)
{
    this->relay.begin_shutdown();
    this->election->resign(std::move(done));
}

// ---------------------------------------------------------------------------
// Callers

admission_decision cell_node::admit(work_record const& record)
{
    if (!this->settings.admission_control)
    {
        return {};
    }
    if (this->scheduler)
    {
        backlog_forecast const& forecast = this->scheduler->forecast();
        this->admission.set_estimates(
            forecast.estimates(), forecast.updated_at_time());
    }
    // A job that may be stored must not be reported as rejected.
    return this->admission.decide(record, this->acceptor.is_in_doubt(record.id),
        this->dependencies.loop.now());
}

void cell_node::submit(work_record record, milliseconds timeout,
    std::function<void(accept_result)> done)
{
    if (this->acceptor.is_store_unavailable())
    {
        this->acceptor.probe();
        this->forward_submission(record, timeout, std::move(done));
        return;
    }
    time_point deadline = this->dependencies.loop.now() + timeout;
    this->acceptor.accept(record, timeout,
        [this, record, deadline, done = std::move(done), alive = this->alive](
            accept_result const& result)
        {
            if (!*alive)
            {
                return;
            }
            if (result.outcome == accept_outcome::not_stored)
            {
                auto remaining = std::chrono::duration_cast<milliseconds>(
                    deadline - this->dependencies.loop.now());
                this->forward_submission(record, remaining, done);
                return;
            }
            if (result.version > 0)
            {
                this->announce_job(record, result.version);
            }
            done(result);
        });
}

void cell_node::forward_submission(work_record const& record,
    milliseconds timeout, std::function<void(accept_result)> done)
{
    bool can_forward = !this->scheduler && this->leader_client &&
                       this->leader_client->connected() &&
                       timeout > milliseconds(0);
    bool in_doubt = this->acceptor.is_in_doubt(record.id);
    if (!can_forward)
    {
        done({in_doubt ? accept_outcome::unknown : accept_outcome::not_stored,
            0});
        return;
    }
    metrics().count("jobs_forwarded");
    this->leader_client->request(message_type::work_submit,
        pack(work_submit{record, timeout.count()}), timeout,
        [this, job = record.id, done = std::move(done), in_doubt,
            alive = this->alive](rpc_result const& result)
        {
            accept_result accepted;
            bool answered =
                !result.problem && result.reply &&
                result.reply->type == message_type::work_submit_reply;
            if (answered)
            {
                auto reply =
                    unpack<work_submit_reply>(result.reply->body, "leader");
                accepted.outcome = static_cast<accept_outcome>(reply.outcome);
            }
            else if (result.problem && result.problem->ran == run_state::no)
            {
                accepted.outcome = accept_outcome::not_stored;
            }
            if (in_doubt && accepted.outcome == accept_outcome::not_stored)
            {
                accepted.outcome = accept_outcome::unknown;
            }
            if (*alive && accepted.outcome == accept_outcome::unknown)
            {
                this->acceptor.remember_in_doubt(job);
            }
            done(accepted);
        });
}

void cell_node::announce_job(work_record const& record, std::int64_t version)
{
    if (this->scheduler)
    {
        this->scheduler->accept(record, version);
    }
    else if (this->leader_client && this->leader_client->connected())
    {
        // If this message is lost, the scheduler reads the job from the store.
        this->leader_client->request(message_type::work_accepted,
            pack(work_accepted{record, version}), announce_timeout,
            [](rpc_result const&) {});
    }
}

void cell_node::look_up(std::string const& job,
    std::function<void(lookup_result)> done, milliseconds wait)
{
    this->query_leader(job, wait, done,
        [this, job, done] { this->look_up_rate_limited(job, done); });
}

void cell_node::query_leader(std::string const& job, milliseconds wait,
    std::function<void(lookup_result)> done, std::function<void()> on_no_leader)
{
    if (this->scheduler)
    {
        this->scheduler->look_up(job, wait, std::move(done));
        return;
    }
    if (!this->leader_client || !this->leader_client->connected())
    {
        on_no_leader();
        return;
    }
    this->leader_client->request(message_type::work_query,
        pack(work_query{job, wait.count()}), query_timeout + wait,
        [done = std::move(done)](rpc_result const& result)
        {
            auto found = lookup_result::unavailable(
                lookup_problem::leader_not_answering);
            if (!result.problem && result.reply &&
                result.reply->type == message_type::work_reply)
            {
                auto reply = unpack<work_reply>(result.reply->body, "leader");
                found.state = reply.state;
                found.problem = lookup_problem::leader_outdated;
                found.outcome = reply.known    ? lookup_outcome::found
                                : reply.absent ? lookup_outcome::no_such_job
                                               : lookup_outcome::unavailable;
            }
            done(found);
        });
}

void cell_node::look_up_rate_limited(
    std::string const& job, std::function<void(lookup_result)> done)
{
    time_point now = this->dependencies.loop.now();
    if (now < this->next_store_lookup_at)
    {
        done(lookup_result::unavailable(lookup_problem::no_leader));
        return;
    }
    this->next_store_lookup_at = now + store_lookup_interval;
    this->look_up_in_store(job, std::move(done));
}

void cell_node::look_up_in_store(
    std::string const& job, std::function<void(lookup_result)> done)
{
    this->dependencies.store.parts(tables::jobs,
        [this, job, done = std::move(done), alive = this->alive](
            std::optional<std::vector<std::string>> const& parts)
        {
            if (!*alive || !parts)
            {
                done(lookup_result::unavailable(
                    lookup_problem::store_not_answering));
                return;
            }
            this->look_up_in_parts(job, *parts, done);
        });
}

/// Combines the rows of one job from all parts of the table.
struct cell_node::stored_lookup
{
    lookup_result found{lookup_outcome::no_such_job, work_state::queued};
    /// Number of parts that have not answered yet.
    std::size_t missing = 0;
    bool failed = false;

    void add(read_result const& result)
    {
        this->failed = this->failed || result.outcome != read_outcome::answered;
        for (record const& row : result.rows)
        {
            this->found.outcome = lookup_outcome::found;
            if (row.at.key.ends_with(tables::cancel_suffix))
            {
                this->found.state = work_state::cancelled;
            }
        }
    }

    lookup_result result() const
    {
        bool uncertain =
            this->failed && this->found.outcome == lookup_outcome::no_such_job;
        return uncertain ? lookup_result::unavailable(
                               lookup_problem::store_not_answering)
                         : this->found;
    }
};

void cell_node::look_up_in_parts(std::string const& job,
    std::vector<std::string> const& parts,
    std::function<void(lookup_result)> const& done)
{
    auto lookup = std::make_shared<stored_lookup>();
    lookup->missing = parts.size();
    if (parts.empty())
    {
        done(lookup->result());
        return;
    }
    for (std::string const& part : parts)
    {
        // The rows of a job and of its cancellation have adjacent keys.
        this->dependencies.store.read(tables::jobs, part, job, job + '~',
            [lookup, done](read_result const& result)
            {
                lookup->add(result);
                --lookup->missing;
                if (lookup->missing == 0)
                {
                    done(lookup->result());
                }
            });
    }
}

void cell_node::cancel(
    std::string const& job, std::function<void(lookup_result)> done)
{
    auto decide = [this, job, done = std::move(done), alive = this->alive](
                      lookup_result const& found)
    {
        bool ended = found.state == work_state::succeeded ||
                     found.state == work_state::failed;
        if (!*alive || found.outcome != lookup_outcome::found || ended)
        {
            done(found);
            return;
        }
        this->store_cancellation(job, done);
    };
    // Not rate limited: cancellations are rare and must be answered.
    this->query_leader(job, milliseconds(0), decide,
        [this, job, decide] { this->look_up_in_store(job, decide); });
}

void cell_node::store_cancellation(
    std::string const& job, std::function<void(lookup_result)> done)
{
    record_change change;
    change.writes = {{tables::cancel_row_key(this->settings.name, job), "1"}};
    this->dependencies.store.commit(change, cancel_commit_timeout,
        [this, job, done = std::move(done), alive = this->alive](
            change_result const& result)
        {
            if (*alive && result.outcome == change_outcome::committed)
            {
                this->announce_cancellation(job);
                done({lookup_outcome::found, work_state::cancelled});
                return;
            }
            done(lookup_result::unavailable(
                lookup_problem::store_not_answering));
        });
}

void cell_node::announce_cancellation(std::string const& job)
{
    if (this->scheduler)
    {
        this->scheduler->cancel(job);
        return;
    }
    this->cancellations.add(job);
}

void cell_node::send_cancellation(
    std::string const& job, std::function<void(bool)> done)
{
    if (this->scheduler)
    {
        // It became the scheduler after the job was cancelled.
        this->scheduler->cancel(job);
        done(true);
        return;
    }
    if (!this->leader_client || !this->leader_client->connected())
    {
        done(false);
        return;
    }
    this->leader_client->request(message_type::work_cancelled,
        pack(work_cancelled{job}), announce_timeout,
        [done = std::move(done)](rpc_result const& result)
        {
            done(!result.problem && result.reply &&
                 result.reply->type == message_type::ack);
        });
}

void cell_node::count_waiting(std::string const& queue,
    std::function<void(std::optional<std::uint64_t>)> done)
{
    if (this->scheduler)
    {
        done(this->scheduler->waiting_jobs(queue));
        return;
    }
    if (!this->leader_client || !this->leader_client->connected())
    {
        done(std::nullopt);
        return;
    }
    this->leader_client->request(message_type::queue_query,
        pack(queue_query{queue}), query_timeout,
        [done = std::move(done)](rpc_result const& result)
        {
            if (result.problem || !result.reply ||
                result.reply->type != message_type::queue_reply)
            {
                done(std::nullopt);
                return;
            }
            done(unpack<queue_reply>(result.reply->body, "leader").waiting);
        });
}

// ---------------------------------------------------------------------------
// Other instances

void cell_node::on_request(
    frame const& request, std::string const& peer, rpc_responder respond)
{
    if (request.type == message_type::advice_request)
    {
        this->handle_advice_request(
            unpack<advice_request>(request.body, peer), std::move(respond));
        return;
    }
    if (this->relay.handle_request(request, peer, respond))
    {
        return;
    }
    if (request.type == message_type::leader_query)
    {
        respond(message_type::leader_reply,
            pack(this->election->known_leader().value_or(leader_row{})));
        return;
    }
    if (request.type == message_type::configuration_query)
    {
        respond(message_type::configuration_reply,
            pack(this->exchange.reply_to(
                unpack<configuration_query>(request.body, peer))));
        return;
    }
    if (request.type == message_type::configuration_notice)
    {
        auto notice = unpack<configuration_notice>(request.body, peer);
        respond(message_type::ack, {});
        if (this->leader_client)
        {
            this->exchange.handle_peer_version(
                notice.version, *this->leader_client);
        }
        return;
    }
    if (!this->scheduler)
    {
        throw error(error_code::unavailable,
            "this instance is not the active scheduler", "route-message",
            this->settings.name);
    }
    switch (request.type)
    {
    case message_type::member_hello:
        this->handle_hello(unpack<member_hello>(request.body, peer));
        respond(message_type::member_list,
            pack(member_list{this->members->list(),
                this->election->heartbeat_age().count(),
                this->exchange.version(), this->exchange.confirmed_age_ms(),
                this->scheduler->forecast().estimates()}));
        return;
    case message_type::work_accepted:
    {
        auto message = unpack<work_accepted>(request.body, peer);
        this->scheduler->accept(std::move(message.record), message.version);
        respond(message_type::ack, {});
        return;
    }
    case message_type::work_submit:
    {
        auto message = unpack<work_submit>(request.body, peer);
        // `submit` does not forward while this instance is the scheduler.
        // Otherwise two instances that each regard the other as the active
        // scheduler would forward a job to each other without end.
        this->submit(std::move(message.record),
            milliseconds(message.timeout_ms),
            [respond = std::move(respond)](accept_result const& result)
            {
                respond(message_type::work_submit_reply,
                    pack(work_submit_reply{
                        static_cast<std::uint8_t>(result.outcome)}));
            });
        return;
    }
    case message_type::work_cancelled:
        this->scheduler->cancel(unpack<work_cancelled>(request.body, peer).job);
        respond(message_type::ack, {});
        return;
    case message_type::work_query:
    {
        auto query = unpack<work_query>(request.body, peer);
        this->scheduler->look_up(query.job, milliseconds(query.wait_ms),
            [respond = std::move(respond)](lookup_result const& found)
            {
                respond(message_type::work_reply,
                    pack(work_reply{found.outcome == lookup_outcome::found,
                        found.state,
                        found.outcome == lookup_outcome::no_such_job}));
            });
        return;
    }
    case message_type::queue_query:
    {
        auto waiting = this->scheduler->waiting_jobs(
            unpack<queue_query>(request.body, peer).queue);
        if (!waiting)
        {
            throw error(error_code::unavailable,
                "the scheduler has no recent copy of the jobs in the store",
                "route-message", this->settings.name);
        }
        respond(message_type::queue_reply, pack(queue_reply{*waiting}));
        return;
    }
    default:
        throw error(error_code::bad_request,
            "unexpected message type " + std::string(name_of(request.type)),
            "route-message", peer);
    }
}

void cell_node::handle_advice_request(
    advice_request const& request, rpc_responder respond)
{
    this->dependencies.advice.request_advice(request.step, request.workers,
        [respond = std::move(respond)](advice_result const& result)
        { respond(message_type::advice_reply, pack(result)); });
}

} // namespace toucanlever
