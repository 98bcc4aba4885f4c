#include "toucanlever/wire/frame.hpp"

#include "toucanlever/core/error.hpp"

namespace toucanlever
{
namespace
{

template <typename Integer>
void put(std::string& out, Integer value)
{
    for (int shift = (static_cast<int>(sizeof(Integer)) - 1) * 8; shift >= 0;
         shift -= 8)
    {
        out += static_cast<char>((value >> shift) & 0xffU);
    }
}

template <typename Integer>
Integer get(std::string const& in, std::size_t at)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(Integer); ++i)
    {
        value = (value << 8U) | static_cast<unsigned char>(in[at + i]);
    }
    return static_cast<Integer>(value);
}

[[noreturn]] void refuse(std::string const& what)
{
    throw error(error_code::bad_request, what, "decode-frame");
}

} // namespace

std::string encode_frame(frame const& message)
{
    std::string out;
    out.reserve(frame_length_bytes + frame_header_bytes + message.body.size());
    put(out,
        static_cast<std::uint32_t>(frame_header_bytes + message.body.size()));
    put(out, wire_version);
    put(out, static_cast<std::uint8_t>(message.type));
    put(out, message.correlation);
    put(out, message.deadline_ms);
    out += message.body;
    return out;
}

void frame_decoder::feed(std::string_view bytes)
{
    if (this->offset > 0 && this->offset == this->buffer.size())
    {
        this->buffer.clear();
        this->offset = 0;
    }
    this->buffer.append(bytes);
}

std::optional<frame> frame_decoder::next()
{
    std::size_t available = this->buffer.size() - this->offset;
    if (available < frame_length_bytes)
    {
        return std::nullopt;
    }
    auto length = get<std::uint32_t>(this->buffer, this->offset);
    if (length < frame_header_bytes || length > this->max_bytes)
    {
        refuse("frame length " + std::to_string(length) + " is out of range");
    }
    if (available >= frame_length_bytes + 1)
    {
        auto version =
            get<std::uint8_t>(this->buffer, this->offset + frame_length_bytes);
        if (version != wire_version)
        {
            refuse("frame version " + std::to_string(version) +
                   " is not supported");
        }
    }
    if (available < frame_length_bytes + length)
    {
        return std::nullopt;
    }
    std::size_t at = this->offset + frame_length_bytes;
    frame message;
    message.type =
        static_cast<message_type>(get<std::uint8_t>(this->buffer, at + 1));
    if (name_of(message.type) == "?")
    {
        refuse("unknown frame type");
    }
    message.correlation = get<std::uint64_t>(this->buffer, at + 2);
    message.deadline_ms = get<std::uint32_t>(this->buffer, at + 10);
    message.body = this->buffer.substr(
        at + frame_header_bytes, length - frame_header_bytes);
    this->offset = at + length;
    // Erasing after every frame would copy the rest of the buffer each time.
    constexpr std::size_t compact_above_bytes = 65536;
    if (this->offset > compact_above_bytes)
    {
        this->buffer.erase(0, this->offset);
        this->offset = 0;
    }
    return message;
}

} // namespace toucanlever
