/// Messages that carry a configuration between processes piece by piece.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace toucanlever
{

/// Asks an instance for a piece of the configuration in force there.
struct configuration_query
{
    /// The version in force at the sender.
    std::int64_t version = 0;
    /// Bytes of the document of version `partial_version` that the sender has
    /// received; the piece begins there. If another version is in force, the
    /// piece begins at its first byte.
    std::int64_t partial_version = 0;
    std::int64_t offset = 0;
    /// Maximum length of the piece; 0 for the whole document, as instances of
    /// earlier versions ask for it.
    std::int64_t max_bytes = 0;

    MSGPACK_DEFINE(version, partial_version, offset, max_bytes)
};

/// A piece of the operator's document as the store holds it; empty unless its
/// version is higher than that of the query.
struct configuration_reply
{
    std::string piece;
    /// The version of the document, where the piece begins in it, and the
    /// length of the whole; all 0 from instances of earlier versions, which
    /// send the whole document.
    std::int64_t version = 0;
    std::int64_t offset = 0;
    std::int64_t document_bytes = 0;

    MSGPACK_DEFINE(piece, version, offset, document_bytes)
};

} // namespace toucanlever
