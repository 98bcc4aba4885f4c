#include "toucanlever/cell/step_planner.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

/// Delay from an event to the planning pass, so that one pass covers several
/// events.
constexpr milliseconds plan_delay{1};
/// Longer delay while many steps wait for capacity: most events do not let any
/// of them start.
constexpr milliseconds long_plan_delay{8};
constexpr std::size_t many_ready_steps = 60;
/// Run numbers of a leader term start above (fencing token - 1) times this, so
/// that they exceed all runs of earlier terms, which may not all be recorded.
constexpr std::uint64_t runs_per_term = 1000;
/// Steps examined in one pass; the rest wait for the next pass.
constexpr std::size_t max_steps_per_pass = 400;
/// Once one worker in this many is held back, no further step gets workers held
/// back; the step that reaches the limit may exceed it. Holding back workers
/// for every waiting step would leave them idle while other work fits.
constexpr std::size_t workers_per_held_back = 4;
/// At most one worker in this many is kept for tasks that run isolated, so that
/// a series of crashes leaves most of the cell to other work.
constexpr std::size_t workers_per_kept = 4;

} // namespace

step_planner::step_planner(dispatch_state& state, worker_roster const& roster,
    task_orders& orders, reserved_task_starter& starter, placement_log& log)
    : state(state)
    , roster(roster)
    , orders(orders)
    , starter(starter)
    , log(log)
    , boundary(state.dependencies.loop, state.dependencies.store,
          state.dependencies.leader_lease_duration)
{
}

step_planner::~step_planner()
{
    *this->alive = false;
}

void step_planner::enable()
{
    this->enabled = true;
    this->schedule_pass();
}

void step_planner::schedule_pass()
{
    if (this->pass_scheduled || !this->enabled)
    {
        return;
    }
    this->pass_scheduled = true;
    bool many = this->state.registry.ready().size() > many_ready_steps;
    this->state.dependencies.loop.after(many ? long_plan_delay : plan_delay,
        [this, alive = this->alive]
        {
            if (*alive)
            {
                this->pass_scheduled = false;
                this->run_pass();
            }
        });
}

bool step_planner::may_start(registry_job const& job) const
{
    if (this->roster.may_have_runs(job.record.id))
    {
        return false;
    }
    if (this->roster.is_reconciled())
    {
        return true;
    }
    // Other jobs may have runs on workers that have not answered yet.
    return this->boundary.is_after(job.version, this->state.jobs_read_until());
}

void step_planner::run_pass()
{
    if (!this->state.dependencies.may_start_work() ||
        !this->state.is_worker_list_current())
    {
        return;
    }
    std::int64_t wall_ms = wall_time_ms();
    std::size_t ready = this->state.registry.ready().size();
    std::vector<step_rank> const ranks =
        order_steps(this->state.registry.ready(), wall_ms, max_steps_per_pass);
    // Workers held back for steps of higher rank stay so during this pass only.
    ++this->pass;
    this->log.begin_pass(this->pass);
    this->log.note_unplanned(ready - ranks.size());
    this->held_back_workers = 0;
    this->isolation_demand = 0;
    resources const largest_free = this->max_free();
    for (step_rank const& rank : ranks)
    {
        registry_step* step = this->state.registry.find(rank.id);
        // A gang or a suspect that does not fit still has workers held back for
        // it.
        bool can_progress = step != nullptr &&
                            (step->spec->gang || step->is_suspect() ||
                                largest_free.fits(step->spec->capacity_need()));
        wait_reason reason =
            can_progress ? this->plan_step(rank) : wait_reason::no_capacity;
        if (step != nullptr && reason != wait_reason::none)
        {
            this->log.note_step(*step, reason,
                prospect_of(rank, wall_ms) != start_prospect::in_time);
        }
    }
    this->release_kept_workers();
}

resources step_planner::max_free() const
{
    resources largest_free;
    time_point now = this->state.dependencies.loop.now();
    for (auto const& [id, worker] : this->state.pool.all())
    {
        if (worker.is_usable(now))
        {
            largest_free.cpu_millis =
                std::max(largest_free.cpu_millis, worker.free.cpu_millis);
            largest_free.memory_bytes =
                std::max(largest_free.memory_bytes, worker.free.memory_bytes);
            largest_free.accelerators =
                std::max(largest_free.accelerators, worker.free.accelerators);
        }
    }
    return largest_free;
}

