/// The other entry instances of the cell, as the active scheduler hears them,
/// and a link to each.
#pragma once

#include "toucanlever/cell/cell_messages.hpp"
#include "toucanlever/core/event_loop.hpp"
#include "toucanlever/wire/rpc.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace toucanlever
{

/// Hears which instances come and go; called on the loop's thread.
class member_listener
{
public:
    virtual ~member_listener() = default;
    virtual void on_member_joined(std::string const& name) = 0;

    /// Its link is about to go, and tells nobody of the calls on it.
    virtual void on_member_removed(std::string const& name) = 0;
};

/// Links to those that said hello lately.
class member_links
{
public:
    /// `self` is left out.
    member_links(event_loop& loop, std::string self);
    ~member_links();

    /// `listener` is told of what changes from now on; it outlives this.
    void add_listener(member_listener& listener);

    void handle_hello(member_hello const& hello);

    /// The link to a member while it stands; null otherwise.
    rpc_client* find(std::string const& name) const;

    /// Everybody who is heard.
    std::vector<member_hello> list() const;

    std::string const& self() const { return this->own_name; }

private:
    struct member
    {
        std::unique_ptr<rpc_client> link;
        time_point last_hello_at{};
    };

    void remove_unresponsive();
    void notify_removed(std::string const& name);

    event_loop& loop;
    std::string own_name;
    std::vector<member_listener*> listeners;
    std::map<std::string, member> members;
    event_loop::timer_id sweep_timer = 0;
};

} // namespace toucanlever
