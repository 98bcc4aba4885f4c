/// Runs the placement policy over the workers that this scheduler controls,
/// whenever a job arrives or something becomes free.
#pragma once

#include "toucanlever/control/configuration_controller.hpp"
#include "toucanlever/control/job_record.hpp"
#include "toucanlever/control/stoppable_jobs.hpp"
#include "toucanlever/control/worker_health.hpp"
#include "toucanlever/control/worker_session.hpp"
#include "toucanlever/core/event_loop.hpp"
#include "toucanlever/policy/placement_policy.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace toucanlever
{

/// Work on a worker of this scheduler that only its owner can stop.
struct lender
{
    std::string incarnation;
    borrowed_worker capacity;
};

/// Queue, view and policy.
class placement_controller
{
public:
    /// `place` starts a decided job's tasks.
    using place_function = std::function<void(
        placement_decision const&, std::vector<std::string> const& workers)>;

    placement_controller(event_loop& loop, worker_health const& health,
        configuration_controller& configuration, bool log_decisions);
    ~placement_controller();

    void set_place(place_function place) { this->place = std::move(place); }

    /// `stop` stops a running job at a checkpoint to make room.
    void set_stop(std::function<void(std::string const& job_id)> stop)
    {
        this->stop = std::move(stop);
    }

    /// `lenders` lists what peers could stop here; `ask` asks one of them.
    void set_lenders(std::function<std::vector<lender>()> lenders,
        std::function<void(std::string const& owner, capacity_request const&)>
            ask)
    {
        this->lenders = std::move(lenders);
        this->request_preemption = std::move(ask);
    }

    /// A peer that controls the worker has urgent work for it.
    void handle_capacity_request(capacity_request const& request);

    /// What this scheduler could stop on workers that it does not control, as
    /// of the last `refresh_room`.
    std::vector<borrowed_worker> const& capacity_elsewhere() const
    {
        return this->elsewhere_capacity;
    }

    /// A placed job has started and may be stopped to make room.
    void track(job_record const& job);
    void untrack(std::string const& job_id);

    void enqueue(queued_job job);
    bool remove(std::string const& job_id);
    void remove_usage(std::string const& customer, resources const& need);
    /// A job that runs already was taken over.
    void add_usage(std::string const& customer, resources const& need);

    /// A worker was gained, lost, or has another free amount.
    void update_worker(worker_session const& worker);

    /// A suspected worker failed another task.
    void delay_probe(std::string const& worker);

    /// Weights or the preset changed.
    void reconfigure();

    /// Runs the policy soon.
    void schedule_run();

    cell_view const& view() const { return this->cell; }
    std::size_t queued_count() const { return this->policy->size(); }
    /// What stopping could make free on one worker, as of the last
    /// `refresh_room`: it looks at every running task, so nobody who only asks
    /// for it pays for that.
    resources const& largest_preemptible() const { return this->preemptible; }
    void refresh_preemptible();
    placement_policy const& queue() const { return *this->policy; }
    std::string explain(std::string const& job_id) const
    {
        return this->policy->explain(job_id, this->cell);
    }

private:
    bool may_take_work(worker_session const& worker);
    void run_policy();
    void preempt_for_queue();
    void request_peer_capacity();
    void log_decision(
        placement_decision const& decision, std::int64_t spent_us) const;

    event_loop& loop;
    worker_health const& health;
    configuration_controller& configuration;
    bool log_decisions;
    std::unique_ptr<placement_policy> policy;
    cell_view cell;
    place_function place;
    std::function<void(std::string const&)> stop;
    std::function<std::vector<lender>()> lenders;
    std::function<void(std::string const&, capacity_request const&)>
        request_preemption;
    stoppable_jobs stoppable;
    resources preemptible;
    std::vector<borrowed_worker> elsewhere_capacity;
    bool run_pending = false;
    // When each suspected worker may be tried again.
    std::map<std::string, time_point> next_probe;
    event_loop::timer_id timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
