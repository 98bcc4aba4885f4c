#include "toucanlever/gateway/scheduler_pool.hpp"

#include "toucanlever/core/log.hpp"
#include "toucanlever/core/settings_file.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace toucanlever
{

scheduler_pool::scheduler_pool(
    event_loop& loop, gateway_settings const& settings)
    : loop(loop)
    , settings(settings)
    , configuration_fetch(
          loop, [this] { return this->current_snapshot.revision; },
          [this](std::string const& packed, std::string const& origin)
          { this->adopt_config(unpack<config_snapshot>(packed, origin)); })
{
    for (std::string const& address : settings.schedulers)
    {
        this->add(address);
    }
    this->timer = loop.every(settings.heartbeat, [this] { this->poll(); });
}

scheduler_pool::~scheduler_pool()
{
    this->loop.cancel(this->timer);
}

void scheduler_pool::add(std::string const& address)
{
    if (this->members.count(address) > 0)
    {
        return;
    }
    rpc_timing timing;
    timing.heartbeat = this->settings.heartbeat;
    this->members[address].client =
        std::make_unique<rpc_client>(this->loop, address, timing);
}

void scheduler_pool::poll()
{
    for (auto& entry : this->members)
    {
        this->request_state(entry.first, entry.second);
    }
}

void scheduler_pool::request_state(std::string const& address, member& target)
{
    if (target.request_in_flight || !target.client->connected())
    {
        return;
    }
    target.request_in_flight = true;
    state_request request;
    request.config_revision = this->current_snapshot.revision;
    request.endpoints_digest = this->endpoints_digest;
    request.fetches_configuration = true;
    target.client->request(message_type::state_request, pack(request),
        this->settings.scheduler_timeout,
        [this, address, sent_at = this->loop.now()](rpc_result const& result)
        {
            member& polled = this->members.at(address);
            polled.request_in_flight = false;
            try
            {
                auto reply =
                    result.as<state_reply>(message_type::state_reply, address);
                polled.state = reply.state;
                polled.last_reply_at = this->loop.now();
                polled.answered_poll_at = sent_at;
                this->handle_state(reply, *polled.client);
            }
            catch (error const&)
            {
                // The client logs a lost connection. A scheduler that sends no
                // replies stops counting as live.
            }
        });
}

void scheduler_pool::handle_state(state_reply const& reply, rpc_client& peer)
{
    // Set by schedulers of earlier versions.
    this->adopt_config(reply.config);
    if (reply.state.config_revision > this->current_snapshot.revision)
    {
        this->configuration_fetch.request_from(peer);
    }
    // Lists from other domains are used only while no list is known.
    bool is_new = !reply.endpoints.empty() &&
                  reply.endpoints_digest != this->endpoints_digest &&
                  (reply.state.domain == this->settings.domain ||
                      this->known_endpoints.empty());
    if (!is_new)
    {
        return;
    }
    this->known_endpoints = reply.endpoints;
    this->endpoints_digest = reply.endpoints_digest;
    for (instance const& each : this->known_endpoints)
    {
        if (each.role == instance_role::entry)
        {
            this->add(each.address);
        }
    }
    if (this->change_handler)
    {
        this->change_handler();
    }
}

void scheduler_pool::adopt_config(config_snapshot const& snapshot)
{
    if (snapshot.revision <= this->current_snapshot.revision)
    {
        return;
    }
    try
    {
        this->parsed_config = parse_cell_config(
            snapshot.yaml, "revision-" + std::to_string(snapshot.revision));
    }
    catch (settings_error const& problem)
    {
        log_line("configuration-refused").with("reason", problem.what());
        return;
    }
    this->current_snapshot = snapshot;
    log_line("configuration-in-force")
        .with("revision", snapshot.revision)
        .with("preset", snapshot.preset);
    if (this->change_handler)
    {
        this->change_handler();
    }
}

bool scheduler_pool::is_live(member const& each) const
{
    return each.client->connected() && each.state.ready &&
           !each.state.leaving &&
           this->loop.now() - each.last_reply_at <
               this->settings.scheduler_timeout;
}

rpc_client* scheduler_pool::pick() const
{
    static thread_local std::minstd_rand random{std::random_device{}()};
    // The own domain before others, and in each domain schedulers with
    // workers before those without.
    std::array<std::vector<member const*>, 4> ranks;
    for (auto const& entry : this->members)
    {
        if (this->is_live(entry.second))
        {
            scheduler_state const& state = entry.second.state;
            bool in_other_domain = state.domain != this->settings.domain;
            bool has_no_workers = state.capacity.cpu_millis == 0;
            ranks[(in_other_domain ? 2U : 0U) + (has_no_workers ? 1U : 0U)]
                .push_back(&entry.second);
        }
    }
    auto found = std::find_if(ranks.begin(), ranks.end(),
        [](auto const& rank) { return !rank.empty(); });
    if (found == ranks.end())
    {
        return nullptr;
    }
    auto const& from = *found;
    std::uniform_int_distribution<std::size_t> random_index(0, from.size() - 1);
    member const* first = from[random_index(random)];
    member const* second = from[random_index(random)];
    bool first_wins =
        first->state.queued < second->state.queued ||
        (first->state.queued == second->state.queued &&
            first->state.free.cpu_millis >= second->state.free.cpu_millis);
    return (first_wins ? first : second)->client.get();
}

rpc_client* scheduler_pool::find_serving(std::string const& incarnation) const
{
    for (auto const& entry : this->members)
    {
        auto const& serves = entry.second.state.serves;
        bool is_responsible = std::find(serves.begin(), serves.end(),
                                  incarnation) != serves.end();
        auto age = this->loop.now() - entry.second.last_reply_at;
        if (is_responsible && entry.second.client->connected() &&
            age < this->settings.scheduler_timeout)
        {
            return entry.second.client.get();
        }
    }
    return nullptr;
}

rpc_client* scheduler_pool::find(std::string const& incarnation) const
{
    for (auto const& entry : this->members)
    {
        if (entry.second.state.incarnation == incarnation)
        {
            return entry.second.client.get();
        }
    }
    return nullptr;
}

std::vector<rpc_client*> scheduler_pool::connected_schedulers() const
{
    std::vector<rpc_client*> list;
    for (auto const& entry : this->members)
    {
        if (entry.second.client->connected())
        {
            list.push_back(entry.second.client.get());
        }
    }
    return list;
}

std::vector<scheduler_state> scheduler_pool::live_schedulers(
    std::string const& domain) const
{
    std::vector<scheduler_state> list;
    for (auto const& entry : this->members)
    {
        if (this->is_live(entry.second) && entry.second.state.domain == domain)
        {
            list.push_back(entry.second.state);
        }
    }
    return list;
}

bool scheduler_pool::has_answered_since(
    std::string const& domain, time_point since) const
{
    return std::any_of(this->members.begin(), this->members.end(),
        [this, &domain, since](auto const& entry)
        {
            member const& each = entry.second;
            return this->is_live(each) && each.state.domain == domain &&
                   each.answered_poll_at >= since;
        });
}

} // namespace toucanlever
