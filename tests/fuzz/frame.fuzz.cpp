/// Feeds arbitrary bytes to the frame decoder, and the bodies of complete
/// frames to the message readers. They may throw `error` and nothing else.
#include "toucanlever/wire/frame.hpp"
#include "toucanlever/core/error.hpp"
#include "toucanlever/wire/codec.hpp"
#include "toucanlever/wire/messages.hpp"

#include <cstddef>
#include <cstdint>

namespace
{

using namespace toucanlever;

template <typename Message>
void try_read(std::string const& body)
{
    try
    {
        unpack<Message>(body, "fuzz");
    }
    catch (error const&)
    {
        // Expected for malformed input.
    }
}

void read_body(std::string const& body)
{
    try_read<state_request>(body);
    try_read<state_reply>(body);
    try_read<submit_request>(body);
    try_read<offer_request>(body);
    try_read<claim_request>(body);
    try_read<job_view>(body);
}

/// Decodes the bytes in two feeds, split at `cut`, and returns the number of
/// frames. The result must not depend on `cut`.
std::size_t count_frames(std::string_view bytes, std::size_t cut)
{
    frame_decoder decoder;
    std::size_t count = 0;
    for (std::string_view part : {bytes.substr(0, cut), bytes.substr(cut)})
    {
        decoder.feed(part);
        while (auto message = decoder.next())
        {
            ++count;
            read_body(message->body);
        }
    }
    return count;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(
    std::uint8_t const* data, std::size_t size)
{
    std::string_view bytes(reinterpret_cast<char const*>(data), size);
    read_body(std::string(bytes));
    try
    {
        if (count_frames(bytes, size / 2) != count_frames(bytes, size))
        {
            __builtin_trap();
        }
    }
    catch (error const&)
    {
        // Expected for malformed input.
    }
    return 0;
}
