/// One entry instance of a cell: takes jobs from callers, answers for them,
/// and schedules for all while it is the active scheduler.
///
/// Accepting a job needs the store only. Where a job stands is asked of the
/// active scheduler, and of the store while there is none.
#pragma once

#include "toucanlever/cell/cell_settings.hpp"
#include "toucanlever/cell/dispatcher.hpp"
#include "toucanlever/cell/job_acceptor.hpp"
#include "toucanlever/cell/leader_discovery.hpp"
#include "toucanlever/cell/leadership.hpp"
#include "toucanlever/cell/order_relay.hpp"
#include "toucanlever/cell/placement_advice.hpp"
#include "toucanlever/cell/relayed_orders.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace toucanlever
{

/// What a node is made of; all outlive it.
struct cell_node_dependencies
{
    event_loop& loop;
    record_store& store;
    worker_orders& orders;
    placement_advice& advice;
    queue_directory const& queues;
    std::string worker_table;
    std::function<std::optional<worker_entry>(
        std::string const& id, std::string const& value)>
        decode_worker;
};

/// The node.
class cell_node final : private leadership_listener, private rpc_handler
{
public:
    cell_node(cell_node_dependencies parts, cell_settings const& settings);
    ~cell_node() override;

    /// Stores a job, through the active scheduler where this instance does
    /// not reach the store, and tells the active scheduler.
    void submit(work_record record, milliseconds patience,
        std::function<void(accept_result)> done);
    void look_up(
        std::string const& job, std::function<void(lookup_result)> done);

    /// Stores the cancellation and tells the active scheduler.
    void cancel(
        std::string const& job, std::function<void(lookup_result)> done);

    /// Jobs of a queue that have not begun; nothing when nobody knows.
    void count_waiting(std::string const& queue,
        std::function<void(std::optional<std::uint64_t>)> done);

    /// False while submissions would be refused: this instance reaches
    /// neither the store nor an active scheduler that does. Asks the store
    /// again then.
    bool can_accept();

    /// Gives up the active scheduler's part; `done` follows.
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

    void send_hello();
    void handle_member_list(rpc_result const& result);
    /// No active scheduler answers this instance.
    bool needs_leader() const;
    /// Asks the active scheduler to store a job, since this instance cannot.
    void forward_submission(work_record const& record, milliseconds patience,
        std::function<void(accept_result)> done);
    void announce_job(work_record const& record, std::int64_t version);
    /// Asks the store, which costs a call for each of its parts: callers'
    /// questions do so now and then only, while no scheduler answers.
    void look_up_rate_limited(
        std::string const& job, std::function<void(lookup_result)> done);
    void look_up_in_store(
        std::string const& job, std::function<void(lookup_result)> done);
    /// Asks the active scheduler; `without_leader` follows when there is
    /// none.
    void query_leader(std::string const& job,
        std::function<void(lookup_result)> done,
        std::function<void()> without_leader);
    struct stored_lookup;
    void look_up_in_parts(std::string const& job,
        std::vector<std::string> const& parts,
        std::function<void(lookup_result)> const& done);
    void store_cancellation(
        std::string const& job, std::function<void(lookup_result)> done);
    void announce_cancellation(std::string const& job);

    cell_node_dependencies dependencies;
    cell_settings settings;
    job_acceptor acceptor;
    std::unique_ptr<rpc_server> server;
    // The active scheduler, when that is another instance.
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
    // The leader's last answer to a hello; unset when it answered none, or
    // that it is not the leader.
    std::optional<time_point> leader_replied_at;
    milliseconds leader_heartbeat_age{0};
    // Below what its callbacks use.
    std::unique_ptr<leader_discovery> seeker;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
