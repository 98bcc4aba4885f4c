/// What the active scheduler believes of its workers: what each has, what
/// holds room on it, and whether it may get more.
///
/// Pure state. The rule that no worker is given more than it has is kept here:
/// `hold` is the only function that gives room away.
#pragma once

#include "toucanlever/cell/worker_orders.hpp"
#include "toucanlever/core/clock.hpp"

#include <map>
#include <string>
#include <unordered_map>

namespace toucanlever
{

/// Where a run that holds room stands.
enum class allocation_phase
{
    /// Room is kept; nothing was sent.
    reserved,
    /// A start was sent and not confirmed.
    starting,
    running,
    /// A stop was sent; the room is taken until the end is known.
    stopping
};

template <>
struct enum_table<allocation_phase>
{
    using row = enum_name<allocation_phase>;
    static constexpr std::array rows{row{allocation_phase::reserved, "reserved"},
        row{allocation_phase::starting, "starting"},
        row{allocation_phase::running, "running"},
        row{allocation_phase::stopping, "stopping"}};
};

/// A run that holds room on a worker.
struct task_allocation
{
    std::uint64_t run = 0;
    resources need;
    allocation_phase phase = allocation_phase::reserved;
    /// When the worker confirmed the last order for it; it must be in lists
    /// that were asked for later. Unset while nothing was confirmed.
    bool confirmed = false;
    time_point confirmed_at{};
    /// Orders sent without an answer.
    std::uint32_t unanswered_orders = 0;
    bool order_pending = false;

    /// A start that nobody confirmed may be carried out later.
    bool may_still_start() const
    {
        return this->phase == allocation_phase::starting ||
               this->unanswered_orders > 0;
    }
};

/// A worker and what is on it.
struct pool_worker
{
    worker_entry entry;
    resources free;
    /// It has answered the present fencing token, so the holds are exact.
    bool reconciled = false;
    /// Calls to it fail at present.
    bool silent = false;
    /// The store says that it may hold work: nothing is started before.
    bool recorded = false;
    /// The round of choosing in which its room is kept for a step.
    std::uint64_t held_back_in_pass = 0;
    /// It is no longer listed.
    bool unlisted = false;
    /// When it started, by its last answer; another figure is another life.
    std::int64_t incarnation_ms = 0;
    /// Runs that failed here since one last succeeded.
    std::uint32_t consecutive_failures = 0;
    /// After this many failures in a row it gets no work until then.
    time_point quarantined_until{};
    // Invariant: free + needs of all holds == entry.capacity.
    std::map<task_id, task_allocation> allocations;

    /// May get new work now.
    bool is_usable(time_point now) const
    {
        return this->reconciled && this->recorded && !this->silent &&
               !this->unlisted && !this->entry.leaving &&
               now >= this->quarantined_until;
    }
};

/// The workers by id.
class worker_pool
{
public:
    using worker_map = std::unordered_map<std::string, pool_worker>;

    /// Adds or updates; holds stay.
    pool_worker& put(worker_entry const& entry);
    void remove(std::string const& id) { this->by_id.erase(id); }

    pool_worker* find(std::string const& id);
    pool_worker const* find(std::string const& id) const;
    worker_map& all() { return this->by_id; }
    worker_map const& all() const { return this->by_id; }

    /// Takes room; throws std::logic_error rather than pass the capacity,
    /// except for `already_running` work, which is a fact and not a choice.
    task_allocation& allocate(pool_worker& worker, task_id const& task,
        task_allocation const& wanted, bool already_running = false);

    /// Gives the room of a task back; false when it holds none.
    bool release(std::string const& worker, task_id const& task);

    /// The outcome of a run counts for the worker's health.
    void record_outcome(
        std::string const& worker, bool succeeded, time_point now);

private:
    worker_map by_id;
};

} // namespace toucanlever
