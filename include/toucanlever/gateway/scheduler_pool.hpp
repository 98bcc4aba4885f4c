/// A gateway's links to all schedulers, and what it learns from them: who
/// answers for which jobs, the configuration in force, and the endpoints.
#pragma once

#include "toucanlever/control/cell_config.hpp"
#include "toucanlever/gateway/gateway_settings.hpp"
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

    /// The scheduler to hand a new job to: of two sampled ones of the own
    /// failure domain the one with less waiting work; another domain's when
    /// there is none. Null when nobody is ready.
    rpc_client* pick() const;

    /// The scheduler that answers for this incarnation's jobs, or null.
    rpc_client* find_serving(std::string const& incarnation) const;

    /// The link to the scheduler of this very incarnation, or null.
    rpc_client* find(std::string const& incarnation) const;

    /// Every connected scheduler that answers heartbeats.
    std::vector<rpc_client*> connected_schedulers() const;

    /// Live and ready schedulers of a failure domain.
    std::vector<scheduler_state> live_schedulers(
        std::string const& domain) const;

    bool is_ready() const { return this->current_snapshot.revision > 0; }
    config_snapshot const& snapshot() const { return this->current_snapshot; }
    cell_config const& config() const { return this->parsed; }
    std::vector<instance> const& endpoints() const
    {
        return this->known_endpoints;
    }

    /// Called after each change of configuration or endpoints.
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
        bool request_in_flight = false;
    };

    void add(std::string const& address);
    void poll();
    void request_state(std::string const& address, member& target);
    void handle_state(state_reply const& reply);
    void adopt_config(config_snapshot const& snapshot);
    bool is_live(member const& each) const;

    event_loop& loop;
    gateway_settings const& settings;
    std::map<std::string, member> members;
    config_snapshot current_snapshot;
    cell_config parsed;
    std::vector<instance> known_endpoints;
    std::uint64_t digest = 0;
    std::function<void()> change_handler;
    event_loop::timer_id timer = 0;
};

} // namespace toucanlever
