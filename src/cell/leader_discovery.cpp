#include "toucanlever/cell/leader_discovery.hpp"

#include "toucanlever/core/log.hpp"

namespace toucanlever
{
namespace
{

/// One look opens a link, the next one asks over it.
constexpr milliseconds look_period{200};
constexpr milliseconds query_timeout{400};

} // namespace

leader_discovery::leader_discovery(event_loop& loop, std::string self,
    std::function<bool()> is_lost,
    std::function<void(leader_row const&)> on_found)
    : loop(loop)
    , self(std::move(self))
    , needs_leader(std::move(is_lost))
    , on_found(std::move(on_found))
{
    this->timer = loop.every(look_period, [this] { this->poll_members(); });
}

leader_discovery::~leader_discovery()
{
    *this->alive = false;
    this->loop.cancel(this->timer);
}

void leader_discovery::add_members(std::vector<member_hello> const& heard)
{
    for (member_hello const& member : heard)
    {
        if (member.name != this->self)
        {
            this->members[member.name] = member.address;
        }
    }
}

void leader_discovery::poll_members()
{
    if (!this->needs_leader())
    {
        this->link.reset();
        return;
    }
    if (!this->link || !this->link->connected() || this->query_sent)
    {
        this->connect_next();
        return;
    }
    this->link->request(message_type::leader_query, {}, query_timeout,
        [this, peer = this->current_member, alive = this->alive](
            rpc_result const& result)
        {
            if (!*alive)
            {
                return;
            }
            try
            {
                this->on_found(
                    result.as<leader_row>(message_type::leader_reply, peer));
            }
            catch (error const& problem)
            {
                log_line("leader-not-told")
                    .with("member", peer)
                    .with("problem", problem.what());
            }
        });
    this->query_sent = true;
}

void leader_discovery::connect_next()
{
    auto next = this->members.upper_bound(this->current_member);
    if (next == this->members.end())
    {
        next = this->members.begin();
    }
    if (next == this->members.end())
    {
        return;
    }
    this->current_member = next->first;
    this->query_sent = false;
    this->link =
        std::make_unique<rpc_client>(this->loop, next->second, rpc_timing{});
}

} // namespace toucanlever
