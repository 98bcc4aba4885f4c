/// Selects the workers that this scheduler requests control of: the racks of
/// its own failure domain, and of domains that have had no live scheduler for
/// two peer timeouts, that rendezvous hashing over the live schedulers assigns
/// to it. Each worker alone decides which scheduler controls it.
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
