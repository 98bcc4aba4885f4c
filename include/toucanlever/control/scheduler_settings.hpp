/// Settings of one scheduler process.
#pragma once

#include "toucanlever/core/clock.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace toucanlever
{

/// Leases and periods that schedulers and workers have in common.
struct lease_timing
{
    milliseconds heartbeat{500};
    /// A takeover is attempted if no heartbeat of a peer arrives for this long.
    milliseconds peer_timeout{2500};
    /// A worker accepts task starts only from the scheduler that renewed its
    /// control within this time.
    milliseconds control_lease{3000};
    /// A task ends if the owner of its job does not renew it for this long.
    milliseconds task_lease{15000};
    /// Allowance for clock drift: a scheduler stops relying on its own control
    /// lease this much before the end, and treats a lease as expired this much
    /// after it.
    milliseconds lease_margin{500};
};

/// Validated settings of one scheduler.
struct scheduler_settings
{
    std::string name;
    std::string domain;
    std::string address;
    std::string platform;
    std::vector<std::string> peers;
    lease_timing leases;
    milliseconds platform_timeout{1000};
    milliseconds worker_timeout{1000};
    /// Maximum transactions per second of all schedulers together.
    std::int64_t store_writes_per_s = 300;
    std::uint32_t max_attempts = 4;
    std::int64_t max_queued_jobs = 200000;
    /// Ended jobs can be queried for this long; then their journal rows are
    /// deleted.
    std::chrono::seconds keep_ended{3600};
    bool log_decisions = true;
};

/// Reads and validates a settings file; throws a `settings_error`.
scheduler_settings load_scheduler_settings(std::string const& file);

} // namespace toucanlever
