/// Tests what a gateway concludes from the answers of schedulers.
#include "toucanlever/gateway/scheduler_pool.hpp"

#include "loopback.hpp"
#include "toucanlever/wire/rpc.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

/// A scheduler of domain "b" that stops answering polls when it is cut off.
class remote_scheduler final : public rpc_handler
{
public:
    void on_request(frame const& request, std::string const&,
        rpc_responder respond) override
    {
        if (this->cut_off || request.type != message_type::state_request)
        {
            return;
        }
        state_reply reply;
        reply.state.incarnation = "b.s.1";
        reply.state.domain = "b";
        reply.state.ready = true;
        respond(message_type::state_reply, pack(reply));
    }

    bool cut_off = false;
};

struct pool_fixture
{
    pool_fixture()
        : server(this->loop, own_ip(2) + ":7300", this->scheduler, rpc_timing{})
    {
        this->settings.schedulers = {own_ip(2) + ":7300"};
        this->pool =
            std::make_unique<scheduler_pool>(this->loop, this->settings);
    }

    void advance(milliseconds span)
    {
        constexpr milliseconds step{50};
        for (milliseconds elapsed{0}; elapsed < span; elapsed += step)
        {
            this->time.advance(step);
            this->loop.run_ready();
        }
    }

    manual_clock time;
    event_loop loop{this->time};
    gateway_settings settings;
    remote_scheduler scheduler;
    rpc_server server;
    std::unique_ptr<scheduler_pool> pool;
};

} // namespace

Test(scheduler_pool, a_domain_that_was_cut_off_after_a_request_arrived_is_known)
{
    pool_fixture fixture;
    fixture.advance(milliseconds(2000));
    time_point arrived = fixture.loop.now();
    fixture.advance(milliseconds(700));
    cr_assert(fixture.pool->has_answered_since("b", arrived));
    cr_assert_not(fixture.pool->has_answered_since("c", arrived));
    fixture.scheduler.cut_off = true;
    arrived = fixture.loop.now();
    fixture.advance(milliseconds(700));
    // It still counts as live, but has not answered since.
    cr_assert(fixture.pool->live_schedulers("b").size() == 1U);
    cr_assert_not(fixture.pool->has_answered_since("b", arrived));
}
