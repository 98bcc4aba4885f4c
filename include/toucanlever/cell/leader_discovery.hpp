/// Finds the active scheduler through the other instances, for an instance
/// that knows none and cannot read the store.
#pragma once

#include "toucanlever/cell/cell_messages.hpp"
#include "toucanlever/cell/leadership.hpp"
#include "toucanlever/wire/rpc.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace toucanlever
{

/// Queries the other instances in turn.
class leader_discovery
{
public:
    /// Queries are sent while `needs_leader` returns true. `on_found` is called
    /// with each leader that another instance reports, which may be outdated.
    leader_discovery(event_loop& loop, std::string self,
        std::function<bool()> needs_leader,
        std::function<void(leader_row const&)> on_found);
    ~leader_discovery();

    /// Adds instances that were seen lately; earlier ones stay known.
    void add_members(std::vector<member_hello> const& reported);

private:
    void poll_members();
    void connect_next();

    event_loop& loop;
    std::string self;
    std::function<bool()> needs_leader;
    std::function<void(leader_row const&)> on_found;
    // Addresses by name.
    std::map<std::string, std::string> members;
    // Name of the instance to which `link` connects.
    std::string current_member;
    std::unique_ptr<rpc_client> link;
    // The query was sent. The next poll replaces the link by one to the next
    // instance, so a later answer is lost.
    bool query_sent = false;
    event_loop::timer_id timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
