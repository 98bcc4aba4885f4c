/// Runs the placement policy over the workers that this scheduler controls,
/// when a job arrives and when capacity becomes free.
#pragma once

#include "toucanlever/control/configuration_controller.hpp"
#include "toucanlever/control/job_record.hpp"
#include "toucanlever/control/preemptible_jobs.hpp"
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

/// Batch work of a peer on a worker that this scheduler controls; only the
/// peer can stop it.
struct peer_preemptible
{
    std::string incarnation;
    borrowed_worker capacity;
};

/// Owns the policy with its queue, and the view of the controlled workers.
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

    /// `stop` stops a running job at a checkpoint to free its capacity.
    void set_stop(std::function<void(std::string const& job_id)> stop)
    {
        this->stop = std::move(stop);
    }

    /// `lenders` lists the peers' work that could be stopped on workers of
    /// this scheduler; `request_preemption` asks the peer that owns such work
    /// to stop enough of it.
    void set_peer_preemptible(
        std::function<std::vector<peer_preemptible>()> lenders,
        std::function<void(std::string const& owner, capacity_request const&)>
            request_preemption)
    {
        this->lenders = std::move(lenders);
        this->request_preemption = std::move(request_preemption);
    }

    /// Preempts jobs of this scheduler on a worker that a peer controls and
    /// needs for urgent work.
    void handle_capacity_request(capacity_request const& request);

    /// What this scheduler could stop on workers that it does not control, as
    /// of the last `refresh_preemptible`.
    std::vector<borrowed_worker> const& capacity_elsewhere() const
    {
        return this->elsewhere_capacity;
    }

    /// Marks a started job as preemptible.
    void track(job_record const& job);
    void untrack(std::string const& job_id);

    void enqueue(queued_job job);
    /// Removes a job from the queue; returns false when it was not queued.
    bool remove(std::string const& job_id);
    /// Ends the charge for capacity that a customer's job used.
    void remove_usage(std::string const& customer, resources const& need);
    /// Charges a customer for a task of a job that was adopted while running.
    void add_usage(std::string const& customer, resources const& need);

    /// Updates the view: a worker was gained or lost, or its free capacity
    /// changed.
    void update_worker(worker_session const& worker);

    /// Delays the next probe of a suspected worker that failed a task.
    void delay_probe(std::string const& worker);

    /// Applies changed weights or a changed preset.
    void reconfigure();

    /// Posts a run of the policy to the event loop, unless one is pending or
    /// no job is queued.
    void schedule_run();

    cell_view const& view() const { return this->cell; }
    std::size_t queued_count() const { return this->policy->size(); }
    /// What preemption could free on one worker, as of the last
    /// `refresh_preemptible`. Cached: computing it examines every running task.
    resources const& largest_preemptible() const { return this->preemptible; }
    /// Recomputes `largest_preemptible` and `capacity_elsewhere`.
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
    std::function<std::vector<peer_preemptible>()> lenders;
    std::function<void(std::string const&, capacity_request const&)>
        request_preemption;
    preemptible_jobs stoppable;
    resources preemptible;
    std::vector<borrowed_worker> elsewhere_capacity;
    bool run_pending = false;
    // When each suspected worker may next be probed with a task.
    std::map<std::string, time_point> next_probe;
    event_loop::timer_id timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
