/// One entry instance of a cell: accepts jobs from callers, reports their
/// state, and schedules the jobs of the whole cell while it is the active
/// scheduler.
///
/// Accepting a job needs only the store. The state of a job is read from the
/// active scheduler, or from the store while there is none.
#pragma once

#include "toucanlever/cell/admission_control.hpp"
#include "toucanlever/cell/cancellation_notices.hpp"
#include "toucanlever/cell/cell_settings.hpp"
#include "toucanlever/cell/configuration_exchange.hpp"
#include "toucanlever/cell/dispatcher.hpp"
#include "toucanlever/cell/job_acceptor.hpp"
#include "toucanlever/cell/leader_discovery.hpp"
#include "toucanlever/cell/leadership.hpp"
#include "toucanlever/cell/order_relay.hpp"
#include "toucanlever/cell/placement_advice.hpp"
#include "toucanlever/cell/relayed_orders.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace toucanlever
{

/// The collaborators of a node; all outlive it.
struct cell_node_dependencies
{
    event_loop& loop;
    record_store& store;
    worker_orders& orders;
    placement_advice& advice;
    configuration_follower& configuration;
    std::string worker_table;
    std::function<std::optional<worker_entry>(
        std::string const& id, std::string const& value)>
        decode_worker;
};

/// Serves callers and the other instances of the cell.
class cell_node final : private leadership_listener, private rpc_handler
{
public:
    cell_node(
        cell_node_dependencies collaborators, cell_settings const& settings);
    ~cell_node() override;

    /// Decides whether a submission is to be rejected because of the cell's
    /// backlog; to be asked before `submit`. Rejects nothing unless the setting
    /// `admission_control` is on.
    admission_decision admit(work_record const& record);

    /// Stores a job and announces it to the active scheduler. When this
    /// instance cannot reach the store, the active scheduler is asked to store
    /// the job. `timeout` is the time limit for both attempts together.
    void submit(work_record record, milliseconds timeout,
        std::function<void(accept_result)> done);

    /// Looks up the state of a job. Without a connection to an active scheduler
    /// the store is read, at a limited rate; a job that is not cancelled counts
    /// as queued then. The outcome is `unavailable` when the state cannot be
    /// read now. For an open job the active scheduler's answer may take up to
    /// `wait`, so that it can be the job's outcome.
    void look_up(std::string const& job,
        std::function<void(lookup_result)> done,
        milliseconds wait = milliseconds(0));

    /// Stores the cancellation and announces it to the active scheduler.
    void cancel(
        std::string const& job, std::function<void(lookup_result)> done);

    /// The number of jobs of a queue that have not started; no value while
    /// no active scheduler answers.
    void count_waiting(std::string const& queue,
        std::function<void(std::optional<std::uint64_t>)> done);

    /// False while submissions would be refused: this instance can reach
    /// neither the store nor an active scheduler that can. Probes the store
    /// again while the store is unavailable.
    bool can_accept();

    /// True when an earlier submission of this job ended as unknown on this
    /// instance. No caller may then be told that the job has not run.
    bool is_in_doubt(std::string const& job) const
    {
        return this->acceptor.is_in_doubt(job);
    }

    /// Refuses relayed orders from now on and resigns as the active scheduler;
    /// `done` is called afterwards.
    void shut_down(std::function<void()> done);

private:
    void on_elected(leader_proof const& proof) override;
    void on_deposed(std::string const& reason) override;
    void on_leader(std::optional<leader_row> const& leader) override;
    bool is_leader_unreachable() const override
    {
        return !this->leader_client || !this->leader_client->connected();
    }
    void on_request(frame const& request, std::string const& peer,
        rpc_responder respond) override;
    void handle_advice_request(
        advice_request const& request, rpc_responder respond);

    /// Closes the link to a leader that is replaced. Queries, submissions and
    /// all other requests that are open on it fail, and are answered.
    void close_leader_link();
    void send_hello();
    void handle_hello(member_hello const& hello);
    /// `sent_at` is when the hello was sent.
    void handle_member_list(rpc_result const& result, time_point sent_at);
    /// Tells the active scheduler, or all members while this instance is the
    /// active scheduler, that another configuration is in force.
    void announce_configuration();
    /// True while this instance has to ask the other instances for the leader.
    /// That is when no active scheduler answers it and the store is
    /// unavailable, or when it is the active scheduler itself and its
    /// heartbeats are no longer confirmed.
    bool needs_leader() const;
    /// Asks the active scheduler to store a job that this instance could not
    /// store.
    void forward_submission(work_record const& record, milliseconds timeout,
        std::function<void(accept_result)> done);
    void announce_job(work_record const& record, std::int64_t version);
    /// Looks the job up in the store, which costs a call for each part of the
    /// table. Callers' queries do so at a limited rate, while there is no
    /// active scheduler.
    void look_up_rate_limited(
        std::string const& job, std::function<void(lookup_result)> done);
    void look_up_in_store(
        std::string const& job, std::function<void(lookup_result)> done);
    /// Queries the active scheduler; calls `on_no_leader` instead of `done`
    /// when this instance has no connection to one.
    void query_leader(std::string const& job, milliseconds wait,
        std::function<void(lookup_result)> done,
        std::function<void()> on_no_leader);
    struct stored_lookup;
    void look_up_in_parts(std::string const& job,
        std::vector<std::string> const& parts,
        std::function<void(lookup_result)> const& done);
    void store_cancellation(
        std::string const& job, std::function<void(lookup_result)> done);
    void announce_cancellation(std::string const& job);
    /// Tells the active scheduler of a cancellation; `done` gets true when the
    /// scheduler has acknowledged it.
    void send_cancellation(
        std::string const& job, std::function<void(bool)> done);

    cell_node_dependencies dependencies;
    cell_settings settings;
    time_point created_at;
    configuration_exchange exchange;
    job_acceptor acceptor;
    admission_control admission;
    cancellation_notices cancellations;
    std::unique_ptr<rpc_server> server;
    // The link to the active scheduler when that is another instance.
    std::unique_ptr<rpc_client> leader_client;
    order_relay relay;
    // These four are set while this instance is the active scheduler.
    std::unique_ptr<member_links> members;
    std::unique_ptr<advice_broker> broker;
    std::unique_ptr<relayed_orders> orders;
    std::unique_ptr<dispatcher> scheduler;
    std::unique_ptr<leadership> election;
    event_loop::timer_id hello_timer = 0;
    time_point next_store_lookup_at{};
    // When the leader last replied to a hello; unset when the last hello got
    // no reply or was rejected because the instance is not the leader.
    std::optional<time_point> leader_replied_at;
    // The age of the leader's last confirmed heartbeat, from that reply.
    milliseconds leader_heartbeat_age{0};
    // Declared after, and so destroyed before, the members that its callbacks
    // use.
    std::unique_ptr<leader_discovery> discovery;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
