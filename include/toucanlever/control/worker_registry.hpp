/// The sessions with workers, by worker id.
#pragma once

#include "toucanlever/control/worker_session.hpp"

#include <map>
#include <memory>
#include <string>

namespace toucanlever
{

/// Owns every session of one scheduler.
class worker_registry
{
public:
    worker_registry(event_loop& loop, worker_service& service,
        lease_timing const& leases, std::string owner)
        : loop(loop)
        , service(service)
        , leases(leases)
        , owner(std::move(owner))
    {
    }

    /// Set once, before the first session is made.
    void set_events(worker_events& sink) { this->events = &sink; }

    worker_session* find(std::string const& worker) const
    {
        auto found = this->sessions.find(worker);
        return found == this->sessions.end() ? nullptr : found->second.get();
    }

    worker_session& open_session(instance const& info)
    {
        auto& session = this->sessions[info.id];
        if (!session)
        {
            session = std::make_unique<worker_session>(this->loop,
                this->service, info, this->leases, this->owner, *this->events);
        }
        session->update_info(info);
        return *session;
    }

    void close_session(std::string const& worker)
    {
        this->sessions.erase(worker);
    }

    std::map<std::string, std::unique_ptr<worker_session>> const& all() const
    {
        return this->sessions;
    }

    worker_service& worker_calls() { return this->service; }

private:
    event_loop& loop;
    worker_service& service;
    lease_timing const& leases;
    std::string owner;
    worker_events* events = nullptr;
    std::map<std::string, std::unique_ptr<worker_session>> sessions;
};

} // namespace toucanlever
