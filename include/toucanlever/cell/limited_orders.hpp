/// Bounds how many connections this instance has open to each worker.
///
/// A worker accepts a limited number of connections from all instances
/// together, and resets those beyond it. An instance that loses power leaves
/// its connections behind at the worker, which may keep them for long. Each
/// instance therefore uses only a small part of a worker's limit, and closes
/// idle connections soon (`http_client`).
#pragma once

#include "toucanlever/cell/worker_orders.hpp"
#include "toucanlever/core/event_loop.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace toucanlever
{

/// Passes orders on to `orders`, at most `max_orders` starts and stops to one
/// worker at the same time; further ones wait in the order of their arrival. An
/// order that has waited for `max_wait` is reported as `not_sent`. Polls do not
/// wait: an active scheduler sends one at a time to each worker.
class limited_orders final : public worker_orders
{
public:
    /// An order takes at most this much longer than without a limit. Instances
    /// that have orders relayed here allow for it.
    static constexpr milliseconds max_wait{250};

    /// `connection_limit` returns how many connections a worker accepts from
    /// all instances together, or 0 when that is not known. Both outlive this
    /// object.
    limited_orders(event_loop& loop, worker_orders& orders,
        std::function<std::size_t()> connection_limit);
    ~limited_orders() override;

    void start(worker_target const& worker, start_order const& order,
        order_callback done) override;
    void stop(worker_target const& worker, stop_order const& order,
        order_callback done) override;
    void watch(worker_target const& worker, watch_order const& order,
        watch_callback done) override;

    /// Starts and stops that may be in flight to one worker.
    std::size_t max_orders() const;

private:
    struct waiting_order
    {
        std::function<void(order_callback)> send;
        order_callback done;
        time_point give_up_at{};
    };

    struct worker_queue
    {
        std::size_t in_flight = 0;
        // Invariant: sorted by `give_up_at`; empty unless the worker's limit is
        // reached.
        std::deque<waiting_order> waiting;
        // Set while orders wait.
        event_loop::timer_id timer = 0;
    };

    /// Sends the order, or queues it.
    void submit(std::string const& address,
        std::function<void(order_callback)> send, order_callback done);
    void send_now(std::string const& address,
        std::function<void(order_callback)> const& send, order_callback done);
    void on_result(std::string const& address, order_callback const& done,
        order_result result);
    /// Sends what the limit allows.
    void send_waiting(std::string const& address);
    void give_up_late(std::string const& address);
    void schedule_give_up(std::string const& address);

    event_loop& loop;
    worker_orders& orders;
    std::function<std::size_t()> connection_limit;
    // By address, because connections are made to addresses. Only workers with
    // orders in flight have an entry.
    std::unordered_map<std::string, worker_queue> queues;
    // False after destruction; callbacks that may run later check it.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
