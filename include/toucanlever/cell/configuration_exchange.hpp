/// Passes configurations on between instances, so that one that the store turns
/// away learns a version from the others.
///
/// Hellos and their replies name the version in force at the sender; whoever is
/// behind asks the sender for its document. The document may be larger than a
/// link carries in the time of one reply, so it is requested piece by piece:
/// what has arrived is kept, and other messages pass between two pieces. While
/// the store answers, it is given some time to deliver the version itself, so
/// that two copies share only links that are too slow for one in that time.
#pragma once

#include "toucanlever/cell/cell_messages.hpp"
#include "toucanlever/cell/configuration_follower.hpp"
#include "toucanlever/wire/document_fetch.hpp"
#include "toucanlever/wire/rpc.hpp"

#include <cstdint>

namespace toucanlever
{

/// The part of one instance in the exchange.
class configuration_exchange
{
public:
    configuration_exchange(
        event_loop& loop, configuration_follower& configuration);

    /// The version in force at this instance.
    std::int64_t version() const
    {
        return this->configuration.queues().version();
    }

    /// `peer` has this version in force; its document is requested if the
    /// version is higher than the one in force here, and the store is not
    /// expected to deliver it.
    void handle_peer_version(std::int64_t peer_version, rpc_client& peer);

    /// How long ago the version in force here was confirmed to be the newest
    /// one, in milliseconds, rounded up; -1 when it never was.
    std::int64_t confirmed_age_ms() const;

    /// Another instance replied to a message that was sent at `sent_at` that
    /// `version` was confirmed `age_ms` before the reply; -1 for unknown. The
    /// confirmation is dated back to the sending, because it is not known how
    /// long the reply took.
    void handle_confirmation(
        std::int64_t version, std::int64_t age_ms, time_point sent_at);

    /// The reply to another instance's query.
    configuration_reply reply_to(configuration_query const& query) const;

private:
    /// Notes that the version exists; true when the store does not answer, or
    /// has not delivered the version in the time that it is given.
    bool should_request(std::int64_t peer_version);

    event_loop& loop;
    configuration_follower& configuration;
    // The highest version that a peer has named, and when it first did.
    std::int64_t newest_version = 0;
    time_point newest_known_at{};
    document_fetch fetch;
};

} // namespace toucanlever
