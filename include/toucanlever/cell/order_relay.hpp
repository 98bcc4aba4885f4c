/// Relays the active scheduler's orders to workers and returns the workers'
/// replies. It does not inspect the orders: workers check the fencing token.
#pragma once

#include "toucanlever/cell/worker_orders.hpp"
#include "toucanlever/core/event_loop.hpp"
#include "toucanlever/wire/rpc.hpp"

namespace toucanlever
{

/// The relaying side of an entry instance; relayed_orders is the sending side.
class order_relay
{
public:
    order_relay(event_loop& loop, worker_orders& workers);
    ~order_relay();

    /// Relays an order to its worker and responds with the reply; returns false
    /// for any other message. Throws an `error` with `run_state::no` while the
    /// instance shuts down, and for orders that it reads after a stall of its
    /// process: such an order may be seconds old, and its sender may have
    /// resent it by another route.
    bool handle_request(
        frame const& request, std::string const& peer, rpc_responder respond);

    /// Refuses orders from now on, because the instance shuts down soon.
    void begin_shutdown() { this->shutting_down = true; }

private:
    /// Throws unless orders can be relayed now.
    void require_usable();
    /// Detects that the process did not run for a while.
    void detect_stall();

    event_loop& loop;
    worker_orders& workers;
    time_point last_tick;
    // Orders that are read before this time may have waited in a socket during
    // a stall.
    time_point refuse_until{};
    bool shutting_down = false;
    event_loop::timer_id timer = 0;
};

} // namespace toucanlever
