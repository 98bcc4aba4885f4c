/// A gateway's links to all schedulers, and the state received from them:
/// which scheduler is responsible for which jobs, the configuration in force,
/// and the endpoints.
#pragma once

#include "toucanlever/control/cell_config.hpp"
#include "toucanlever/gateway/gateway_settings.hpp"
#include "toucanlever/wire/document_fetch.hpp"
#include "toucanlever/wire/messages.hpp"
#include "toucanlever/wire/rpc.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace toucanlever
{

/// Polls every scheduler once per heartbeat.
class scheduler_pool
{
public:
    scheduler_pool(event_loop& loop, gateway_settings const& settings);
    ~scheduler_pool();

    /// The scheduler to submit a new job to: of two chosen at random from the
    /// own failure domain, the one with the shorter queue. Schedulers of other
    /// domains are used only when the own has none. Null when none is ready.
    rpc_client* pick() const;

    /// The scheduler responsible for the jobs of this incarnation, or null.
    rpc_client* find_serving(std::string const& incarnation) const;

    /// The link to the scheduler with exactly this incarnation, or null.
    rpc_client* find(std::string const& incarnation) const;

    /// Every connected scheduler that answers heartbeats.
    std::vector<rpc_client*> connected_schedulers() const;

    /// States of the live and ready schedulers of a failure domain.
    std::vector<scheduler_state> live_schedulers(
        std::string const& domain) const;

    /// True when a live scheduler of the domain has answered a poll that was
    /// sent at `since` or later. A domain that has just been cut off still has
    /// live schedulers, but none that answers.
    bool has_answered_since(std::string const& domain, time_point since) const;

    bool is_ready() const { return this->current_snapshot.revision > 0; }
    config_snapshot const& snapshot() const { return this->current_snapshot; }
    cell_config const& config() const { return this->parsed_config; }
    std::vector<instance> const& endpoints() const
    {
        return this->known_endpoints;
    }

    /// Sets the handler called after each change of configuration or
    /// endpoints.
    void on_change(std::function<void()> handler)
    {
        this->change_handler = std::move(handler);
    }

private:
    struct member
    {
        std::unique_ptr<rpc_client> client;
        scheduler_state state;
        time_point last_reply_at{};
        // When the poll was sent that was answered last.
        time_point answered_poll_at{};
        bool request_in_flight = false;
    };

    void add(std::string const& address);
    void poll();
    void request_state(std::string const& address, member& target);
    void handle_state(state_reply const& reply, rpc_client& peer);
    void adopt_config(config_snapshot const& snapshot);
    bool is_live(member const& each) const;

    event_loop& loop;
    gateway_settings const& settings;
    std::map<std::string, member> members;
    config_snapshot current_snapshot;
    cell_config parsed_config;
    document_fetch configuration_fetch;
    std::vector<instance> known_endpoints;
    std::uint64_t endpoints_digest = 0;
    std::function<void()> change_handler;
    event_loop::timer_id timer = 0;
};

} // namespace toucanlever
