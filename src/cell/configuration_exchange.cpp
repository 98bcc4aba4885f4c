#include "toucanlever/cell/configuration_exchange.hpp"

#include "toucanlever/core/log.hpp"

namespace toucanlever
{
namespace
{

/// Enough for 64 KB, the longest document, on a link of 10 Mbit/s that is busy.
constexpr milliseconds query_timeout{400};

} // namespace

configuration_exchange::configuration_exchange(
    event_loop& loop, configuration_follower& configuration)
    : loop(loop)
    , configuration(configuration)
{
}

configuration_exchange::~configuration_exchange()
{
    *this->alive = false;
}

void configuration_exchange::handle_peer_version(
    std::int64_t peer_version, rpc_client& peer)
{
    time_point now = this->loop.now();
    bool is_waiting =
        this->requested_at && now - *this->requested_at < query_timeout;
    if (peer_version <= this->version() || is_waiting)
    {
        return;
    }
    this->requested_at = now;
    peer.request(message_type::configuration_query,
        pack(configuration_query{this->version()}), query_timeout,
        [this, address = peer.address(), alive = this->alive](
            rpc_result const& result)
        {
            if (*alive)
            {
                this->requested_at.reset();
                this->handle_reply(result, address);
            }
        });
}

void configuration_exchange::handle_reply(
    rpc_result const& result, std::string const& peer)
{
    try
    {
        auto reply = result.as<configuration_reply>(
            message_type::configuration_reply, peer);
        // Empty when this instance has learned the version in the meantime.
        if (!reply.document.empty())
        {
            this->configuration.adopt(reply.document, peer);
        }
    }
    catch (error const& problem)
    {
        log_line("config-not-told")
            .with("peer", peer)
            .with("in_force", this->version())
            .with("problem", problem.what());
    }
}

configuration_reply configuration_exchange::reply_to(
    configuration_query const& query) const
{
    configuration_reply reply;
    if (query.version < this->version())
    {
        reply.document = this->configuration.document();
    }
    return reply;
}

} // namespace toucanlever
