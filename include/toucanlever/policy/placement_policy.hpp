/// Decides which job starts next and where. No I/O, no threads, and time is an
/// argument, so that the scheduler, the tests and the benchmark run the same
/// code.
#pragma once

#include "toucanlever/core/job.hpp"
#include "toucanlever/policy/cell_view.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucanlever
{

/// A waiting job as the policy sees it. Times are microseconds on one steady
/// clock.
struct queued_job
{
    std::string id;
    std::string customer;
    /// Tasks of services with the same name are spread over racks.
    std::string name;
    job_kind kind = job_kind::batch;
    /// Per task.
    resources need;
    std::uint32_t tasks = 1;
    bool urgent = false;
    std::int64_t queued_at_us = 0;
    /// Start deadline; 0 for none.
    std::int64_t deadline_us = 0;

    /// Sum over all its tasks.
    resources total_need() const;
};

/// A job and the workers of its tasks, in task order. The needs are allocated
/// in the view already.
struct placement_decision
{
    queued_job job;
    std::vector<worker_slot> slots;
    /// Number of workers examined.
    std::uint32_t examined = 0;
    /// How the workers were chosen, for the log.
    std::string_view reason;
};

/// A running job that may be stopped at a checkpoint and resumes from there.
struct running_job
{
    std::string id;
    std::string customer;
    resources need;
    /// When this attempt began.
    std::int64_t started_us = 0;
};

/// Capacity on a worker of this view that jobs of another scheduler use; only
/// that scheduler can stop them.
struct borrowable_capacity
{
    worker_slot slot = 0;
    /// Becomes free when all of these jobs are stopped.
    resources preemptible;
};

/// A worker reserved for a job, and the capacity that other schedulers have to
/// free on it.
struct borrowed_capacity
{
    std::string job;
    worker_slot slot = 0;
    resources missing;
};

/// Weights of customers under the active preset.
using share_weights = std::map<std::string, std::int64_t>;

/// Holds the waiting jobs and chooses the next one to start.
class placement_policy
{
public:
    virtual ~placement_policy() = default;

    virtual void enqueue(queued_job job) = 0;

    /// Removes a job from the queue; false when it is not queued.
    virtual bool remove(std::string const& job_id) = 0;

    /// The next job that can start now, or nothing.
    virtual std::optional<placement_decision> place_next(
        cell_view& cell, std::int64_t now_us) = 0;

    /// Adds to, or removes from, the amount that a customer's running tasks
    /// use.
    virtual void add_usage(
        std::string const& customer, resources const& need) = 0;
    virtual void remove_usage(
        std::string const& customer, resources const& need) = 0;

    virtual void set_weights(share_weights weights) = 0;

    /// False keeps batch jobs and gangs waiting unless they are urgent.
    virtual void set_batch_allowed(bool allowed) = 0;

    /// False restricts preemption to urgent work: running work is not stopped
    /// for customers that are below their share.
    virtual void set_share_preemption_allowed(bool allowed) = 0;

    /// Registers a placed job that may be preempted.
    virtual void track(running_job job, worker_slot slot) = 0;
    virtual void untrack(std::string const& job_id) = 0;

    /// Chooses running jobs to stop for a waiting job that fits nowhere and
    /// that is urgent or whose customer is below its share. Returns their ids;
    /// their workers are reserved for the waiting job.
    virtual std::vector<std::string> preempt(
        cell_view& cell, std::int64_t now_us) = 0;

    /// True while an urgent job waits without a reservation.
    virtual bool needs_capacity() const = 0;

    /// For an urgent job of one task that `preempt` could not help: reserves a
    /// worker of `borrowable` on which other schedulers can free capacity. The
    /// reservation expires, so that the job can try another worker.
    virtual std::optional<borrowed_capacity> borrow(cell_view& cell,
        std::vector<borrowable_capacity> const& borrowable,
        std::int64_t now_us) = 0;

    /// True while workers are reserved for this job.
    virtual bool awaits_capacity(std::string const& job_id) const = 0;

    /// The maximum of each dimension that preemption can make free on any one
    /// worker.
    virtual resources max_reclaimable(cell_view const& cell) const = 0;

    /// Drops all references to a worker that is about to leave the view.
    virtual void remove_worker(worker_slot slot) = 0;

    virtual std::size_t size() const = 0;

    /// Up to `limit` waiting jobs queued before `before_us`, oldest first.
    virtual std::vector<queued_job> waiting(
        std::size_t limit, std::int64_t before_us) const = 0;

    /// Explains to an operator why a job waits.
    virtual std::string explain(
        std::string const& job_id, cell_view const& cell) const = 0;
};

/// First come, first served, on the fitting worker with the lowest slot; the
/// baseline in benchmarks.
std::unique_ptr<placement_policy> make_fifo_first_fit();

/// Urgent work first, then the customer with the lowest weighted dominant
/// share; tight fits; old jobs that fit nowhere get reserved workers.
std::unique_ptr<placement_policy> make_weighted_share();

/// Creates a policy by name ("weighted-share", "fifo-first-fit"); null for an
/// unknown name.
std::unique_ptr<placement_policy> make_policy(std::string_view name);

} // namespace toucanlever
