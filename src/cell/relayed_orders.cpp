#include "toucanlever/cell/relayed_orders.hpp"

#include "toucanlever/cell/limited_orders.hpp"
#include "toucanlever/core/ids.hpp"
#include "toucanlever/core/log.hpp"
#include "toucanlever/core/metrics.hpp"

namespace toucanlever
{
namespace
{

/// Longer than the 400 ms for which the relaying instance waits for the
/// worker's reply, after the order may have waited to be sent.
constexpr milliseconds order_timeout{450 + limited_orders::max_wait.count()};
/// Added to the requested wait; longer than the 600 ms that the relaying
/// instance adds.
constexpr milliseconds watch_margin{1000};
/// Longer than it takes to detect an unresponsive link (two heartbeats, 1 s).
constexpr milliseconds backoff_time{2000};
/// How often members are checked for having settled.
constexpr std::chrono::seconds candidate_period{1};
/// Only settled members relay if they are at least one in this many.
constexpr std::size_t members_per_settled = 3;

} // namespace

relayed_orders::relayed_orders(
    event_loop& loop, worker_orders& local, member_links& members)
    : loop(loop)
    , local_orders(local)
    , members(members)
{
    members.add_listener(*this);
    this->candidates = this->find_candidates();
    this->candidate_timer =
        loop.every(candidate_period, [this] { this->update_candidates(); });
}

relayed_orders::~relayed_orders()
{
    *this->alive = false;
    this->loop.cancel(this->candidate_timer);
}

void relayed_orders::on_member_joined(std::string const& name)
{
    this->member_names.push_back(name);
    this->update_candidates();
}

void relayed_orders::on_member_removed(std::string const& name)
{
    std::erase(this->member_names, name);
    this->update_candidates();
    for (auto const& [id, order] : this->pending_orders)
    {
        if (order.member != name)
        {
            continue;
        }
        // Posted, because the callback can send further orders, which changes
        // the map that is iterated here.
        this->loop.post(
            [this, id = id, alive = this->alive]
            {
                auto lost = *alive
                                ? this->pending_orders.extract(id)
                                : decltype(this->pending_orders)::node_type();
                if (lost)
                {
                    lost.mapped().report_in_doubt();
                }
            });
    }
}

std::string const& relayed_orders::choose_member(std::string const& worker)
{
    auto cached = this->chosen_members.find(worker);
    if (cached != this->chosen_members.end())
    {
        return cached->second;
    }
    std::string chosen = rendezvous_pick(worker, this->candidates);
    if (chosen == this->members.self())
    {
        chosen.clear();
    }
    return this->chosen_members.emplace(worker, std::move(chosen))
        .first->second;
}

std::vector<std::string> relayed_orders::find_candidates() const
{
    time_point const now = this->loop.now();
    std::vector<std::string> all{this->members.self()};
    std::vector<std::string> settled = all;
    for (std::string const& name : this->member_names)
    {
        auto backoff = this->backoff_until.find(name);
        if (backoff != this->backoff_until.end() && now < backoff->second)
        {
            continue;
        }
        all.push_back(name);
        if (this->members.is_settled(name))
        {
            settled.push_back(name);
        }
    }
    return settled.size() * members_per_settled >= all.size() ? settled : all;
}

void relayed_orders::update_candidates()
{
    std::vector<std::string> found = this->find_candidates();
    if (found != this->candidates)
    {
        this->candidates = std::move(found);
        this->chosen_members.clear();
    }
}

void relayed_orders::back_off(std::string const& name)
{
    time_point until = this->loop.now() + backoff_time;
    bool newly_backed_off = this->backoff_until[name] < this->loop.now();
    this->backoff_until[name] = until;
    if (!newly_backed_off)
    {
        return;
    }
    this->update_candidates();
    this->loop.after(backoff_time + milliseconds(1),
        [this, alive = this->alive]
        {
            if (*alive)
            {
                this->update_candidates();
            }
        });
}

template <typename Result>
void relayed_orders::relay_order(std::string const& worker, message_type type,
    message_type reply_type, std::string body, milliseconds timeout,
    std::function<void(Result)> done, std::function<void()> send_locally)
{
    std::string const member = this->choose_member(worker);
    rpc_client* link = member.empty() ? nullptr : this->members.find(member);
    if (link == nullptr)
    {
        send_locally();
        return;
    }
    metrics().count("orders_relayed");
    std::uint64_t id = this->next_order_id++;
    auto report_in_doubt = [member, done]
    {
        Result answer;
        answer.problem = "relay " + member +
                         ": its link was closed because its hellos stopped or "
                         "its address changed; outcome unknown";
        done(std::move(answer));
    };
    this->pending_orders.emplace(
        id, pending_order{member, std::move(report_in_doubt)});
    link->request(type, std::move(body), timeout,
        [this, id, member, worker, reply_type, done = std::move(done),
            send_locally = std::move(send_locally),
            alive = this->alive](rpc_result const& result)
        {
            if (!*alive || this->pending_orders.erase(id) == 0)
            {
                return;
            }
            Result answer;
            try
            {
                answer = result.as<Result>(reply_type, member);
            }
            catch (error const& problem)
            {
                log_line("relay-failed")
                    .with("member", member)
                    .with("worker", worker)
                    .with("ran", name_of(problem.ran))
                    .with("problem", problem.what());
                this->back_off(member);
                if (problem.ran == run_state::no)
                {
                    send_locally();
                    return;
                }
                answer.problem = "relay " + member + ": " + problem.what();
            }
            done(std::move(answer));
        });
}

void relayed_orders::start(
    worker_target const& worker, start_order const& order, order_callback done)
{
    this->relay_order<order_result>(worker.id, message_type::relayed_start,
        message_type::order_reply, pack(relayed_start{worker, order}),
        order_timeout, done,
        [this, worker, order, done]
        { this->local_orders.start(worker, order, done); });
}

void relayed_orders::stop(
    worker_target const& worker, stop_order const& order, order_callback done)
{
    this->relay_order<order_result>(worker.id, message_type::relayed_stop,
        message_type::order_reply, pack(relayed_stop{worker, order}),
        order_timeout, done,
        [this, worker, order, done]
        { this->local_orders.stop(worker, order, done); });
}

void relayed_orders::watch(
    worker_target const& worker, watch_order const& order, watch_callback done)
{
    this->relay_order<watch_result>(worker.id, message_type::relayed_watch,
        message_type::watch_reply, pack(relayed_watch{worker, order}),
        milliseconds(order.wait_ms) + watch_margin, done,
        [this, worker, order, done]
        { this->local_orders.watch(worker, order, done); });
}

} // namespace toucanlever
