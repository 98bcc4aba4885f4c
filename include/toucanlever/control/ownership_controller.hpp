/// Which workers this scheduler seeks control of: the racks of its own
/// failure domain that rendezvous hashing over the live schedulers gives it.
/// Who has control is decided by each worker alone.
#pragma once

#include "toucanlever/control/membership_controller.hpp"
#include "toucanlever/control/worker_registry.hpp"

#include <map>
#include <set>
#include <string>

namespace toucanlever
{

/// Opens, steers and closes sessions.
class ownership_controller
{
public:
    ownership_controller(event_loop& loop, scheduler_settings const& settings,
        std::string incarnation, membership_controller& members,
        worker_registry& workers);
    ~ownership_controller();

    /// Gives all control up; used before a planned exit.
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
    // When each failure domain last had a live scheduler, from here.
    std::map<std::string, time_point> last_live;
    bool released = false;
    event_loop::timer_id timer = 0;
};

} // namespace toucanlever