placement_request step_planner::make_request(
    registry_job const& job, registry_step const& step) const
{
    work_step const& spec = *step.spec;
    placement_request request;
    request.need = spec.capacity_need();
    request.tasks = step.waiting;
    request.all_or_none = spec.gang;
    request.prefers_one_rack = spec.gang && spec.prefers_one_rack;
    request.max_per_worker = spec.max_per_worker;
    request.required_label = spec.required_label;
    request.data_rack = spec.data_rack;
    request.prefers_fast_workers = job.record.queue.priority == 0;
    // The current configuration decides the service; the record does for a
    // queue that is no longer configured.
    queue_terms const* terms =
        this->state.dependencies.queues.terms(job.record.queue.name);
    request.service =
        terms != nullptr ? terms->service : job.record.queue.service;
    if (step.has_failed_worker)
    {
        for (registry_task const& task : step.tasks)
        {
            if (task.is_waiting() && !task.last_failed_worker.empty())
            {
                request.failed_workers.insert(task.last_failed_worker);
            }
        }
    }
    if (spec.max_per_worker == 0)
    {
        return request;
    }
    for (registry_task const& task : step.tasks)
    {
        if (!task.worker.empty())
        {
            ++request.placed_per_worker[task.worker];
        }
    }
    return request;
}

candidate_workers step_planner::candidates_for(
    registry_step const& step, bool needs_tickets) const
{
    candidate_workers workers;
    if (!needs_tickets)
    {
        workers.reserve(this->state.pool.all().size());
        for (auto const& [id, worker] : this->state.pool.all())
        {
            workers.push_back(&worker);
        }
        return workers;
    }
    for (auto const& [id, ticket] : step.advice.approved)
    {
        if (pool_worker const* worker = this->state.pool.find(id))
        {
            workers.push_back(worker);
        }
    }
    return workers;
}

bool step_planner::can_request_advice(
    registry_job const& job, registry_step const& step) const
{
    return !step.advice.pending &&
           this->state.dependencies.loop.now() >= step.advice.retry_at &&
           this->state.dependencies.advice.has_free_slot(
               advice_call_duration(job, 1));
}

wait_reason step_planner::plan_step(step_rank const& rank)
{
    registry_step* step = this->state.registry.find(rank.id);
    registry_job* job = this->state.registry.find(rank.id.job);
    if (step == nullptr || step->waiting == 0)
    {
        return wait_reason::none;
    }
    if (!this->may_start(*job))
    {
        return wait_reason::predecessor_unknown;
    }
    // A gang is allocated only after all tasks of its previous run have been
    // released, so the remaining ones are stopped first.
    bool partly_allocated =
        step->spec->gang && step->waiting < step->tasks.size();
    if (partly_allocated)
    {
        this->orders.stop_step(rank.id);
        return wait_reason::gang_ending;
    }
    bool needs_tickets = job->record.queue.advice.required;
    bool may_request_advice =
        needs_tickets && this->can_request_advice(*job, *step);
    if (needs_tickets && !may_request_advice && step->advice.approved.empty() &&
        !step->spec->gang)
    {
        // No worker is approved, and no advice can be requested now.
        return this->advice_wait(*job, *step);
    }
    placement_request request = this->make_request(*job, *step);
    request.allowed = [this, step](pool_worker const& worker)
    { return this->accepts(worker, *step); };
    if (needs_tickets)
    {
        request.ready = [this, step](pool_worker const& worker)
        { return this->starter.has_ticket(*step, worker.entry.id); };
    }
    std::vector<std::string> chosen =
        place_step(this->candidates_for(*step, needs_tickets), request,
            this->state.dependencies.loop.now());
    if (chosen.size() < request.tasks && may_request_advice)
    {
        this->request_more_advice(*job, *step, request);
    }
    if (chosen.size() < request.tasks && step->is_suspect())
    {
        this->keep_for_isolation(*step, request);
    }
    if (chosen.empty())
    {
        if (!step->is_suspect() && request.all_or_none && !step->advice.pending)
        {
            this->hold_back_for_gang(*step, request, needs_tickets);
        }
        return needs_tickets ? this->advice_wait(*job, *step)
                             : wait_reason::no_capacity;
    }
    if (needs_tickets && !this->can_get_tickets(*job, *step, chosen))
    {
        this->hold_back_chosen(chosen);
        return this->advice_wait(*job, *step);
    }
    this->allocate(*step, chosen, request.need);
    this->starter.start_reserved(*job, *step);
    if (step->waiting == 0)
    {
        return wait_reason::none;
    }
    return needs_tickets ? this->advice_wait(*job, *step)
                         : wait_reason::no_capacity;
}

wait_reason step_planner::advice_wait(
    registry_job const& job, registry_step const& step) const
{
    if (step.advice.pending)
    {
        return wait_reason::advice_pending;
    }
    if (this->state.dependencies.loop.now() < step.advice.retry_at)
    {
        return wait_reason::advice_failed;
    }
    if (!this->state.dependencies.advice.has_free_slot(
            advice_call_duration(job, 1)))
    {
        return wait_reason::no_advice_slot;
    }
    return wait_reason::not_approved;
}

