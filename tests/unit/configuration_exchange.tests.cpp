/// An instance without the store that learns the configuration from a peer
/// over a link of 10 Mbit/s.
#include "toucanlever/cell/configuration_exchange.hpp"

#include "fake_record_store.hpp"
#include "loopback.hpp"
#include "narrow_relay.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <vector>

using namespace toucanlever;

namespace
{

constexpr std::int64_t link_bytes_per_s = 1'250'000;
constexpr milliseconds hello_period{500};

/// Documents of these tests are a version number and padding.
std::optional<cell_configuration> decode_version(std::string const& text)
{
    cell_configuration result;
    result.version = std::atoll(text.c_str());
    return result.version > 0 ? std::optional(result) : std::nullopt;
}

/// The messages of instances of earlier versions.
struct earlier_query
{
    std::int64_t version = 0;

    MSGPACK_DEFINE(version)
};

struct earlier_reply
{
    std::string document;

    MSGPACK_DEFINE(document)
};

/// The configuration of one instance, and its part in the exchange.
struct configured_instance
{
    explicit configured_instance(event_loop& loop)
        : store(loop)
        , follower(loop, this->store,
              configuration_source{"op", "config", &decode_version},
              this->queues)
        , exchange(loop, this->follower)
    {
    }

    fake_record_store store;
    queue_directory queues;
    configuration_follower follower;
    configuration_exchange exchange;
};

/// Replies to queries for the configuration, and to hellos with an
/// acknowledgement.
class exchange_handler final : public rpc_handler
{
public:
    explicit exchange_handler(configuration_exchange& exchange)
        : exchange(exchange)
    {
    }

    void on_request(frame const& request, std::string const& peer,
        rpc_responder respond) override
    {
        if (request.type == message_type::configuration_query &&
            this->is_earlier_version)
        {
            auto query = unpack<earlier_query>(request.body, peer);
            configuration_reply whole =
                this->exchange.reply_to({query.version, 0, 0, 0});
            respond(message_type::configuration_reply,
                pack(earlier_reply{whole.piece}));
            return;
        }
        if (request.type == message_type::configuration_query)
        {
            respond(message_type::configuration_reply,
                pack(this->exchange.reply_to(
                    unpack<configuration_query>(request.body, peer))));
            return;
        }
        respond(message_type::ack, {});
    }

    /// Reads and replies to queries as earlier versions do.
    bool is_earlier_version = false;

private:
    configuration_exchange& exchange;
};

/// A peer that has the document, and an instance that the store turns away and
/// that sends hellos to the peer.
class narrow_exchange
{
public:
    explicit narrow_exchange(std::int64_t bytes_per_s = link_bytes_per_s)
        : relay(this->loop, this->relay_address, this->server_address,
              bytes_per_s)
    {
        this->receiver.store.unavailable = true;
        this->loop.every(hello_period, [this] { this->send_hello(); });
        this->run_for(milliseconds(700));
    }

    void write(std::int64_t version, std::size_t bytes)
    {
        this->sender.store.set({"op", "", "config"},
            std::to_string(version) + ' ' + std::string(bytes, 'x'));
    }

    void run_for(milliseconds duration)
    {
        constexpr milliseconds step{5};
        for (milliseconds elapsed{0}; elapsed < duration; elapsed += step)
        {
            this->time.advance(step);
            // Each pass lets the sockets deliver what the last one wrote.
            for (int pass = 0; pass < 4; ++pass)
            {
                this->loop.run_ready();
            }
        }
    }

    void send_hello()
    {
        if (!this->peer.connected())
        {
            return;
        }
        ++this->hellos;
        this->peer.request(message_type::member_hello, {}, hello_period,
            [this](rpc_result const& result)
            {
                if (!result.problem)
                {
                    ++this->hello_replies;
                    this->receiver.exchange.handle_peer_version(
                        this->sender.exchange.version(), this->peer);
                }
            });
    }

    std::int64_t version() const { return this->receiver.queues.version(); }

    manual_clock time;
    event_loop loop{this->time};
    configured_instance sender{this->loop};
    configured_instance receiver{this->loop};
    exchange_handler handler{this->sender.exchange};
    std::string const server_address = own_ip(1) + ":7510";
    std::string const relay_address = own_ip(2) + ":7510";
    rpc_server server{
        this->loop, this->server_address, this->handler, rpc_timing{}};
    narrow_relay relay;
    rpc_client peer{this->loop, this->relay_address, rpc_timing{}};
    int hellos = 0;
    int hello_replies = 0;
};

} // namespace

