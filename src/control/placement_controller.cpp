#include "toucanlever/control/placement_controller.hpp"

#include "toucanlever/core/log.hpp"
#include "toucanlever/core/metrics.hpp"

namespace toucanlever
{
namespace
{

// Decisions before control returns to the event loop for other messages.
constexpr int decisions_per_run = 200;
// The policy runs at this period even without events: decisions depend on how
// long jobs have waited.
constexpr milliseconds idle_run_period{500};
// Delay after a failed probe of a suspected worker.
constexpr milliseconds probe_interval{1000};

std::int64_t to_microseconds(time_point at)
{
    return at.time_since_epoch().count();
}

} // namespace

placement_controller::placement_controller(event_loop& loop,
    worker_health const& health, configuration_controller& configuration,
    bool log_decisions)
    : loop(loop)
    , health(health)
    , configuration(configuration)
    , log_decisions(log_decisions)
    , policy(make_weighted_share())
{
    this->timer = loop.every(idle_run_period, [this] { this->schedule_run(); });
}

placement_controller::~placement_controller()
{
    *this->alive = false;
    this->loop.cancel(this->timer);
}

void placement_controller::enqueue(queued_job job)
{
    this->policy->enqueue(std::move(job));
    this->schedule_run();
}

bool placement_controller::remove(std::string const& job_id)
{
    return this->policy->remove(job_id);
}

void placement_controller::add_usage(
    std::string const& customer, resources const& need)
{
    this->policy->add_usage(customer, need);
}

void placement_controller::remove_usage(
    std::string const& customer, resources const& need)
{
    this->policy->remove_usage(customer, need);
}

void placement_controller::update_worker(worker_session const& worker)
{
    std::string const& id = worker.info().id;
    auto slot = this->cell.find(id);
    bool usable = worker.holds_control() && !worker.info().leaving &&
                  this->may_take_work(worker);
    if (!usable)
    {
        if (slot)
        {
            this->policy->remove_worker(*slot);
            this->cell.remove(*slot);
        }
        return;
    }
    if (slot)
    {
        this->cell.set_free(*slot, worker.free());
    }
    else
    {
        worker_slot added = this->cell.add(id, worker.info().domain,
            worker.info().rack, worker.capacity(), worker.free());
        for (running_job const& job : this->stoppable.jobs_on(id))
        {
            this->policy->track(job, added);
        }
    }
    this->schedule_run();
}

/// A suspected worker gets one task at a time, and none for a while after a
/// failure, so that other workers run the tasks that would fail there. It is
/// not excluded for good, as all workers may be suspected.
bool placement_controller::may_take_work(worker_session const& worker)
{
    std::string const& id = worker.info().id;
    if (!this->health.is_suspected(id))
    {
        this->next_probe.erase(id);
        return true;
    }
    auto next = this->next_probe.find(id);
    bool due =
        next == this->next_probe.end() || this->loop.now() >= next->second;
    return due && !worker.has_tasks();
}

void placement_controller::delay_probe(std::string const& worker)
{
    this->next_probe[worker] = this->loop.now() + probe_interval;
}

void placement_controller::reconfigure()
{
    preset_config const& preset = this->configuration.preset();
    this->policy->set_weights(preset.entitlements);
    this->policy->set_batch_allowed(preset.place_batch);
    this->policy->set_share_preemption_allowed(preset.stop_for_shares);
    this->schedule_run();
}

void placement_controller::schedule_run()
{
    if (this->run_pending || this->policy->size() == 0)
    {
        return;
    }
    this->run_pending = true;
    auto still_alive = this->alive;
    this->loop.post(
        [this, still_alive]
        {
            if (*still_alive)
            {
                this->run_pending = false;
                this->run_policy();
            }
        });
}

void placement_controller::run_policy()
{
    for (int i = 0; i < decisions_per_run; ++i)
    {
        auto started_at = this->loop.now();
        auto decision =
            this->policy->place_next(this->cell, to_microseconds(started_at));
        if (!decision)
        {
            this->preempt_for_queue();
            return;
        }
        auto elapsed = this->loop.now() - started_at;
        metrics().observe("placement_decision_us", elapsed.count());
        std::vector<std::string> chosen;
        for (worker_slot slot : decision->slots)
        {
            chosen.push_back(this->cell.at(slot).id);
        }
        for (std::size_t task = 0; task < decision->slots.size(); ++task)
        {
            this->policy->add_usage(decision->job.customer, decision->job.need);
        }
        if (this->log_decisions)
        {
            this->log_decision(*decision, elapsed.count());
        }
        this->place(*decision, chosen);
    }
    this->schedule_run();
}

void placement_controller::preempt_for_queue()
{
    // Terminates: the policy reserves workers for each answer, and only a
    // limited number.
    for (;;)
    {
        auto victims = this->policy->preempt(
            this->cell, to_microseconds(this->loop.now()));
        if (victims.empty())
        {
            this->request_peer_capacity();
            return;
        }
        for (std::string const& job : victims)
        {
            log_line("preemption").with("job", job);
            metrics().count("preemptions");
            this->stop(job);
        }
    }
}

/// Asks peers to stop work on workers that this scheduler controls, when
/// preempting its own jobs frees too little for an urgent job. The work belongs
/// to the peers that controlled these workers before.
void placement_controller::request_peer_capacity()
{
    if (!this->lenders || !this->policy->needs_capacity())
    {
        return;
    }
    std::vector<borrowable_capacity> peer_capacity;
    std::map<worker_slot, std::string> owners;
    for (peer_preemptible const& each : this->lenders())
    {
        auto slot = this->cell.find(each.capacity.worker);
        if (slot && owners.emplace(*slot, each.incarnation).second)
        {
            peer_capacity.push_back({*slot, each.capacity.preemptible});
        }
    }
    while (auto reserved = this->policy->borrow(
               this->cell, peer_capacity, to_microseconds(this->loop.now())))
    {
        std::string const& owner = owners.at(reserved->slot);
        std::string const& worker = this->cell.at(reserved->slot).id;
        log_line("room-requested")
            .with("job", reserved->job)
            .with("worker", worker)
            .with("owner", owner)
            .with("cpu_millis", reserved->missing.cpu_millis)
            .with("memory_bytes", reserved->missing.memory_bytes)
            .with("accelerators", reserved->missing.accelerators);
        metrics().count("rooms_requested");
        this->request_preemption(
            owner, capacity_request{worker, reserved->missing});
    }
}

void placement_controller::handle_capacity_request(
    capacity_request const& request)
{
    for (std::string const& job :
        this->stoppable.choose_victims(request.worker, request.missing))
    {
        log_line("preemption")
            .with("job", job)
            .with("worker", request.worker)
            .with("reason", "urgent-work-of-its-controller");
        metrics().count("preemptions");
        this->stop(job);
    }
}

void placement_controller::refresh_preemptible()
{
    this->preemptible = this->policy->max_reclaimable(this->cell);
    this->elsewhere_capacity = this->stoppable.capacity_elsewhere(this->cell);
}

void placement_controller::track(job_record const& job)
{
    running_job running{job.id, job.spec.customer, job.spec.need,
        to_microseconds(this->loop.now())};
    this->stoppable.add(job.worker, running);
    auto slot = this->cell.find(job.worker);
    if (slot)
    {
        this->policy->track(running, *slot);
    }
}

void placement_controller::untrack(std::string const& job_id)
{
    this->stoppable.remove(job_id);
    this->policy->untrack(job_id);
}

void placement_controller::log_decision(
    placement_decision const& decision, std::int64_t spent_us) const
{
    view_worker const& first = this->cell.at(decision.slots.front());
    log_line("placement")
        .with("job", decision.job.id)
        .with("customer", decision.job.customer)
        .with("kind", name_of(decision.job.kind))
        .with("worker", first.id)
        .with("rack", first.rack)
        .with("tasks", decision.slots.size())
        .with("examined", decision.examined)
        .with("reason", decision.reason)
        .with("spent_us", spent_us);
}

} // namespace toucanlever
