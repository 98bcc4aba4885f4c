/// One scheduler incarnation: owns the controllers and dispatches requests to
/// them.
#pragma once

#include "toucanlever/control/configuration_controller.hpp"
#include "toucanlever/control/handover_controller.hpp"
#include "toucanlever/control/job_controller.hpp"
#include "toucanlever/control/journal.hpp"
#include "toucanlever/control/membership_controller.hpp"
#include "toucanlever/control/operator_listing.hpp"
#include "toucanlever/control/ownership_controller.hpp"
#include "toucanlever/control/permit_controller.hpp"
#include "toucanlever/control/placement_controller.hpp"
#include "toucanlever/control/recovery_controller.hpp"
#include "toucanlever/control/scheduler_settings.hpp"
#include "toucanlever/wire/document_fetch.hpp"
#include "toucanlever/wire/rpc.hpp"

#include <functional>
#include <memory>
#include <string>

namespace toucanlever
{

/// Platform services that a scheduler depends on.
struct scheduler_platform
{
    table_service& table;
    instance_service& instances;
    worker_service& workers;
};

/// Active from the insertion of its fence row until it is fenced or stopped.
class scheduler final : public rpc_handler
{
public:
    /// Calls `on_fenced` if another incarnation has taken over from this one;
    /// the owner then replaces it with a new incarnation.
    scheduler(event_loop& loop, scheduler_settings const& settings,
        scheduler_platform platform, std::function<void()> on_fenced);
    ~scheduler() override;

    /// Planned shutdown: releases control of all workers, flushes the journal,
    /// marks the fence row as released so that a peer takes over immediately,
    /// then calls `done`.
    void shut_down(std::function<void()> done);

    void on_request(frame const& request, std::string const& peer,
        rpc_responder respond) override;

private:
    void insert_fence_row();
    void report_fenced();
    void on_fence_row_inserted(commit_result const& result);
    scheduler_state state() const;
    state_request make_state_request() const;
    bool is_ready() const;
    void require_ready(std::string const& step) const;
    void refresh_capacities();
    std::vector<peer_preemptible> lenders() const;
    void request_capacity(
        std::string const& owner, capacity_request const& request);
    void tick();
    void finish_shutdown(std::function<void()> done, int polls);

    void handle_heartbeat_reply(state_reply const& reply, rpc_client& peer);
    void on_state(state_request const& request, rpc_responder const& respond);
    void on_submit(frame const& request, std::string const& peer,
        rpc_responder const& respond);
    void on_query(frame const& request, std::string const& peer,
        rpc_responder const& respond);
    void on_claim(claim_request const& request, rpc_responder const& respond);
    void on_claim_result(
        claim_request const& request, rpc_responder const& respond);
    void on_offer(offer_request const& request, rpc_responder const& respond);
    void on_permit(permit_request const& request, rpc_responder const& respond);
    void on_operator(operator_query const& query, rpc_responder const& respond);
    void on_config(config_change const& change, rpc_responder const& respond);

    event_loop& loop;
    scheduler_settings const& settings;
    scheduler_platform platform;
    std::function<void()> on_fenced;
    std::string incarnation;
    time_point began_at;
    bool inserted = false;
    bool is_fenced = false;
    bool shutting_down = false;

    configuration_controller configuration;
    document_fetch configuration_fetch;
    membership_controller members;
    worker_registry workers;
    worker_health health;
    std::unique_ptr<journal> log;
    placement_controller placement;
    std::unique_ptr<job_controller> jobs;
    std::unique_ptr<journal_compactor> compactor;
    std::unique_ptr<ownership_controller> ownership;
    std::unique_ptr<recovery_controller> recovery;
    std::unique_ptr<handover_controller> handover;
    permit_controller permits;
    operator_listing listing;
    std::unique_ptr<rpc_server> server;
    event_loop::timer_id tick_timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
