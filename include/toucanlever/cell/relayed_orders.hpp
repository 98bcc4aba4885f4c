/// Sends orders to workers through the other entry instances of the cell. This
/// spreads the cost of the calls over all instances and leaves the CPU of the
/// active scheduler to scheduling decisions.
///
/// Large cells need this: at 900 starts per second the calls alone use most of
/// the CPU of the largest instance. An order that is lost between the
/// instances is in doubt, like one that the worker did not answer. An order
/// that cannot be relayed is sent directly from this instance.
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

/// The sending side, on the active scheduler; order_relay is the relaying side.
class relayed_orders final : public worker_orders, private member_listener
{
public:
    /// `local` sends orders directly from this instance.
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

    /// The member that relays orders to this worker; empty for this instance.
    /// The same member is chosen as long as the set of candidates does not
    /// change, because each member keeps connections to its workers.
    std::string const& choose_member(std::string const& worker);

    /// This instance and the members that may relay now. Members that are not
    /// settled are left out: one that loses power soon after each start leaves
    /// connections behind at its workers each time. They are not left out while
    /// settled ones are less than a third, who could not do the work of all.
    std::vector<std::string> find_candidates() const;

    /// Chooses members anew if the candidates have changed.
    void update_candidates();

    /// Sends an order to the member that is chosen for the worker. Calls
    /// `send_locally` instead of `done` when the order certainly did not reach
    /// the worker through the member.
    template <typename Result>
    void relay_order(std::string const& worker, message_type type,
        message_type reply_type, std::string body, milliseconds timeout,
        std::function<void(Result)> done, std::function<void()> send_locally);

    /// An order that was relayed and has no reply yet.
    struct pending_order
    {
        std::string member;
        /// Reports to the sender that the order is in doubt.
        std::function<void()> report_in_doubt;
    };

    /// Excludes a member that failed to relay an order from the candidates for
    /// a limited time.
    void back_off(std::string const& name);

    event_loop& loop;
    worker_orders& local_orders;
    member_links& members;
    std::vector<std::string> member_names;
    std::map<std::string, time_point> backoff_until;
    std::vector<std::string> candidates;
    event_loop::timer_id candidate_timer = 0;
    // The chosen member by worker; cleared when the set of candidates changes.
    std::unordered_map<std::string, std::string> chosen_members;
    std::map<std::uint64_t, pending_order> pending_orders;
    std::uint64_t next_order_id = 1;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
