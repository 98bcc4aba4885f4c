/// Who else schedules, and what instances there are.
///
/// Heartbeats among schedulers and the platform's lagging list; both only
/// choose who tries, never what is safe.
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

/// Keeps a link to every other scheduler and the latest list of instances.
class membership_controller
{
public:
    /// `self` describes this scheduler for each heartbeat; `on_reply` sees
    /// every peer's answer.
    membership_controller(event_loop& loop, scheduler_settings const& settings,
        instance_service& list, std::function<state_request()> self,
        std::function<void(state_reply const&)> on_reply);
    ~membership_controller();

    /// A peer's own heartbeat arrived.
    void record_heartbeat(scheduler_state const& state);

    /// A peer answered at this address, which need not be the one it knows
    /// itself by.
    void record_heartbeat_at(scheduler_state state, std::string const& address);

    /// Schedulers heard lately, ready and not leaving, this one included when
    /// it is; `domain` empty for all.
    std::vector<scheduler_state> live_schedulers(
        std::string const& domain) const;

    /// True when this incarnation was heard within the peer timeout.
    bool is_live(std::string const& incarnation) const;

    /// True when some live scheduler of that domain answers heartbeats.
    bool has_live_scheduler(std::string const& domain) const;

    /// Instances that count as leaving whatever the platform's list says.
    void set_drained(std::vector<std::string> const& ids);

    std::vector<instance> const& instances() const { return this->listed; }

    /// Called after each change of the list.
    void on_instances(std::function<void()> handler);

    /// Runners and entries, for gateways, and a digest of them.
    std::vector<instance> const& endpoints() const { return this->routed; }
    std::uint64_t endpoints_digest() const { return this->digest; }

    std::vector<scheduler_state> known_schedulers() const;

    /// What the silence of others is measured by.
    clock const& listening_time() const { return this->listening; }

    /// Sends a request to a peer by its incarnation; fails at once when
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
    std::function<void(state_reply const&)> on_reply;
    pause_aware_clock listening;
    std::vector<std::function<void()>> instance_handlers;
    std::map<std::string, peer> peers;
    // By incarnation.
    std::map<std::string, received_state> states;
    // As the platform listed them last.
    instance_list platform_list;
    std::set<std::string> drained;
    // The same with what is drained marked as leaving.
    std::vector<instance> listed;
    std::vector<instance> routed;
    std::uint64_t digest = 0;
    bool polling = false;
    event_loop::timer_id heartbeat_timer = 0;
    event_loop::timer_id list_timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
