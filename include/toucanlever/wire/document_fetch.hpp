/// Fetches the configuration of a peer piece by piece.
///
/// A document may be larger than a link carries in the time of one reply: what
/// has arrived is kept, and other messages pass between two pieces.
#pragma once

#include "toucanlever/wire/configuration_messages.hpp"
#include "toucanlever/wire/rpc.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace toucanlever
{

/// The requesting side, which receives one document at a time.
class document_fetch
{
public:
    /// `version` returns the version in force here; `deliver` receives each
    /// document that has arrived completely, and the address it came from.
    document_fetch(event_loop& loop, std::function<std::int64_t()> version,
        std::function<void(std::string const&, std::string const&)> deliver);
    ~document_fetch();

    /// Requests the next piece unless a request is waiting for its reply; the
    /// pieces after it follow. A caller repeats this for as long as the peer
    /// has a higher version, because a piece may be lost.
    void request_from(rpc_client& peer);

private:
    /// The part of a document that has been received. All peers have the same
    /// document of a version, so that any of them can continue it.
    struct partial_document
    {
        std::int64_t version = 0;
        std::string text;
    };

    void request_piece(rpc_client& peer);
    void handle_result(rpc_result const& result, rpc_client& peer);
    void handle_piece(configuration_reply const& reply, rpc_client& peer);

    event_loop& loop;
    std::function<std::int64_t()> version;
    std::function<void(std::string const&, std::string const&)> deliver;
    partial_document partial;
    // Halved when a piece gets no reply in time, doubled when it does.
    std::int64_t piece_bytes;
    // When a request was sent that has not been answered. A link that is
    // destroyed drops its requests without an answer.
    std::optional<time_point> requested_at;
    // Number of the latest request. The result of an earlier one is ignored:
    // two of them at a time would ask for the same piece.
    std::uint64_t last_request = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

/// The reply to a query of a peer that has a lower version; empty for others.
configuration_reply cut_piece(configuration_query const& query,
    std::int64_t version, std::string const& document);

} // namespace toucanlever
