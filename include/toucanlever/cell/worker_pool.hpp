/// The active scheduler's view of its workers: capacity, allocations, and
/// whether new work may be placed on them.
///
/// Pure state. Enforces that allocations do not exceed a worker's capacity:
/// every allocation is made by `allocate`.
#pragma once

#include "toucanlever/cell/isolation.hpp"
#include "toucanlever/cell/worker_history.hpp"
#include "toucanlever/cell/worker_orders.hpp"
#include "toucanlever/core/clock.hpp"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace toucanlever
{

/// Phase of a run that has an allocation.
enum class allocation_phase
{
    /// Capacity is allocated; no order was sent.
    reserved,
    /// A start was sent and is not confirmed yet.
    starting,
    running,
    /// A stop was sent; the capacity stays allocated until the completion is
    /// known.
    stopping
};

template <>
struct enum_table<allocation_phase>
{
    using row = enum_name<allocation_phase>;
    static constexpr std::array rows{
        row{allocation_phase::reserved, "reserved"},
        row{allocation_phase::starting, "starting"},
        row{allocation_phase::running, "running"},
        row{allocation_phase::stopping, "stopping"}};
};

/// The capacity allocated to a run on a worker.
struct task_allocation
{
    std::uint64_t run = 0;
    resources need;
    /// Whose run it is, and what it counts against the customer's cap: the
    /// whole need of the task. Empty and zero for jobs without a customer and
    /// while the job is not known.
    std::string customer;
    resources use;
    /// False while the job of a reported run has not been read from the store;
    /// `need` is zero then.
    bool need_known = true;
    allocation_phase phase = allocation_phase::reserved;
    /// Whether and when the worker confirmed the last order for the run. Task
    /// lists requested from the worker after `confirmed_at` must contain the
    /// run. `confirmed_at` is unset while nothing was confirmed.
    bool confirmed = false;
    time_point confirmed_at{};
    /// When the last start order was sent; unset for runs that were found.
    time_point start_sent_at{};
    /// The last start has got no reply yet.
    bool start_pending = false;
    /// Number of orders that got no answer.
    std::uint32_t unanswered_orders = 0;
    bool order_pending = false;
    /// Stops since the last one that the worker confirmed.
    std::uint32_t unconfirmed_stops = 0;
    /// When the worker last confirmed a start of the run; unset before.
    time_point start_confirmed_at{};
    /// The fencing token of the last start order.
    std::uint64_t start_token = 0;
    /// A report has listed the run, so it has outlived its start.
    bool seen_running = false;
    /// The incarnation of the worker that answered the last poll has confirmed
    /// the start or listed the run.
    bool on_known_incarnation = false;
    /// The worker gets no tasks of other jobs beside it.
    bool isolated = false;
    /// The run ends only when its job is cancelled. False while the job is not
    /// known.
    bool long_running = false;
    /// When the policy's answer with the ticket of its start arrived; unset
    /// without a ticket. No incarnation accepts a ticket that was issued for an
    /// earlier one.
    time_point ticket_received_at{};
    /// For a task of a gang, the number of workers that the gang was allocated
    /// on.
    std::size_t workers_of_gang = 1;

    /// The last start order carried a checkpoint.
    bool resumed = false;

    /// True when an order to start the run was sent, so that it may have run.
    bool may_have_run() const
    {
        return this->phase != allocation_phase::reserved;
    }

    /// True when the worker has confirmed the start or listed the run.
    bool is_known_to_have_run() const
    {
        return this->seen_running ||
               (this->phase == allocation_phase::running && this->confirmed);
    }

    bool has_ticket() const { return this->ticket_received_at != time_point{}; }

    /// True when an unconfirmed start may still be executed by the worker.
    bool may_still_start() const
    {
        return this->start_pending || this->unanswered_orders > 0;
    }
};

/// A start without a reply whose allocation has been released, because the
/// worker confirmed a stop. The next incarnation does not know of the stop.
struct late_start
{
    task_id task;
    std::uint64_t run = 0;
    resources need;
    /// As in `task_allocation`.
    std::string customer;
    resources use;
    time_point sent_at{};
};

/// A worker, its state and its allocations.
struct pool_worker
{
    worker_entry entry;
    resources free;
    /// It has listed all its runs and completions under the current fencing
    /// token, so `allocations` is exact.
    bool reconciled = false;
    /// Calls to it currently fail.
    bool silent = false;
    /// Since when they do; valid while `silent`.
    time_point silent_since{};
    /// The store has an open record of this worker; nothing is started on it
    /// otherwise.
    bool recorded = false;
    /// The planning pass in which it is held back for a step.
    std::uint64_t held_back_in_pass = 0;
    /// Until when it is held back for a step, unless that is renewed. Steps
    /// that come first in the order may still use it.
    time_point held_back_until{};
    /// The platform no longer lists it.
    bool unlisted = false;
    /// The start time of its process, as reported in its last answer. A
    /// different value means another incarnation.
    std::int64_t incarnation_ms = 0;
    /// By step: the runs that failed on it, and the starts that it refused,
    /// since the last success.
    std::map<step_id, std::uint32_t> failures;
    /// How much of `failures` is evidence against it.
    std::uint32_t counted_failures = 0;
    /// It gets no work before this time; set by `failure_evidence`.
    time_point quarantined_until{};
    /// Of the current incarnation.
    worker_history history;
    /// As last compared with the other workers.
    worker_speed speed = worker_speed::normal;
    // Invariant: free + needs of all allocations == entry.capacity.
    std::map<task_id, task_allocation> allocations;
    // At most one for each task, the one of its highest run.
    std::vector<late_start> late_starts;
    // By task: the runs that were released because the lease had expired, until
    // the worker has listed what became of them.
    std::map<task_id, std::uint64_t> given_up;
    // Invariant: the number of allocations whose need is not known.
    std::uint32_t unknown_needs = 0;
    // Invariant: the number of isolated allocations.
    std::uint32_t isolated_tasks = 0;
    /// It gets only tasks that have to run isolated, so that it becomes free
    /// for them.
    bool kept_for_isolation = false;

    /// True unless `entry` is known to describe another incarnation than the
    /// one that answered last, which may differ in capacity and labels.
    bool is_entry_current() const
    {
        return this->entry.started_ms == 0 || this->incarnation_ms == 0 ||
               this->entry.started_ms == this->incarnation_ms;
    }

    /// True when new work may be placed on it now.
    bool is_usable(time_point now) const
    {
        return this->is_entry_current() && this->reconciled && this->recorded &&
               !this->silent && !this->unlisted && !this->entry.leaving &&
               this->unknown_needs == 0 && now >= this->quarantined_until &&
               !this->history.is_barred(now);
    }

    bool is_held_back(time_point now) const
    {
        return now < this->held_back_until;
    }

    /// True when tasks of this job may be placed beside the worker's tasks.
    bool accepts(std::string const& job, isolation wanted) const;

    /// True while a long-running task of another job is on it, so that nothing
    /// tells when it will be free.
    bool has_long_running_beside(std::string const& job) const;

    /// What its long-running tasks use.
    resources long_running_need() const;

    /// True when all runs that may have been started on it are of one job, but
    /// for long-running ones that were seen at work.
    bool runs_one_job() const;
};

/// The workers by id.
class worker_pool
{
public:
    using worker_map = std::unordered_map<std::string, pool_worker>;

    /// Adds or updates a worker; its allocations are kept.
    pool_worker& put(worker_entry const& entry);
    void remove(std::string const& id);

    pool_worker* find(std::string const& id);
    pool_worker const* find(std::string const& id) const;
    worker_map& all() { return this->by_id; }
    worker_map const& all() const { return this->by_id; }

    /// Allocates capacity to a task. Throws std::logic_error when this would
    /// exceed the worker's capacity or the task already has an allocation on
    /// it. `already_running` work is exempt from the capacity check, because
    /// it occupies the worker in any case.
    task_allocation& allocate(pool_worker& worker, task_id const& task,
        task_allocation const& wanted, bool already_running = false);

    /// Sets the need of an allocation that was made before its job was known.
    void set_need(
        pool_worker& worker, task_id const& task, resources const& need);

    /// Sets the customer and use of an allocation that was made before its job
    /// was known.
    void set_customer(pool_worker& worker, task_id const& task,
        std::string const& customer, resources const& use);

    /// What may be running for a customer: the sum of `use` over its
    /// allocations.
    resources usage_of(std::string const& customer) const;

    /// True while some allocation has no known need.
    bool has_unknown_needs() const { return this->unknown_needs > 0; }

    /// Isolates an allocation that was made before its job was known.
    void isolate(pool_worker& worker, task_id const& task);

    /// Releases the allocation of a task; false when it has none.
    bool release(std::string const& worker, task_id const& task);

    /// A worker on which the task has an allocation; null when there is none.
    std::string const* find_holder(task_id const& task) const;

    /// The tasks of a job that have an allocation, each with its worker.
    std::vector<std::pair<task_id, std::string>> allocations_of(
        std::string const& job) const;

private:
    void add_usage(task_allocation const& allocation);
    void subtract_usage(task_allocation const& allocation);

    worker_map by_id;
    // Invariant: by customer, the sum of `use` over its allocations; no entry
    // where that is zero.
    std::unordered_map<std::string, resources> usage;
    // Invariant: the sum of `unknown_needs` over the workers.
    std::size_t unknown_needs = 0;
    // All allocations, by task.
    std::set<std::pair<task_id, std::string>> holders;
};

} // namespace toucanlever
