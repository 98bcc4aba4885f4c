#include "toucanlever/cell/configuration_exchange.hpp"

namespace toucanlever
{
namespace
{

/// How long a store that answers is given to deliver a version.
constexpr milliseconds store_head_start{400};

} // namespace

configuration_exchange::configuration_exchange(
    event_loop& loop, configuration_follower& configuration)
    : loop(loop)
    , configuration(configuration)
    , fetch(
          loop, [this] { return this->version(); },
          [this](std::string const& document, std::string const& origin)
          { this->configuration.adopt(document, origin); })
{
}

void configuration_exchange::handle_peer_version(
    std::int64_t peer_version, rpc_client& peer)
{
    if (peer_version > this->version() && this->should_request(peer_version))
    {
        this->fetch.request_from(peer);
    }
}

bool configuration_exchange::should_request(std::int64_t peer_version)
{
    time_point now = this->loop.now();
    if (peer_version > this->newest_version)
    {
        this->newest_version = peer_version;
        this->newest_known_at = now;
    }
    return !this->configuration.is_confirmed() ||
           now - this->newest_known_at >= store_head_start;
}

configuration_reply configuration_exchange::reply_to(
    configuration_query const& query) const
{
    return cut_piece(query, this->version(), this->configuration.document());
}

} // namespace toucanlever
