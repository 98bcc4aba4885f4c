#include "toucanlever/cell/configuration_exchange.hpp"

namespace toucanlever
{
namespace
{

/// How long a store that answers is given to deliver a version.
constexpr milliseconds store_head_start{400};
/// Confirmations older than this are of no use to any revocation bound. Also
/// keeps the arithmetic on ages from other instances within its range.
constexpr std::int64_t max_confirmed_age_ms = 600'000;

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

std::int64_t configuration_exchange::confirmed_age_ms() const
{
    std::optional<time_point> confirmed = this->configuration.confirmed_time();
    return confirmed
               ? std::chrono::ceil<milliseconds>(this->loop.now() - *confirmed)
                     .count()
               : -1;
}

void configuration_exchange::handle_confirmation(
    std::int64_t version, std::int64_t age_ms, time_point sent_at)
{
    if (age_ms >= 0 && age_ms <= max_confirmed_age_ms)
    {
        this->configuration.attest(version, sent_at - milliseconds(age_ms));
    }
}

configuration_reply configuration_exchange::reply_to(
    configuration_query const& query) const
{
    return cut_piece(query, this->version(), this->configuration.document());
}

} // namespace toucanlever
