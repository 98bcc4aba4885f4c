/// Passes the active scheduler's orders on to workers and returns their
/// answers. It knows nothing of them: workers check the fencing token.
#pragma once

#include "toucanlever/cell/worker_orders.hpp"
#include "toucanlever/core/event_loop.hpp"
#include "toucanlever/wire/rpc.hpp"

namespace toucanlever
{

/// One instance's part.
class order_relay
{
public:
    order_relay(event_loop& loop, worker_orders& workers);
    ~order_relay();

    /// Takes a relayed order and answers it; false for any other message.
    /// Throws an `error` that says `ran: no` for what this instance read
    /// after it stood still: the order may be seconds old by then, and its
    /// sender has found another way.
    bool handle_request(
        frame const& request, std::string const& peer, rpc_responder respond);

    /// Refuses orders from now on: the instance ends soon.
    void begin_shutdown() { this->shutting_down = true; }

private:
    void require_usable();
    /// Notices that the instance stood still.
    void detect_stall();

    event_loop& loop;
    worker_orders& workers;
    time_point last_tick;
    // What arrives until then may have waited in a socket meanwhile.
    time_point refuse_until{};
    bool shutting_down = false;
    event_loop::timer_id timer = 0;
};

} // namespace toucanlever
