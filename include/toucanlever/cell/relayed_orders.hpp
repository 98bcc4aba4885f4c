/// Passes orders to workers on through the other entry instances, so that
/// what the calls cost is spread over all of them and the active scheduler
/// keeps its processor for decisions.
///
/// Answers the load of a large cell: at 900 starts a second the calls alone
/// take most of the largest instance. An order that got lost on the way is in
/// doubt, like one that the worker did not answer; one that cannot be passed
/// on is sent from here.
#pragma once

#include "toucanlever/cell/member_links.hpp"
#include "toucanlever/cell/worker_orders.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace toucanlever
{

/// The active scheduler's side; order_relay is the other one.
class relayed_orders final : public worker_orders, private member_listener
{
public:
    /// `local` sends from this instance.
    relayed_orders(
        event_loop& loop, worker_orders& local, member_links& members);
    ~relayed_orders() override;

    void start(worker_target const& worker, start_order const& order,
        order_callback done) override;
    void stop(worker_target const& worker, stop_order const& order,
        order_callback done) override;
    void watch(worker_target const& worker, watch_order const& order,
        watch_callback done) override;

private:
    void on_member_joined(std::string const& name) override;
    void on_member_removed(std::string const& name) override;

    /// The member that serves this worker, and always the same one while the
    /// members stay, since each keeps a connection to the worker; empty for
    /// this instance.
    std::string const& choose_member(std::string const& worker);

    /// Sends to the worker's member. `from_here` is called instead when
    /// nothing left this instance.
    template <typename Result>
    void relay_order(std::string const& worker, message_type type,
        message_type reply_type, std::string body, milliseconds timeout,
        std::function<void(Result)> done, std::function<void()> from_here);

    /// An order that was passed on and not answered.
    struct pending_order
    {
        std::string member;
        /// Tells whoever gave it that it is in doubt.
        std::function<void()> report_in_doubt;
    };

    /// A member that did not answer gets nothing for a while.
    void back_off(std::string const& name);

    event_loop& loop;
    worker_orders& local_orders;
    member_links& members;
    std::vector<std::string> member_names;
    std::map<std::string, time_point> backoff_until;
    // Forgotten whenever the members that may be chosen change.
    std::unordered_map<std::string, std::string> chosen_members;
    std::map<std::uint64_t, pending_order> pending_orders;
    std::uint64_t next_order_id = 1;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
