#include "toucanlever/cell/order_relay.hpp"

#include "toucanlever/cell/cell_messages.hpp"
#include "toucanlever/core/log.hpp"

namespace toucanlever
{
namespace
{

constexpr milliseconds tick_period{100};
/// A longer gap between two ticks means that the process was stalled; on a busy
/// machine the gaps are shorter.
constexpr milliseconds max_tick_gap{1000};
/// Long enough to read what the sockets buffered during a stall.
constexpr milliseconds catch_up_time{200};

} // namespace

order_relay::order_relay(event_loop& loop, worker_orders& workers)
    : loop(loop)
    , workers(workers)
    , last_tick(loop.now())
{
    this->timer = loop.every(tick_period, [this] { this->detect_stall(); });
}

order_relay::~order_relay()
{
    this->loop.cancel(this->timer);
}

void order_relay::detect_stall()
{
    time_point now = this->loop.now();
    if (now - this->last_tick > max_tick_gap)
    {
        auto gap =
            std::chrono::duration_cast<milliseconds>(now - this->last_tick);
        log_line("stood-still").with("for_ms", gap.count());
        this->refuse_until = now + catch_up_time;
    }
    this->last_tick = now;
}

void order_relay::require_usable()
{
    // After a stall, sockets may be read before the timer runs.
    this->detect_stall();
    bool was_stalled = this->loop.now() < this->refuse_until;
    if (was_stalled || this->shutting_down)
    {
        throw error(error_code::unavailable,
            was_stalled
                ? "this instance was stalled, so the order may be stale "
                  "and is not relayed"
                : "this instance is shutting down; the order is not relayed",
            "relay-order", {}, run_state::no);
    }
}

bool order_relay::handle_request(
    frame const& request, std::string const& peer, rpc_responder respond)
{
    switch (request.type)
    {
    case message_type::relayed_start:
    {
        this->require_usable();
        auto message = unpack<relayed_start>(request.body, peer);
        this->workers.start(message.worker, message.order,
            [respond = std::move(respond)](order_result const& result)
            { respond(message_type::order_reply, pack(result)); });
        return true;
    }
    case message_type::relayed_stop:
    {
        this->require_usable();
        auto message = unpack<relayed_stop>(request.body, peer);
        this->workers.stop(message.worker, message.order,
            [respond = std::move(respond)](order_result const& result)
            { respond(message_type::order_reply, pack(result)); });
        return true;
    }
    case message_type::relayed_watch:
    {
        this->require_usable();
        auto message = unpack<relayed_watch>(request.body, peer);
        this->workers.watch(message.worker, message.order,
            [respond = std::move(respond)](watch_result const& result)
            { respond(message_type::watch_reply, pack(result)); });
        return true;
    }
    default:
        return false;
    }
}

} // namespace toucanlever
