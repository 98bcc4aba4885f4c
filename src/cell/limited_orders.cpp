#include "toucanlever/cell/limited_orders.hpp"

#include "toucanlever/core/metrics.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace toucanlever
{
namespace
{

/// An instance opens at most one in this many of the connections that a worker
/// accepts. The others are for instances that relay to it in turn, and for
/// those that were lost with their connections open.
constexpr std::size_t shares_of_limit = 16;
/// Of an instance: one for polls, and one for starts and stops.
constexpr std::size_t min_connections = 2;
/// Of an instance, when the worker's limit is not known.
constexpr std::size_t default_connections = 4;

} // namespace

limited_orders::limited_orders(event_loop& loop, worker_orders& orders,
    std::function<std::size_t()> connection_limit)
    : loop(loop)
    , orders(orders)
    , connection_limit(std::move(connection_limit))
{
}

limited_orders::~limited_orders()
{
    *this->alive = false;
    for (auto const& [address, queue] : this->queues)
    {
        this->loop.cancel(queue.timer);
    }
}

std::size_t limited_orders::max_orders() const
{
    std::size_t const limit = this->connection_limit();
    std::size_t const connections =
        limit == 0 ? default_connections
                   : std::max(limit / shares_of_limit, min_connections);
    return connections - 1;
}

void limited_orders::start(
    worker_target const& worker, start_order const& order, order_callback done)
{
    this->submit(
        worker.address,
        [this, worker, order](order_callback on_result)
        { this->orders.start(worker, order, std::move(on_result)); },
        std::move(done));
}

void limited_orders::stop(
    worker_target const& worker, stop_order const& order, order_callback done)
{
    this->submit(
        worker.address,
        [this, worker, order](order_callback on_result)
        { this->orders.stop(worker, order, std::move(on_result)); },
        std::move(done));
}

void limited_orders::watch(
    worker_target const& worker, watch_order const& order, watch_callback done)
{
    this->orders.watch(worker, order, std::move(done));
}

void limited_orders::submit(std::string const& address,
    std::function<void(order_callback)> send, order_callback done)
{
    worker_queue& queue = this->queues[address];
    if (queue.in_flight < this->max_orders())
    {
        this->send_now(address, send, std::move(done));
        return;
    }
    metrics().count("orders_queued");
    queue.waiting.push_back(
        {std::move(send), std::move(done), this->loop.now() + max_wait});
    this->schedule_give_up(address);
}

void limited_orders::send_now(std::string const& address,
    std::function<void(order_callback)> const& send, order_callback done)
{
    ++this->queues[address].in_flight;
    send(
        [this, address, done = std::move(done), alive = this->alive](
            order_result result)
        {
            if (*alive)
            {
                this->on_result(address, done, std::move(result));
            }
        });
}

void limited_orders::on_result(
    std::string const& address, order_callback const& done, order_result result)
{
    worker_queue& queue = this->queues.at(address);
    --queue.in_flight;
    this->send_waiting(address);
    std::shared_ptr<bool> const still_alive = this->alive;
    done(std::move(result));
    if (!*still_alive)
    {
        return;
    }
    auto found = this->queues.find(address);
    bool const is_unused = found != this->queues.end() &&
                           found->second.in_flight == 0 &&
                           found->second.waiting.empty();
    if (is_unused)
    {
        this->loop.cancel(found->second.timer);
        this->queues.erase(found);
    }
}

void limited_orders::send_waiting(std::string const& address)
{
    // An order can be answered, and its queue removed, before `send` returns.
    for (auto found = this->queues.find(address);
         found != this->queues.end() && !found->second.waiting.empty() &&
         found->second.in_flight < this->max_orders();
         found = this->queues.find(address))
    {
        waiting_order next = std::move(found->second.waiting.front());
        found->second.waiting.pop_front();
        this->send_now(address, next.send, std::move(next.done));
    }
}

void limited_orders::schedule_give_up(std::string const& address)
{
    worker_queue& queue = this->queues.at(address);
    if (queue.timer != 0 || queue.waiting.empty())
    {
        return;
    }
    microseconds const delay =
        queue.waiting.front().give_up_at - this->loop.now();
    queue.timer = this->loop.after(std::max(delay, microseconds(0)),
        [this, address] { this->give_up_late(address); });
}

void limited_orders::give_up_late(std::string const& address)
{
    worker_queue& queue = this->queues.at(address);
    queue.timer = 0;
    time_point const now = this->loop.now();
    std::vector<order_callback> late;
    while (!queue.waiting.empty() && queue.waiting.front().give_up_at <= now)
    {
        late.push_back(std::move(queue.waiting.front().done));
        queue.waiting.pop_front();
    }
    this->schedule_give_up(address);
    metrics().count(
        "orders_not_sent_in_time", static_cast<std::int64_t>(late.size()));
    std::shared_ptr<bool> const still_alive = this->alive;
    for (order_callback const& done : late)
    {
        if (!*still_alive)
        {
            return;
        }
        done({order_outcome::not_sent, -1,
            "earlier orders to the worker are unanswered"});
    }
}

} // namespace toucanlever