bool step_planner::can_get_tickets(registry_job const& job,
    registry_step const& step, std::vector<std::string> const& chosen)
{
    std::set<std::string> without_ticket;
    for (std::string const& worker : chosen)
    {
        if (!this->starter.has_ticket(step, worker))
        {
            without_ticket.insert(worker);
        }
    }
    return without_ticket.empty() ||
           (!step.advice.pending &&
               this->state.dependencies.advice.has_free_slot(
                   advice_call_duration(job, without_ticket.size())));
}

bool step_planner::may_hold_back() const
{
    return this->held_back_workers * workers_per_held_back <
           this->state.pool.all().size();
}

void step_planner::hold_back(pool_worker& worker)
{
    if (!this->is_held_back(worker))
    {
        worker.held_back_in_pass = this->pass;
        ++this->held_back_workers;
    }
}

void step_planner::hold_back_chosen(std::vector<std::string> const& chosen)
{
    if (!this->may_hold_back())
    {
        return;
    }
    for (std::string const& worker : chosen)
    {
        this->hold_back(*this->state.pool.find(worker));
    }
}

void step_planner::hold_back_for_gang(registry_step const& step,
    placement_request const& request, bool needs_tickets)
{
    if (!this->may_hold_back())
    {
        return;
    }
    std::vector<std::pair<std::int64_t, pool_worker*>> freest;
    time_point now = this->state.dependencies.loop.now();
    for (auto& [id, worker] : this->state.pool.all())
    {
        bool eligible = worker.is_usable(now) &&
                        is_eligible(worker.entry, request) &&
                        this->accepts(worker, step) &&
                        (!needs_tickets || step.advice.approved.contains(id));
        if (eligible)
        {
            freest.emplace_back(worker.free.cpu_millis, &worker);
        }
    }
    std::make_heap(freest.begin(), freest.end());
    std::int64_t tasks = 0;
    while (tasks < request.tasks && !freest.empty())
    {
        std::pop_heap(freest.begin(), freest.end());
        pool_worker* worker = freest.back().second;
        freest.pop_back();
        this->hold_back(*worker);
        // The whole capacity counts: the worker's current tasks will end, and
        // later steps of the pass cannot take their place.
        auto capacity = worker->entry.capacity.cpu_millis;
        tasks += request.need.cpu_millis > 0
                     ? capacity / request.need.cpu_millis
                     : request.tasks;
    }
}

void step_planner::keep_for_isolation(
    registry_step const& step, placement_request const& request)
{
    time_point now = this->state.dependencies.loop.now();
    pool_worker* freest = nullptr;
    std::size_t kept = 0;
    std::size_t wanted = 0;
    for (auto& [id, worker] : this->state.pool.all())
    {
        if (!worker.is_usable(now) || !is_eligible(worker.entry, request))
        {
            continue;
        }
        wanted = std::max(wanted, this->workers_for(worker, request));
        if (worker.kept_for_isolation)
        {
            ++kept;
            continue;
        }
        bool may_be_approved = step.advice.approved.contains(id) ||
                               !step.advice.queried.contains(id);
        if (may_be_approved &&
            (freest == nullptr ||
                std::pair(worker.free.cpu_millis, id) >
                    std::pair(freest->free.cpu_millis, freest->entry.id)))
        {
            freest = &worker;
        }
    }
    this->isolation_demand += wanted;
    std::size_t limit =
        std::max(wanted, this->state.pool.all().size() / workers_per_kept);
    if (freest != nullptr && kept < std::min(this->isolation_demand, limit))
    {
        freest->kept_for_isolation = true;
    }
}

std::size_t step_planner::workers_for(
    pool_worker const& worker, placement_request const& request) const
{
    // Tasks that are not a gang can run one after the other.
    if (!request.all_or_none || request.need.cpu_millis == 0)
    {
        return 1;
    }
    auto per_worker = static_cast<std::size_t>(
        worker.entry.capacity.cpu_millis / request.need.cpu_millis);
    return (request.tasks + per_worker - 1) / per_worker;
}

void step_planner::release_kept_workers()
{
    if (this->isolation_demand > 0)
    {
        return;
    }
    for (auto& [id, worker] : this->state.pool.all())
    {
        worker.kept_for_isolation = false;
    }
}

std::uint64_t step_planner::next_run_number(
    registry_step const& step, bool whole_gang) const
{
    std::uint64_t last = (this->state.proof.fencing_token - 1) * runs_per_term;
    if (whole_gang)
    {
        for (registry_task const& task : step.tasks)
        {
            last = std::max(last, task.run);
        }
    }
    return last + 1;
}

