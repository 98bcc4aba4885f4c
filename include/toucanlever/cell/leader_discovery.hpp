/// Finds the active scheduler through the other instances, for an instance
/// that has none and cannot read the store.
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

/// Asks one instance after the other.
class leader_discovery
{
public:
    /// `is_lost` says whether there is need; `on_found` hears what others
    /// name, which may be old.
    leader_discovery(event_loop& loop, std::string self,
        std::function<bool()> is_lost,
        std::function<void(leader_row const&)> on_found);
    ~leader_discovery();

    /// Instances that were there lately; others stay known.
    void add_members(std::vector<member_hello> const& members);

private:
    void poll_members();
    void connect_next();

    event_loop& loop;
    std::string self;
    std::function<bool()> needs_leader;
    std::function<void(leader_row const&)> on_found;
    // Addresses by name.
    std::map<std::string, std::string> members;
    // The instance that is asked at present.
    std::string current_member;
    std::unique_ptr<rpc_client> link;
    // It was asked, and answers before the next look or not at all.
    bool query_sent = false;
    event_loop::timer_id timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
