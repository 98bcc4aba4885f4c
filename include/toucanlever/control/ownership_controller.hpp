/// Selects the workers that this scheduler requests control of, by rack.
/// Rendezvous hashing assigns the racks of a failure domain to the domain's
/// live schedulers. If a domain has had no live scheduler for two peer
/// timeouts, its racks are assigned to the live schedulers of all domains. Each
/// worker alone decides which scheduler controls it.
#pragma once

#include "toucanlever/control/membership_controller.hpp"
#include "toucanlever/control/worker_registry.hpp"

#include <map>
#include <set>
#include <string>

namespace toucanlever
{

/// Opens and closes worker sessions and requests or releases control.
class ownership_controller
{
public:
    ownership_controller(event_loop& loop, scheduler_settings const& settings,
        std::string incarnation, membership_controller& members,
        worker_registry& workers);
    ~ownership_controller();

    /// Releases control of all workers; used before a planned shutdown.
    void release_all_workers();

private:
    void update_ownership();
    void update_last_live();
    std::set<std::string> domains_to_serve() const;
    std::map<std::string, std::string> owners_of_racks() const;
    void close_unlisted(std::set<std::string> const& listed);

    event_loop& loop;
    scheduler_settings const& settings;
    std::string incarnation;
    membership_controller& members;
    worker_registry& workers;
    // When this scheduler last saw a live scheduler in each failure domain.
    std::map<std::string, time_point> last_live;
    bool released = false;
    event_loop::timer_id timer = 0;
};

} // namespace toucanlever