Test(configuration_exchange,
    a_document_that_a_slow_link_carries_in_more_than_the_time_of_a_reply_arrives)
{
    narrow_exchange cell;
    cell.write(9, 800'000);
    cell.run_for(milliseconds(3000));
    cr_assert(cell.version() == 9);
}

Test(configuration_exchange,
    a_large_document_does_not_keep_other_messages_from_a_slow_link)
{
    narrow_exchange cell;
    cell.write(9, 800'000);
    cell.run_for(milliseconds(5000));
    cr_assert(cell.hellos - cell.hello_replies <= 1);
    cr_assert(cell.relay.forwarded_bytes < 1'000'000);
}

Test(configuration_exchange, a_lost_link_does_not_lose_what_has_been_received)
{
    narrow_exchange cell;
    cell.write(9, 800'000);
    cell.run_for(milliseconds(900));
    cell.relay.disconnect();
    cell.run_for(milliseconds(3000));
    cr_assert(cell.version() == 9);
    cr_assert(cell.relay.forwarded_bytes < 1'000'000);
}

Test(configuration_exchange, a_document_that_is_replaced_midway_is_not_mixed_up)
{
    narrow_exchange cell;
    cell.write(9, 800'000);
    cell.run_for(milliseconds(600));
    cr_assert(cell.relay.forwarded_bytes > 100'000);
    std::vector<std::int64_t> adopted;
    cell.receiver.follower.on_adopted(
        [&cell, &adopted] { adopted.push_back(cell.version()); });
    cell.write(12, 400'000);
    cell.run_for(milliseconds(3000));
    // A mixed document would be adopted under the version of its first piece.
    cr_assert(adopted == std::vector<std::int64_t>{12});
    cr_assert(
        cell.receiver.follower.document() == cell.sender.follower.document());
}

Test(configuration_exchange, a_version_from_the_store_ends_the_transfer)
{
    narrow_exchange cell;
    cell.write(9, 800'000);
    cell.run_for(milliseconds(600));
    cell.receiver.store.unavailable = false;
    cell.receiver.store.set({"op", "", "config"}, "9 from the store");
    cell.run_for(milliseconds(1000));
    cr_assert(cell.version() == 9);
    std::int64_t received = cell.relay.forwarded_bytes;
    cell.run_for(milliseconds(2000));
    cr_assert(cell.relay.forwarded_bytes - received < 10'000);
}

Test(configuration_exchange, an_instance_of_an_earlier_version_gets_the_whole)
{
    narrow_exchange cell;
    cell.write(9, 100'000);
    cell.run_for(milliseconds(100));
    // Earlier versions send no more than the version in force.
    configuration_reply reply =
        cell.sender.exchange.reply_to(configuration_query{4, 0, 0, 0});
    cr_assert(reply.piece == cell.sender.follower.document());
    cr_assert(reply.document_bytes == 0);
}

Test(configuration_exchange, messages_of_earlier_versions_are_understood)
{
    narrow_exchange cell;
    cell.write(9, 100'000);
    cell.run_for(milliseconds(100));
    auto query =
        unpack<configuration_query>(pack(earlier_query{4}), "earlier version");
    auto reply = unpack<earlier_reply>(
        pack(cell.sender.exchange.reply_to(query)), "this version");
    cr_assert(reply.document == cell.sender.follower.document());
}

Test(configuration_exchange, a_peer_of_an_earlier_version_sends_its_document)
{
    narrow_exchange cell;
    cell.handler.is_earlier_version = true;
    cell.write(9, 100'000);
    cell.run_for(milliseconds(1500));
    cr_assert(cell.version() == 9);
    cr_assert(cell.relay.forwarded_bytes < 150'000);
}

Test(configuration_exchange, pieces_shrink_until_a_link_carries_them_in_time)
{
    narrow_exchange cell(20'000);
    cell.write(9, 50'000);
    cell.run_for(milliseconds(15000));
    cr_assert(cell.version() == 9);
}

Test(configuration_exchange, a_peer_is_asked_only_if_the_store_does_not_deliver)
{
    narrow_exchange cell;
    cell.receiver.store.unavailable = false;
    cell.run_for(milliseconds(1500));
    std::int64_t before = cell.relay.forwarded_bytes;
    cell.write(9, 800'000);
    cell.run_for(milliseconds(350));
    cell.receiver.store.set({"op", "", "config"}, "9 from the store");
    cell.run_for(milliseconds(2000));
    cr_assert(cell.relay.forwarded_bytes - before < 10'000);
    cell.write(12, 800'000);
    cell.run_for(milliseconds(2000));
    cr_assert(cell.version() == 12);
}

Test(configuration_exchange,
    a_request_that_outlives_its_time_limit_does_not_lose_what_has_been_received)
{
    narrow_exchange cell;
    cell.write(9, 800'000);
    cell.run_for(milliseconds(900));
    // The process is paused after its timers have run and before it reads
    // another hello of the peer.
    cell.send_hello();
    cell.time.advance(milliseconds(420));
    cell.receiver.exchange.handle_peer_version(9, cell.peer);
    cell.run_for(milliseconds(3000));
    cr_assert(cell.version() == 9);
    cr_assert(cell.relay.forwarded_bytes < 1'000'000);
}

// Guards against a reply that was long on its way and is taken for a recent
// confirmation, and against values that no instance sends.
Test(configuration_exchange, a_confirmation_counts_from_the_sending_of_a_hello)
{
    manual_clock time;
    event_loop loop{time};
    time.advance(std::chrono::hours(1));
    configured_instance member(loop);
    member.store.unavailable = true;
    member.follower.adopt("4", "peer");
    time.advance(milliseconds(7000));
    time_point now = loop.now();
    member.exchange.handle_confirmation(4, 300, now - milliseconds(200));
    cr_assert(member.exchange.confirmed_age_ms() == 500);
    for (std::int64_t age : {std::int64_t(-1), INT64_MIN, INT64_MAX})
    {
        member.exchange.handle_confirmation(4, age, now);
    }
    member.exchange.handle_confirmation(5, 0, now);
    cr_assert(member.exchange.confirmed_age_ms() == 500);
}
