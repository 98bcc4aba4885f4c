#include "toucanlever/wire/frame.hpp"

#include "toucanlever/core/error.hpp"
#include "toucanlever/wire/codec.hpp"
#include "toucanlever/wire/messages.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

bool refuses(std::string const& bytes)
{
    frame_decoder decoder;
    decoder.feed(bytes);
    try
    {
        decoder.next();
        return false;
    }
    catch (error const&)
    {
        return true;
    }
}

} // namespace

Test(frame, a_frame_that_arrives_byte_by_byte_is_decoded)
{
    std::string bytes =
        encode_frame({message_type::submit, 7, 1500, std::string("\0ab", 3)});
    frame_decoder decoder;
    for (std::size_t i = 0; i + 1 < bytes.size(); ++i)
    {
        decoder.feed(bytes.substr(i, 1));
        cr_assert(not decoder.next());
    }
    decoder.feed(bytes.substr(bytes.size() - 1));
    auto got = decoder.next();
    cr_assert(got.has_value());
    cr_assert(got->type == message_type::submit);
    cr_assert(got->correlation == 7U);
    cr_assert(got->deadline_ms == 1500U);
    cr_assert(got->body == std::string("\0ab", 3));
}

Test(frame, several_frames_in_one_read_come_out_in_order)
{
    frame_decoder decoder;
    decoder.feed(encode_frame({message_type::ping, 1, 0, ""}) +
                 encode_frame({message_type::pong, 2, 0, "x"}));
    cr_assert(decoder.next()->correlation == 1U);
    cr_assert(decoder.next()->correlation == 2U);
    cr_assert(not decoder.next());
}

Test(frame, a_wrong_length_version_or_type_is_refused)
{
    std::string good = encode_frame({message_type::ping, 1, 0, ""});
    std::string too_long = good;
    too_long[0] = '\x7f';
    std::string too_short = good;
    too_short[3] = 3;
    std::string version = good;
    version[4] = 9;
    std::string type = good;
    type[5] = '\xee';
    cr_assert(refuses(too_long));
    cr_assert(refuses(too_short));
    cr_assert(refuses(version));
    cr_assert(refuses(type));
    cr_assert(not refuses(good));
}

Test(frame, a_message_of_another_type_is_an_error_that_names_the_peer)
{
    try
    {
        unpack<submit_request>(pack(std::string("no")), "peer-1");
        cr_assert(false);
    }
    catch (error const& problem)
    {
        cr_assert(problem.peer == "peer-1");
    }
}

Test(frame, a_message_with_fields_appended_is_read_by_an_older_reader)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(3);
    packer.pack(std::string("members"));
    packer.pack(std::string("argument"));
    packer.pack(std::string("a later field"));
    auto got = unpack<operator_query>(
        std::string(buffer.data(), buffer.size()), "peer");
    cr_assert(got.what == "members");
}
