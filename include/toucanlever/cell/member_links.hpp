/// The other entry instances of the cell that send hellos to the active
/// scheduler, and a link to each.
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

/// Notified when instances are added and removed; called on the loop's thread.
class member_listener
{
public:
    virtual ~member_listener() = default;
    virtual void on_member_joined(std::string const& name) = 0;

    /// The link to the member is about to be destroyed; the callbacks of
    /// requests that are open on it are never called.
    virtual void on_member_removed(std::string const& name) = 0;
};

/// Links to the instances that sent a hello recently.
class member_links
{
public:
    /// `self` is the name of this instance; hellos with this name are ignored.
    member_links(event_loop& loop, std::string self);
    ~member_links();

    /// Notifies `listener` of changes from now on; it outlives this object.
    void add_listener(member_listener& listener);

    /// Adds the sender as a member, or renews its membership. A member that
    /// reports another address gets a new link.
    void handle_hello(member_hello const& hello);

    /// The link to a member while it is connected; null otherwise.
    rpc_client* find(std::string const& name) const;

    /// False for a member that has been up for a short time only. The time
    /// doubles with each restart that was seen, so that a member that fails
    /// again and again is hardly ever settled. True for one that does not tell
    /// its age.
    bool is_settled(std::string const& name) const;

    /// All current members, connected or not.
    std::vector<member_hello> list() const;

    std::string const& self() const { return this->own_name; }

private:
    struct member
    {
        std::unique_ptr<rpc_client> link;
        time_point last_hello_at{};
    };

    /// What is known of the processes of a member.
    struct process_history
    {
        time_point up_since{};
        std::uint32_t restarts = 0;
    };

    void note_process(member_hello const& hello);
    void remove_unresponsive();
    void notify_removed(std::string const& name);

    event_loop& loop;
    std::string own_name;
    std::vector<member_listener*> listeners;
    std::map<std::string, member> members;
    // By name; kept when a member is removed, for its return.
    std::map<std::string, process_history> histories;
    event_loop::timer_id sweep_timer = 0;
};

} // namespace toucanlever
