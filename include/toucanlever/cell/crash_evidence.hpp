/// Judges whether the crash of a worker speaks against a run that it had, or
/// is as well explained by the crashes that occur without that run.
///
/// Pure state: no I/O, and time is an argument.
#pragma once

#include "toucanlever/cell/work.hpp"
#include "toucanlever/core/clock.hpp"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace toucanlever
{

/// A worker stopped answering; it has crashed, or may have.
struct worker_outage
{
    std::string worker;
    /// When the first call to it failed, or, if none did, when its restart was
    /// noticed.
    time_point at{};
    /// The tasks that may have run there.
    std::set<task_id> tasks;
};

/// A run that may have caused a crash.
struct crash_suspect
{
    task_id task;
    /// The run of a gang, all of which is the suspect.
    bool gang = false;
    /// When the start of the run was sent; for a run of an earlier scheduler,
    /// when it was found.
    time_point started_at{};
    /// The number of workers with tasks of the gang, any of which may crash; 1
    /// for other tasks.
    std::size_t workers = 1;

    /// True when the suspect may have caused an outage.
    bool was_at(worker_outage const& outage) const;
};

/// The recent outages of a cell's workers.
class crash_evidence
{
public:
    /// Outages within this time of each other may have one cause.
    static constexpr milliseconds same_cause{3000};

    /// Records an outage. Replaces the last one of the same worker.
    void record(worker_outage outage);

    /// True when the suspect was on so few workers for such a short time that a
    /// crash among them without its doing is improbable. Other outages near
    /// that time make it more probable, unless the suspect may have caused them
    /// as well. `cell_size` is the number of workers.
    bool speaks_against(crash_suspect const& suspect,
        worker_outage const& crash, std::size_t cell_size) const;

private:
    // At most one for each worker.
    std::vector<worker_outage> recent;
};

} // namespace toucanlever
