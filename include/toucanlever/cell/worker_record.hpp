/// What the store holds about a worker that may have tasks.
///
/// A successor of the active scheduler waits for each recorded worker before it
/// starts work of earlier jobs, because any of them may run there. A worker
/// that is leaving, or has been silent for some time, gets no work; its record
/// is then closed and lists the tasks that may still run on it. The successor
/// has to wait for such a worker with the listed jobs only.
#pragma once

#include "toucanlever/cell/worker_orders.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace toucanlever
{

/// The fields of the worker's entry come first, so that earlier versions of
/// this program, which do not know of closed records, read them as well.
struct worker_record : worker_entry
{
    worker_record() = default;
    explicit worker_record(worker_entry const& entry)
        : worker_entry(entry)
    {
    }

    /// The fencing token of the scheduler that closed the record; 0 while it is
    /// open. That scheduler starts nothing on the worker before it has written
    /// an open record again.
    std::uint64_t closed_by = 0;
    /// The tasks, as text, that may run on the worker, or end there without
    /// having been recorded; meaningful while the record is closed.
    std::vector<std::string> tasks;

    /// True when the record tells a scheduler with this token all that may run
    /// on the worker. A scheduler between the two may not know of closed
    /// records.
    bool is_closed_for(std::uint64_t fencing_token) const
    {
        return this->closed_by > 0 && this->closed_by + 1 == fencing_token;
    }

    /// The jobs of `tasks`.
    std::set<std::string> jobs() const;

    MSGPACK_DEFINE(id, started_ms, address, domain, rack, service, labels,
        capacity, leaving, closed_by, tasks)
};

} // namespace toucanlever
