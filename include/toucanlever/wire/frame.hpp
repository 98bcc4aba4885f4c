/// Frames between processes of the system: a fixed header in network byte
/// order and a msgpack body.
///
///     length u32 | version u8 | type u8 | correlation u64 | deadline_ms u32
///
/// `length` counts the bytes after the length field.
#pragma once

#include "toucanlever/wire/message_type.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace toucanlever
{

constexpr std::uint8_t wire_version = 1;
constexpr std::size_t frame_length_bytes = 4;
/// The header without its length field.
constexpr std::size_t frame_header_bytes = 14;
/// Maximum value of the length field.
constexpr std::size_t max_frame_bytes = 16U * 1024U * 1024U;

/// One message on a link. `correlation` matches a reply to its request; zero
/// for messages without a reply. `deadline_ms` is the requester's timeout; zero
/// for other messages.
struct frame
{
    message_type type = message_type::ping;
    std::uint64_t correlation = 0;
    std::uint32_t deadline_ms = 0;
    std::string body;
};

/// Serialises a frame.
std::string encode_frame(frame const& message);

/// Splits a byte stream into frames.
class frame_decoder
{
public:
    explicit frame_decoder(std::size_t max_bytes = max_frame_bytes)
        : max_bytes(max_bytes)
    {
    }

    void feed(std::string_view bytes);

    /// The next complete frame; `std::nullopt` when more bytes are needed.
    /// Throws an `error` for an invalid length, version or type; the stream
    /// cannot be decoded any further after that.
    std::optional<frame> next();

private:
    std::size_t max_bytes;
    std::string buffer;
    // Invariant: offset <= buffer.size(); bytes before it are consumed.
    std::size_t offset = 0;
};

} // namespace toucanlever
