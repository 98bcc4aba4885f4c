/// msgpack encoding of frame bodies. Limits bound how much memory a peer can
/// make this process allocate.
#pragma once

#include "toucanlever/core/error.hpp"

#include <msgpack.hpp>
#include <string>

namespace toucanlever
{

/// Encodes a message as msgpack.
template <typename Message>
std::string pack(Message const& message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return std::string(buffer.data(), buffer.size());
}

/// Decodes a message. Throws an `error` that names `peer` when the body is
/// malformed, exceeds a limit or is not of the message type.
template <typename Message>
Message unpack(std::string const& body, std::string const& peer)
{
    constexpr std::size_t max_items = 1U << 20U;
    constexpr std::size_t max_bytes = 16U * 1024U * 1024U;
    constexpr std::size_t max_depth = 16;
    try
    {
        msgpack::unpack_limit limit(
            max_items, max_items, max_bytes, max_bytes, max_bytes, max_depth);
        msgpack::object_handle handle =
            msgpack::unpack(body.data(), body.size(), nullptr, nullptr, limit);
        return handle.get().as<Message>();
    }
    catch (std::exception const& problem)
    {
        throw error(error_code::bad_request,
            std::string("malformed message: ") + problem.what(),
            "decode-message", peer);
    }
}

} // namespace toucanlever
