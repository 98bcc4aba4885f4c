/// Decides which job starts next and where. Pure: no I/O, no threads, and
/// time comes in as an argument, so that the scheduler, the tests and the
/// benchmark run the very same code.
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

/// A job as the policy sees it. Times are microseconds on one steady clock.
struct queued_job
{
    std::string id;
    std::string customer;
    /// Tasks of one service are spread by this name.
    std::string name;
    job_kind kind = job_kind::batch;
    resources need;
    std::uint32_t tasks = 1;
    bool urgent = false;
    std::int64_t queued_at_us = 0;
    /// Start deadline; 0 for none.
    std::int64_t deadline_us = 0;

    /// Of all its tasks.
    resources total_need() const;
};

/// A job and the workers its tasks go to, in the order of the tasks. The
/// needs are taken from the view already.
struct placement_decision
{
    queued_job job;
    std::vector<worker_slot> slots;
    std::uint32_t examined = 0;
    std::string_view reason;
};

/// A running job that may be stopped at a checkpoint and goes on from there.
struct running_job
{
    std::string id;
    std::string customer;
    resources need;
    /// When this attempt began.
    std::int64_t started_us = 0;
};

/// Running jobs of another scheduler on a worker of this view, which only
/// that one can stop.
struct borrowable_capacity
{
    worker_slot slot = 0;
    /// What stopping all of them would make free.
    resources preemptible;
};

/// A worker that was set aside for a job, and what others have to make free
/// on it.
struct borrowed_capacity
{
    std::string job;
    worker_slot slot = 0;
    resources missing;
};

/// Weights of customers under the preset in force.
using share_weights = std::map<std::string, std::int64_t>;

/// A queue and a choice.
class placement_policy
{
public:
    virtual ~placement_policy() = default;

    virtual void enqueue(queued_job job) = 0;

    /// Takes a job out of the queue; false when it is not there.
    virtual bool remove(std::string const& job_id) = 0;

    /// The next job that can start now, or nothing.
    virtual std::optional<placement_decision> place_next(
        cell_view& cell, std::int64_t now_us) = 0;

    /// What a customer's running tasks hold changed.
    virtual void add_usage(
        std::string const& customer, resources const& need) = 0;
    virtual void remove_usage(
        std::string const& customer, resources const& need) = 0;

    virtual void set_weights(share_weights weights) = 0;

    /// False keeps batch jobs and gangs waiting.
    virtual void set_batch_allowed(bool allowed) = 0;

    /// False stops running work for urgent work only, not for customers that
    /// have less than their part.
    virtual void set_share_preemption_allowed(bool allowed) = 0;

    /// A placed job may be stopped to make room for other work.
    virtual void track(running_job job, worker_slot slot) = 0;
    virtual void untrack(std::string const& job_id) = 0;

    /// For a job that fits nowhere and is urgent, or whose customer has less
    /// than its part: jobs whose stop makes room. The workers are set aside.
    virtual std::vector<std::string> preempt(
        cell_view& cell, std::int64_t now_us) = 0;

    /// True while an urgent job waits for which no room is being made.
    virtual bool needs_capacity() const = 0;

    /// For an urgent job of one task that `preempt` could not help: a worker
    /// of `lent` on which others could make room. It is set aside for a while;
    /// when the room has not come by then, the job may be helped elsewhere.
    virtual std::optional<borrowed_capacity> borrow(cell_view& cell,
        std::vector<borrowable_capacity> const& lent, std::int64_t now_us) = 0;

    /// True while workers are set aside for this job.
    virtual bool awaits_capacity(std::string const& job_id) const = 0;

    /// The most of each dimension that stopping could make free on one worker.
    virtual resources max_reclaimable(cell_view const& cell) const = 0;

    /// A worker is about to leave the view: forget what points at it.
    virtual void remove_worker(worker_slot slot) = 0;

    virtual std::size_t size() const = 0;

    /// Up to `limit` waiting jobs queued before `before_us`, oldest first.
    virtual std::vector<queued_job> waiting(
        std::size_t limit, std::int64_t before_us) const = 0;

    /// Why a job waits, for people.
    virtual std::string explain(
        std::string const& job_id, cell_view const& cell) const = 0;
};

/// First come, first served, lowest fitting worker: what the other policy is
/// measured against.
std::unique_ptr<placement_policy> make_fifo_first_fit();

/// Urgent work first, then the customer with the lowest weighted dominant
/// share; tight fits; old jobs that fit nowhere get a worker set aside.
std::unique_ptr<placement_policy> make_weighted_share();

/// By name ("weighted-share", "fifo-first-fit"); null for another name.
std::unique_ptr<placement_policy> make_policy(std::string_view name);

} // namespace toucanlever
