#include "toucanlever/cell/relayed_orders.hpp"

#include "toucanlever/core/ids.hpp"
#include "toucanlever/core/log.hpp"
#include "toucanlever/core/metrics.hpp"

namespace toucanlever
{
namespace
{

/// The other instance gives a worker's answer up after 400 ms itself.
constexpr milliseconds order_timeout{700};
/// Beyond the wait that was asked for; the other instance adds 600 ms.
constexpr milliseconds watch_margin{1000};
/// Longer than a silent link takes to be noticed (two heartbeats, 1 s).
constexpr milliseconds rest_time{2000};

} // namespace

relayed_orders::relayed_orders(
    event_loop& loop, worker_orders& local, member_links& members)
    : loop(loop)
    , local_orders(local)
    , members(members)
{
    members.add_listener(*this);
}

relayed_orders::~relayed_orders()
{
    *this->alive = false;
}

void relayed_orders::on_member_joined(std::string const& name)
{
    this->member_names.push_back(name);
    this->chosen_members.clear();
}

void relayed_orders::on_member_removed(std::string const& name)
{
    std::erase(this->member_names, name);
    this->chosen_members.clear();
    for (auto const& [id, order] : this->pending_orders)
    {
        if (order.member != name)
        {
            continue;
        }
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
    auto known = this->chosen_members.find(worker);
    if (known != this->chosen_members.end())
    {
        return known->second;
    }
    time_point now = this->loop.now();
    std::vector<std::string> candidates{this->members.self()};
    for (std::string const& name : this->member_names)
    {
        auto rest = this->backoff_until.find(name);
        if (rest == this->backoff_until.end() || now >= rest->second)
        {
            candidates.push_back(name);
        }
    }
    std::string picked = rendezvous_pick(worker, candidates);
    if (picked == this->members.self())
    {
        picked.clear();
    }
    return this->chosen_members.emplace(worker, std::move(picked))
        .first->second;
}

void relayed_orders::back_off(std::string const& name)
{
    time_point until = this->loop.now() + rest_time;
    bool fresh = this->backoff_until[name] < this->loop.now();
    this->backoff_until[name] = until;
    if (!fresh)
    {
        return;
    }
    this->chosen_members.clear();
    this->loop.after(rest_time + milliseconds(1),
        [this, alive = this->alive]
        {
            if (*alive)
            {
                this->chosen_members.clear();
            }
        });
}

template <typename Result>
void relayed_orders::relay_order(std::string const& worker, message_type type,
    message_type reply_type, std::string body, milliseconds timeout,
    std::function<void(Result)> done, std::function<void()> from_here)
{
    std::string const member = this->choose_member(worker);
    rpc_client* link = member.empty() ? nullptr : this->members.find(member);
    if (link == nullptr)
    {
        from_here();
        return;
    }
    metrics().count("orders_relayed");
    std::uint64_t id = this->next_order_id++;
    auto give_up = [member, done]
    {
        Result answer;
        answer.problem = "relay " + member + ": is no longer heard";
        done(std::move(answer));
    };
    this->pending_orders.emplace(id, pending_order{member, std::move(give_up)});
    link->request(type, std::move(body), timeout,
        [this, id, member, worker, reply_type, done = std::move(done),
            from_here = std::move(from_here),
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
                    from_here();
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