void step_planner::allocate(
    registry_step& step, std::vector<std::string> chosen, resources const& need)
{
    if (step.has_failed_worker)
    {
        std::vector<std::string_view> last_failed;
        for (registry_task const& task : step.tasks)
        {
            if (task.is_waiting())
            {
                last_failed.push_back(task.last_failed_worker);
            }
        }
        avoid_failed_workers(chosen, last_failed);
    }
    std::uint64_t first_run = this->next_run_number(step, step.spec->gang);
    time_point now = this->state.dependencies.loop.now();
    std::set<std::string> const workers(chosen.begin(), chosen.end());
    std::size_t next = 0;
    for (std::uint32_t i = 0; i < step.tasks.size() && next < chosen.size();
         ++i)
    {
        registry_task& task = step.tasks[i];
        if (!task.is_waiting())
        {
            continue;
        }
        task_allocation wanted;
        wanted.run =
            step.spec->gang ? first_run : std::max(first_run, task.run + 1);
        wanted.need = need;
        wanted.isolated = step.is_suspect();
        wanted.workers_of_gang = step.spec->gang ? workers.size() : 1;
        task_id id{step.id, i};
        pool_worker& worker = *this->state.pool.find(chosen[next]);
        this->state.pool.allocate(worker, id, wanted);
        worker.history.note_placement(now);
        this->state.registry.mark_placed(id, wanted.run, chosen[next]);
        ++next;
    }
}

std::uint32_t step_planner::count_missing(
    registry_step const& step, placement_request const& request) const
{
    time_point now = this->state.dependencies.loop.now();
    std::uint32_t missing = request.tasks;
    for (auto const& [id, ticket] : step.advice.approved)
    {
        pool_worker const* worker = this->state.pool.find(id);
        if (worker != nullptr && worker->is_usable(now) &&
            is_eligible(worker->entry, request) && this->accepts(*worker, step))
        {
            missing -= std::min(
                missing, tasks_that_fit(worker->entry, worker->free, request));
        }
    }
    return missing;
}

void step_planner::request_more_advice(
    registry_job& job, registry_step& step, placement_request const& request)
{
    // How long a step waits before a decision against another call is made
    // again; tasks take longer than this to end.
    constexpr milliseconds reconsider_period{100};
    // Most tasks end within this time, and make room on approved workers.
    constexpr milliseconds patience{2000};
    time_point now = this->state.dependencies.loop.now();
    if (now < step.advice.reconsider_at)
    {
        return;
    }
    advice_demand demand;
    // A gang that does not fit needs at least one task more than it has room
    // for, also when its approved workers have room but are held back.
    demand.missing_tasks =
        std::max(this->count_missing(step, request), std::uint32_t{1});
    demand.all_or_none = request.all_or_none;
    demand.calls_are_scarce = this->state.registry.ready().size() >
                              this->state.dependencies.advice.slot_count();
    demand.has_waited_long = now - step.advice.answered_at >= patience;
    demand.approval_share =
        this->state.approvals[job.record.queue.name].share();
    std::vector<advice_option> options;
    for (auto const& [id, worker] : this->state.pool.all())
    {
        bool eligible = worker.is_usable(now) &&
                        is_eligible(worker.entry, request) &&
                        worker.accepts(step.id.job, step.is_suspect());
        if (!eligible)
        {
            continue;
        }
        std::uint32_t fitting_empty =
            tasks_that_fit(worker.entry, worker.entry.capacity, request);
        if (step.advice.queried.contains(id))
        {
            demand.fitting_approved_empty +=
                step.advice.approved.contains(id) ? fitting_empty : 0;
            continue;
        }
        resources unclaimed = worker.free - this->state.claims.on(id);
        options.push_back(
            {&id, tasks_that_fit(worker.entry, unclaimed, request),
                fitting_empty, worker.free.cpu_millis,
                request.prefers_fast_workers ? worker.speed
                                             : worker_speed::normal});
    }
    std::vector<std::string> workers =
        choose_workers_to_query(std::move(options), demand);
    if (workers.empty())
    {
        step.advice.reconsider_at = now + reconsider_period;
        return;
    }
    auto share = [&workers, &demand](std::int64_t amount)
    {
        return amount * demand.missing_tasks /
               static_cast<std::int64_t>(workers.size());
    };
    resources const& need = request.need;
    this->starter.request_advice(job, step, workers,
        {share(need.cpu_millis), share(need.memory_bytes),
            share(need.accelerators)});
}

} // namespace toucanlever
