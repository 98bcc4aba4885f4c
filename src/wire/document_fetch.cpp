#include "toucanlever/wire/document_fetch.hpp"

#include "toucanlever/core/log.hpp"
#include "toucanlever/wire/codec.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

constexpr milliseconds query_timeout{400};
/// The largest piece takes 30 ms on a link of 10 Mbit/s, which is what other
/// messages wait for it at most. The smallest one gets through where messages
/// of the usual size do.
constexpr std::int64_t max_piece_bytes = 32768;
constexpr std::int64_t min_piece_bytes = 2048;

} // namespace

document_fetch::document_fetch(event_loop& loop,
    std::function<std::int64_t()> version,
    std::function<void(std::string const&, std::string const&)> deliver)
    : loop(loop)
    , version(std::move(version))
    , deliver(std::move(deliver))
    , piece_bytes(max_piece_bytes)
{
}

document_fetch::~document_fetch()
{
    *this->alive = false;
}

void document_fetch::request_from(rpc_client& peer)
{
    bool is_waiting = this->requested_at &&
                      this->loop.now() - *this->requested_at < query_timeout;
    if (!is_waiting)
    {
        this->request_piece(peer);
    }
}

void document_fetch::request_piece(rpc_client& peer)
{
    this->requested_at = this->loop.now();
    configuration_query query{this->version(), this->partial.version,
        static_cast<std::int64_t>(this->partial.text.size()),
        this->piece_bytes};
    std::uint64_t number = ++this->last_request;
    // `peer` exists while it calls the callback.
    peer.request(message_type::configuration_query, pack(query), query_timeout,
        [this, &peer, number, alive = this->alive](rpc_result const& result)
        {
            if (*alive && number == this->last_request)
            {
                this->requested_at.reset();
                this->handle_result(result, peer);
            }
        });
}

void document_fetch::handle_result(rpc_result const& result, rpc_client& peer)
{
    if (result.problem && result.problem->code == error_code::timeout)
    {
        this->piece_bytes = std::max(this->piece_bytes / 2, min_piece_bytes);
    }
    try
    {
        this->handle_piece(
            result.as<configuration_reply>(
                message_type::configuration_reply, peer.address()),
            peer);
    }
    catch (error const& problem)
    {
        // The next call of `request_from` asks for the same piece again.
        log_line("config-not-told")
            .with("peer", peer.address())
            .with("in_force", this->version())
            .with("received_version", this->partial.version)
            .with("received_bytes", this->partial.text.size())
            .with("problem", problem.what());
    }
}

void document_fetch::handle_piece(
    configuration_reply const& reply, rpc_client& peer)
{
    // The version may have come from the store in the meantime; the piece is
    // empty when that was before the query.
    bool is_whole = reply.document_bytes == 0;
    bool is_known = !is_whole && reply.version <= this->version();
    if (reply.piece.empty() || is_known)
    {
        this->partial = {};
        return;
    }
    if (is_whole || reply.version != this->partial.version)
    {
        this->partial = {reply.version, {}};
    }
    if (reply.offset != static_cast<std::int64_t>(this->partial.text.size()))
    {
        this->partial = {};
        throw error(error_code::bad_request,
            "the piece does not continue the document", "read-reply",
            peer.address());
    }
    this->piece_bytes = std::min(this->piece_bytes * 2, max_piece_bytes);
    this->partial.text += reply.piece;
    if (!is_whole && static_cast<std::int64_t>(this->partial.text.size()) <
                         reply.document_bytes)
    {
        this->request_piece(peer);
        return;
    }
    partial_document received = std::move(this->partial);
    this->partial = {};
    this->deliver(received.text, peer.address());
}

configuration_reply cut_piece(configuration_query const& query,
    std::int64_t version, std::string const& document)
{
    configuration_reply reply;
    if (query.version >= version)
    {
        return reply;
    }
    auto size = static_cast<std::int64_t>(document.size());
    if (query.max_bytes <= 0)
    {
        reply.piece = document;
        return reply;
    }
    reply.version = version;
    reply.document_bytes = size;
    bool continues = query.partial_version == reply.version &&
                     query.offset >= 0 && query.offset < size;
    reply.offset = continues ? query.offset : 0;
    reply.piece = document.substr(static_cast<std::size_t>(reply.offset),
        static_cast<std::size_t>(query.max_bytes));
    return reply;
}

} // namespace toucanlever
