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
    task_orders& orders, reserved_task_starter& starter)
    : state(state)
    , roster(roster)
    , orders(orders)
    , starter(starter)
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
    std::vector<step_rank> const ranks = order_steps(
        this->state.registry.ready(), wall_time_ms(), max_steps_per_pass);
    // Workers held back for steps of higher rank stay so during this pass only.
    ++this->pass;
    this->held_back_workers = 0;
    this->isolation_demand = 0;
    resources const largest_free = this->max_free();
    for (step_rank const& rank : ranks)
    {
        registry_step const* step = this->state.registry.find(rank.id);
        // A gang or a suspect that does not fit still has workers held back for
        // it.
        bool can_progress = step != nullptr &&
                            (step->spec->gang || step->is_suspect() ||
                                largest_free.fits(step->spec->capacity_need()));
        if (can_progress)
        {
            this->plan_step(rank);
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
    // The current configuration decides the service; the record does for a
    // queue that is no longer configured.
    queue_terms const* terms =
        this->state.dependencies.queues.terms(job.record.queue.name);
    request.service =
        terms != nullptr ? terms->service : job.record.queue.service;
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

void step_planner::plan_step(step_rank const& rank)
{
    registry_step* step = this->state.registry.find(rank.id);
    registry_job* job = this->state.registry.find(rank.id.job);
    if (step == nullptr || !this->may_start(*job) || step->waiting == 0)
    {
        return;
    }
    // A gang is allocated only after all tasks of its previous run have been
    // released, so the remaining ones are stopped first.
    bool partly_allocated =
        step->spec->gang && step->waiting < step->tasks.size();
    if (partly_allocated)
    {
        this->orders.stop_step(rank.id);
        return;
    }
    bool needs_tickets = job->record.queue.advice.required;
    bool may_request_advice =
        needs_tickets && this->can_request_advice(*job, *step);
    if (needs_tickets && !may_request_advice && step->advice.approved.empty() &&
        !step->spec->gang)
    {
        // No worker is approved, and no advice can be requested now.
        return;
    }
    placement_request request = this->make_request(*job, *step);
    request.allowed = [this, step](pool_worker const& worker)
    { return this->accepts(worker, *step); };
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
            this->hold_back_for_gang(*step, request);
        }
        return;
    }
    if (needs_tickets && !this->can_get_tickets(*job, *step, chosen))
    {
        this->hold_back_chosen(chosen);
        return;
    }
    this->allocate(*step, chosen, request.need);
    this->starter.start_reserved(*job, *step);
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

void step_planner::hold_back_for_gang(
    registry_step const& step, placement_request const& request)
{
    if (!this->may_hold_back())
    {
        return;
    }
    std::vector<std::pair<std::int64_t, pool_worker*>> freest;
    time_point now = this->state.dependencies.loop.now();
    for (auto& [id, worker] : this->state.pool.all())
    {
        bool eligible =
            worker.is_usable(now) && is_eligible(worker.entry, request) &&
            this->accepts(worker, step) &&
            (step.advice.queried.empty() || step.advice.approved.contains(id));
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

void step_planner::allocate(registry_step& step,
    std::vector<std::string> const& chosen, resources const& need)
{
    std::uint64_t first_run = this->next_run_number(step, step.spec->gang);
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
        task_id id{step.id, i};
        this->state.pool.allocate(
            *this->state.pool.find(chosen[next]), id, wanted);
        this->state.registry.mark_placed(id, wanted.run, chosen[next]);
        ++next;
    }
}

void step_planner::request_more_advice(
    registry_job& job, registry_step& step, placement_request const& request)
{
    step_advice const& advice = step.advice;
    // Emptiest workers first. Each worker prolongs the call, so the request
    // names only as many as are likely to suffice. A gang of more than three
    // tasks needs all its workers approved at once, so its request names the
    // maximum.
    constexpr std::size_t spare_workers = 6;
    constexpr std::size_t workers_per_task = 3;
    std::vector<std::pair<std::int64_t, std::string const*>> found;
    time_point now = this->state.dependencies.loop.now();
    for (auto const& [id, worker] : this->state.pool.all())
    {
        if (worker.is_usable(now) && is_eligible(worker.entry, request) &&
            worker.accepts(step.id.job, step.is_suspect()) &&
            !advice.queried.contains(id))
        {
            found.emplace_back(-worker.free.cpu_millis, &id);
        }
    }
    std::size_t wanted = request.all_or_none && request.tasks > 3
                             ? placement_advice::max_workers
                             : workers_per_task * request.tasks + spare_workers;
    wanted = std::min({wanted, found.size(), placement_advice::max_workers});
    auto first = [](auto const& left, auto const& right)
    {
        return std::tie(left.first, *left.second) <
               std::tie(right.first, *right.second);
    };
    std::partial_sort(found.begin(),
        found.begin() + static_cast<std::ptrdiff_t>(wanted), found.end(),
        first);
    std::vector<std::string> workers;
    for (std::size_t i = 0; i < wanted; ++i)
    {
        workers.push_back(*found[i].second);
    }
    if (workers.empty())
    {
        return;
    }
    this->starter.request_advice(job, step, workers);
}

} // namespace toucanlever
