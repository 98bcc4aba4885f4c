/// Frames between the system's own processes: a fixed header in network byte
/// order and a msgpack body.
///
///     length u32 | version u8 | type u8 | correlation u64 | deadline_ms u32
///
/// `length` counts everything after itself.
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
constexpr std::size_t frame_header_bytes = 14;
constexpr std::size_t max_frame_bytes = 16U * 1024U * 1024U;

/// One message on a link. `correlation` pairs a reply with its request and is
/// zero for messages that want none.
struct frame
{
    message_type type = message_type::ping;
    std::uint64_t correlation = 0;
    std::uint32_t deadline_ms = 0;
    std::string body;
};

/// The bytes of a frame as they travel.
std::string encode_frame(frame const& message);

/// Cuts a stream of bytes into frames.
class frame_decoder
{
public:
    explicit frame_decoder(std::size_t max_bytes = max_frame_bytes)
        : max_bytes(max_bytes)
    {
    }

    void feed(std::string_view bytes);

    /// The next whole frame, or nothing until more bytes arrive. Throws an
    /// `error` for a wrong length, version or type; the stream is unusable
    /// after that.
    std::optional<frame> next();

private:
    std::size_t max_bytes;
    std::string buffer;
    // Invariant: offset <= buffer.size(); bytes before it are consumed.
    std::size_t offset = 0;
};

} // namespace toucanlever
