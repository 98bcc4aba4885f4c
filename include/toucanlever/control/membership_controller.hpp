/// The live schedulers and the instances that the platform lists.
///
/// The sources are heartbeats between schedulers and the platform's instance
/// list, which lags behind. Both only select which scheduler attempts an
/// operation; safety never depends on them.
#pragma once

#include "toucanlever/control/scheduler_settings.hpp"
#include "toucanlever/core/pause_aware_clock.hpp"
#include "toucanlever/platform/table_service.hpp"
#include "toucanlever/wire/messages.hpp"
#include "toucanlever/wire/rpc.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace toucanlever
{

/// Maintains a link to every other scheduler and the latest instance list.
class membership_controller
{
public:
    /// `self` returns the state of this scheduler for each heartbeat;
    /// `on_reply` receives the reply of each peer and the link to it.
    membership_controller(event_loop& loop, scheduler_settings const& settings,
        instance_service& list, std::function<state_request()> self,
        std::function<void(state_reply const&, rpc_client&)> on_reply);
    ~membership_controller();

    /// Records a heartbeat that a peer sent.
    void record_heartbeat(scheduler_state const& state);

    /// Records a peer that answered at this address, which may differ from the
    /// address in the peer's own settings.
    void record_heartbeat_at(scheduler_state state, std::string const& address);

    /// Schedulers that are live, ready and not shutting down, including this
    /// one if it is; `domain` empty for all failure domains.
    std::vector<scheduler_state> live_schedulers(
        std::string const& domain) const;

    /// True if a heartbeat of this incarnation arrived within the peer
    /// timeout.
    bool is_live(std::string const& incarnation) const;

    /// True if the failure domain has a live scheduler that is ready.
    bool has_live_scheduler(std::string const& domain) const;

    /// Sets the instances that count as leaving regardless of the platform's
    /// list.
    void set_drained(std::vector<std::string> const& ids);

    std::vector<instance> const& instances() const { return this->listed; }

    /// Adds a handler that runs after each change of the instance list.
    void on_instances(std::function<void()> handler);

    /// Instances with role runner or entry, for gateways, and a digest of
    /// them.
    std::vector<instance> const& endpoints() const { return this->routed; }
    std::uint64_t endpoints_digest() const { return this->digest; }

    /// This scheduler and all others from which a heartbeat arrived in the last
    /// 10 minutes; those that are not live are marked as not ready.
    std::vector<scheduler_state> known_schedulers() const;

    /// Clock for peer timeouts, which does not count time during which this
    /// process was paused.
    clock const& listening_time() const { return this->listening; }

    /// Sends a request to a peer by its incarnation; fails immediately if
    /// there is no link to it.
    void request(std::string const& incarnation, message_type type,
        std::string body, milliseconds timeout, rpc_client::callback done);

private:
    struct peer
    {
        std::unique_ptr<rpc_client> client;
        bool request_in_flight = false;
    };

    struct received_state
    {
        scheduler_state state;
        time_point received_at;
    };

    void send_heartbeats();
    void send_heartbeat(std::string const& address, peer& target);
    void poll_instances();
    void apply_instance_list();
    void add_peer(std::string const& address);

    event_loop& loop;
    scheduler_settings const& settings;
    instance_service& instance_source;
    std::function<state_request()> make_state_request;
    std::function<void(state_reply const&, rpc_client&)> on_reply;
    pause_aware_clock listening;
    std::vector<std::function<void()>> instance_handlers;
    std::map<std::string, peer> peers;
    // By incarnation.
    std::map<std::string, received_state> states;
    // The last list from the platform; null before the first.
    instance_list platform_list;
    std::set<std::string> drained;
    // The same list with drained instances marked as leaving.
    std::vector<instance> listed;
    std::vector<instance> routed;
    std::uint64_t digest = 0;
    bool polling = false;
    event_loop::timer_id heartbeat_timer = 0;
    event_loop::timer_id list_timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
