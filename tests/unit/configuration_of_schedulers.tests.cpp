/// A scheduler and a gateway that learn a large configuration from a scheduler
/// over a link of 1 Mbit/s.
#include "toucanlever/gateway/scheduler_pool.hpp"

#include "narrow_relay.hpp"
#include "scheduler_fixture.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

constexpr std::int64_t link_bytes_per_s = 125'000;
constexpr std::int64_t large_revision = 7;
constexpr std::size_t padding_bytes = 800'000;

/// The scheduler that has the configuration, behind a relay at the address of
/// the fixture's peer.
class narrow_schedulers : public scheduler_fixture
{
public:
    narrow_schedulers()
        : relay(this->loop, this->peer_address, this->sender_address,
              link_bytes_per_s)
    {
        this->peer_settings.name = "p";
        this->peer_settings.domain = "a";
        this->peer_settings.address = this->sender_address;
        std::string const padding(padding_bytes, 'x');
        nlohmann::json snapshot{{"revision", large_revision},
            {"change_id", "c"}, {"author", "test"}, {"preset", "ordinary"},
            {"yaml", fixture_config_yaml + ("# " + padding) + '\n'}};
        this->sender_table.set("config/revision/000000000007", snapshot.dump());
        this->sender_table.set(
            "config/head/revision", std::to_string(large_revision));
        this->sender =
            std::make_unique<scheduler>(this->loop, this->peer_settings,
                scheduler_platform{
                    this->sender_table, this->sender_list, this->sender_worker},
                [] {});
        this->run_for(milliseconds(1500));
    }

    void run_for(milliseconds duration)
    {
        constexpr milliseconds step{10};
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

    std::string const sender_address = own_ip(3) + ":7300";
    narrow_relay relay;

private:
    fake_table sender_table;
    fixed_instance_list sender_list;
    fake_worker sender_worker;
    scheduler_settings peer_settings;
    std::unique_ptr<scheduler> sender;
};

/// A gateway's pool with the relayed scheduler as its only one.
class narrow_pool : public narrow_schedulers
{
public:
    narrow_pool()
    {
        this->pool_settings.schedulers = {this->peer_address};
        this->pool_settings.domain = "a";
        this->pool =
            std::make_unique<scheduler_pool>(this->loop, this->pool_settings);
    }

    std::unique_ptr<scheduler_pool> pool;

private:
    gateway_settings pool_settings;
};

} // namespace

Test(configuration_of_schedulers,
    a_gateway_gets_a_document_that_takes_longer_than_a_heartbeat_may)
{
    narrow_pool gateway;
    gateway.run_for(milliseconds(20'000));
    cr_expect(gateway.pool->snapshot().revision == large_revision);
    cr_expect(gateway.relay.forwarded_bytes < 1'200'000, "%lld bytes",
        static_cast<long long>(gateway.relay.forwarded_bytes));
}

Test(configuration_of_schedulers,
    a_large_document_does_not_make_a_live_scheduler_look_dead_to_a_gateway)
{
    narrow_pool gateway;
    gateway.run_for(milliseconds(5000));
    cr_assert(eq(sz, gateway.pool->live_schedulers("a").size(), 1));
}

Test(configuration_of_schedulers,
    a_scheduler_gets_a_document_that_takes_longer_than_a_heartbeat_may)
{
    narrow_schedulers peers;
    peers.start();
    peers.run_for(milliseconds(20'000));
    std::int64_t forwarded = peers.relay.forwarded_bytes;
    cr_expect(peers.query_state().config_revision == large_revision);
    cr_expect(
        forwarded < 1'200'000, "%lld bytes", static_cast<long long>(forwarded));
}
