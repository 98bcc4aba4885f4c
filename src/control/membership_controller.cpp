#include "toucanlever/control/membership_controller.hpp"

#include "toucanlever/core/ids.hpp"
#include "toucanlever/core/log.hpp"

namespace toucanlever
{
namespace
{

constexpr milliseconds instance_poll_period{500};
// If this many heartbeat periods pass between two readings of the clock, the
// process was paused.
constexpr int pause_threshold_heartbeats = 2;
// The state of an incarnation is removed this long after its last heartbeat.
constexpr std::chrono::minutes state_retention{10};

bool is_endpoint(instance const& each)
{
    return each.role == instance_role::entry ||
           each.role == instance_role::runner;
}

std::uint64_t compute_digest(std::vector<instance> const& list)
{
    return stable_hash(nlohmann::json(list).dump());
}

} // namespace

membership_controller::membership_controller(event_loop& loop,
    scheduler_settings const& settings, instance_service& list,
    std::function<state_request()> self,
    std::function<void(state_reply const&, rpc_client&)> on_reply)
    : loop(loop)
    , settings(settings)
    , instance_source(list)
    , make_state_request(std::move(self))
    , on_reply(std::move(on_reply))
    , listening(loop.time_source(),
          settings.leases.heartbeat * pause_threshold_heartbeats)
{
    for (std::string const& address : settings.peers)
    {
        this->add_peer(address);
    }
    this->heartbeat_timer = loop.every(
        settings.leases.heartbeat, [this] { this->send_heartbeats(); });
    this->list_timer =
        loop.every(instance_poll_period, [this] { this->poll_instances(); });
    this->poll_instances();
}

membership_controller::~membership_controller()
{
    *this->alive = false;
    this->loop.cancel(this->heartbeat_timer);
    this->loop.cancel(this->list_timer);
}

void membership_controller::on_instances(std::function<void()> handler)
{
    this->instance_handlers.push_back(std::move(handler));
}

void membership_controller::add_peer(std::string const& address)
{
    if (address == this->settings.address || this->peers.count(address) > 0)
    {
        return;
    }
    rpc_timing timing;
    timing.heartbeat = this->settings.leases.heartbeat;
    peer& added = this->peers[address];
    added.client = std::make_unique<rpc_client>(this->loop, address, timing);
}

void membership_controller::record_heartbeat(scheduler_state const& state)
{
    auto found = this->states.find(state.incarnation);
    bool known = found != this->states.end();
    this->record_heartbeat_at(
        state, known ? found->second.state.address : state.address);
}

void membership_controller::record_heartbeat_at(
    scheduler_state state, std::string const& address)
{
    if (state.incarnation.empty())
    {
        return;
    }
    if (this->states.count(state.incarnation) == 0)
    {
        log_line("peer-heard")
            .with("incarnation", state.incarnation)
            .with("peer", address);
    }
    state.address = address;
    std::string incarnation = state.incarnation;
    this->states[incarnation] =
        received_state{std::move(state), this->listening.now()};
}

void membership_controller::send_heartbeats()
{
    for (auto& entry : this->peers)
    {
        this->send_heartbeat(entry.first, entry.second);
    }
    auto now = this->listening.now();
    std::erase_if(this->states, [now](auto const& entry)
        { return now - entry.second.received_at > state_retention; });
}

void membership_controller::send_heartbeat(
    std::string const& address, peer& target)
{
    if (target.request_in_flight || !target.client->connected())
    {
        return;
    }
    target.request_in_flight = true;
    target.client->request(message_type::state_request,
        pack(this->make_state_request()), this->settings.leases.peer_timeout,
        [this, address](rpc_result const& result)
        {
            auto found = this->peers.find(address);
            if (found == this->peers.end())
            {
                return;
            }
            found->second.request_in_flight = false;
            try
            {
                auto reply =
                    result.as<state_reply>(message_type::state_reply, address);
                this->record_heartbeat_at(reply.state, address);
                this->on_reply(reply, *found->second.client);
            }
            catch (error const&)
            {
                // The link logs its own loss, and liveness depends only on
                // heartbeats that arrive.
            }
        });
}

void membership_controller::poll_instances()
{
    if (this->polling)
    {
        return;
    }
    this->polling = true;
    auto still_alive = this->alive;
    this->instance_source.list(
        [this, still_alive](instance_list const& fresh)
        {
            if (!*still_alive)
            {
                return;
            }
            this->polling = false;
            if (fresh && fresh != this->platform_list)
            {
                this->platform_list = fresh;
                this->apply_instance_list();
            }
        });
}

void membership_controller::set_drained(std::vector<std::string> const& ids)
{
    this->drained = std::set<std::string>(ids.begin(), ids.end());
    this->apply_instance_list();
}

void membership_controller::apply_instance_list()
{
    if (!this->platform_list)
    {
        return;
    }
    std::vector<instance> fresh = *this->platform_list;
    for (instance& each : fresh)
    {
        each.leaving = each.leaving || this->drained.count(each.id) > 0;
    }
    if (fresh == this->listed)
    {
        return;
    }
    this->listed = std::move(fresh);
    this->routed.clear();
    for (instance const& each : this->listed)
    {
        if (is_endpoint(each))
        {
            this->routed.push_back(each);
        }
        if (each.role == instance_role::entry)
        {
            this->add_peer(each.address);
        }
    }
    this->digest = compute_digest(this->routed);
    for (auto const& handler : this->instance_handlers)
    {
        handler();
    }
}

bool membership_controller::is_live(std::string const& incarnation) const
{
    auto found = this->states.find(incarnation);
    return found != this->states.end() &&
           this->listening.now() - found->second.received_at <
               this->settings.leases.peer_timeout;
}

std::vector<scheduler_state> membership_controller::live_schedulers(
    std::string const& domain) const
{
    std::vector<scheduler_state> list;
    scheduler_state own = this->make_state_request().sender;
    if (own.ready && !own.leaving && (domain.empty() || domain == own.domain))
    {
        list.push_back(own);
    }
    for (auto const& entry : this->states)
    {
        scheduler_state const& state = entry.second.state;
        bool wanted = domain.empty() || state.domain == domain;
        if (wanted && state.ready && !state.leaving &&
            this->is_live(entry.first))
        {
            list.push_back(state);
        }
    }
    return list;
}

bool membership_controller::has_live_scheduler(std::string const& domain) const
{
    return !this->live_schedulers(domain).empty();
}

void membership_controller::request(std::string const& incarnation,
    message_type type, std::string body, milliseconds timeout,
    rpc_client::callback done)
{
    auto state = this->states.find(incarnation);
    auto target = state == this->states.end()
                      ? this->peers.end()
                      : this->peers.find(state->second.state.address);
    if (target == this->peers.end())
    {
        rpc_result none;
        none.problem = error(error_code::unavailable, "no link to the peer",
            "send-request", incarnation);
        done(none);
        return;
    }
    target->second.client->request(
        type, std::move(body), timeout, std::move(done));
}

std::vector<scheduler_state> membership_controller::known_schedulers() const
{
    std::vector<scheduler_state> list{this->make_state_request().sender};
    for (auto const& entry : this->states)
    {
        scheduler_state state = entry.second.state;
        state.ready = state.ready && this->is_live(entry.first);
        list.push_back(state);
    }
    return list;
}

} // namespace toucanlever
