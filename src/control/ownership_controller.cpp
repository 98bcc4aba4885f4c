#include "toucanlever/control/ownership_controller.hpp"

#include "toucanlever/core/ids.hpp"

namespace toucanlever
{
namespace
{

// Peer timeouts without a live scheduler after which others serve a domain.
constexpr int orphaned_after = 2;

std::vector<std::string> incarnations_of(
    std::vector<scheduler_state> const& states)
{
    std::vector<std::string> names;
    for (scheduler_state const& state : states)
    {
        names.push_back(state.incarnation);
    }
    return names;
}

std::string rack_of(instance const& worker)
{
    return worker.domain + "/" + worker.rack;
}

} // namespace

ownership_controller::ownership_controller(event_loop& loop,
    scheduler_settings const& settings, std::string incarnation,
    membership_controller& members, worker_registry& workers)
    : loop(loop)
    , settings(settings)
    , incarnation(std::move(incarnation))
    , members(members)
    , workers(workers)
{
    this->timer = loop.every(
        settings.leases.heartbeat, [this] { this->update_ownership(); });
    members.on_instances([this] { this->update_ownership(); });
}

ownership_controller::~ownership_controller()
{
    this->loop.cancel(this->timer);
}

void ownership_controller::update_last_live()
{
    auto now = this->members.listening_time().now();
    for (instance const& each : this->members.instances())
    {
        auto seen = this->last_live.try_emplace(each.domain, now).first;
        if (this->members.has_live_scheduler(each.domain))
        {
            seen->second = now;
        }
    }
}

std::set<std::string> ownership_controller::domains_to_serve() const
{
    std::set<std::string> domains{this->settings.domain};
    auto patience = this->settings.leases.peer_timeout * orphaned_after;
    auto now = this->members.listening_time().now();
    for (auto const& entry : this->last_live)
    {
        if (now - entry.second > patience)
        {
            domains.insert(entry.first);
        }
    }
    return domains;
}

std::map<std::string, std::string> ownership_controller::owners_of_racks() const
{
    std::set<std::string> home_racks;
    std::set<std::string> orphaned_racks;
    std::set<std::string> domains = this->domains_to_serve();
    for (instance const& each : this->members.instances())
    {
        if (each.role == instance_role::worker &&
            domains.count(each.domain) > 0)
        {
            bool at_home = each.domain == this->settings.domain;
            (at_home ? home_racks : orphaned_racks).insert(rack_of(each));
        }
    }
    auto home =
        incarnations_of(this->members.live_schedulers(this->settings.domain));
    auto everyone = incarnations_of(this->members.live_schedulers(""));
    auto owners = assign_evenly(home_racks, home);
    owners.merge(assign_evenly(orphaned_racks, everyone));
    return owners;
}

void ownership_controller::update_ownership()
{
    if (this->released || this->members.instances().empty())
    {
        return;
    }
    this->update_last_live();
    auto owners = this->owners_of_racks();
    std::set<std::string> listed;
    for (instance const& each : this->members.instances())
    {
        if (each.role != instance_role::worker)
        {
            continue;
        }
        listed.insert(each.id);
        auto owner = owners.find(rack_of(each));
        bool wanted =
            owner != owners.end() && owner->second == this->incarnation;
        if (wanted || this->workers.find(each.id) != nullptr)
        {
            this->workers.open_session(each).set_control_wanted(wanted);
        }
    }
    this->close_unlisted(listed);
}

void ownership_controller::close_unlisted(std::set<std::string> const& listed)
{
    std::vector<std::string> unlisted;
    for (auto const& entry : this->workers.all())
    {
        if (listed.count(entry.first) == 0)
        {
            unlisted.push_back(entry.first);
        }
    }
    for (std::string const& id : unlisted)
    {
        this->workers.find(id)->on_removed();
        this->workers.close_session(id);
    }
}

void ownership_controller::release_all_workers()
{
    this->released = true;
    for (auto const& entry : this->workers.all())
    {
        entry.second->set_control_wanted(false);
    }
}

} // namespace toucanlever
