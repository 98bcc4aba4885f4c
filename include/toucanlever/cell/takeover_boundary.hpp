/// Determines which jobs no earlier leader can have started, although workers
/// that it may have used have not answered yet.
#pragma once

#include "toucanlever/cell/record_follower.hpp"

#include <cstdint>
#include <memory>
#include <optional>

namespace toucanlever
{

/// The boundary of one leader term.
///
/// A predecessor that does not know that it was replaced decides to start jobs
/// until its leader lease has expired, and a start that it decided on may reach
/// a worker later. It cannot have decided on a job that was stored after that
/// time.
class takeover_boundary
{
public:
    /// To be created when the term begins. `leader_lease_duration` is how long
    /// an earlier leader may still decide to start work.
    takeover_boundary(event_loop& loop, record_store& store,
        milliseconds leader_lease_duration);
    ~takeover_boundary();

    /// True when no earlier leader can have started a job whose records have no
    /// lower version than this. Records that were stored before
    /// `jobs_read_until` are known.
    bool is_after(std::int64_t job_version, time_point jobs_read_until) const
    {
        return this->version && job_version > *this->version &&
               jobs_read_until >= this->read_at;
    }

private:
    event_loop& loop;
    // A version of the store after the expiry of the predecessor's leader
    // lease.
    std::optional<std::int64_t> version;
    // When that version was received. A record of the same job with a lower
    // version was stored earlier.
    time_point read_at{};
    std::unique_ptr<record_scan> scan;
    event_loop::timer_id timer = 0;
};

} // namespace toucanlever
