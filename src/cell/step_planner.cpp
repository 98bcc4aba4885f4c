#include "toucanlever/cell/step_planner.hpp"

#include "toucanlever/cell/customer_cap.hpp"
#include "toucanlever/cell/fair_share.hpp"
#include "toucanlever/core/metrics.hpp"

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
/// Time of one pass, so that reports and advice are handled in between; urgent
/// steps that can be in time may use twice as much.
constexpr microseconds pass_budget{4000};
constexpr std::size_t steps_per_time_check = 8;
/// Steps of the round that a pass plans at least, also when urgent steps use up
/// its time.
constexpr std::size_t min_other_steps = 8;
/// Once one worker in this many is held back, no further step gets workers held
/// back; the step that reaches the limit may exceed it. Holding back workers
/// for every waiting step would leave them idle while other work fits.
constexpr std::size_t workers_per_held_back = 4;
/// At most one worker in this many is kept for tasks that run isolated, so that
/// a series of crashes leaves most of the cell to other work.
constexpr std::size_t workers_per_kept = 4;
/// How long a task under which one worker has crashed waits for a worker on
/// which no other job has work that will end.
constexpr std::chrono::seconds isolation_patience{10};
/// How long workers with at least half of their processors free are held back
/// for a step; other work has none of them for that long.
constexpr std::chrono::seconds max_idle_hold{5};

/// False when the external policy was asked about the worker and refused it.
bool may_be_approved(registry_step const& step, std::string const& worker)
{
    return step.advice.approved.contains(worker) ||
           !step.advice.queried.contains(worker);
}

/// True for steps that never wait for the end of a round.
bool is_urgent(step_rank const& rank, start_prospect prospect)
{
    return rank.priority == 0 && prospect == start_prospect::in_time;
}

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
    , unseen(state, roster,
          [this](registry_job const& job) { return !this->may_start(job); })
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

void step_planner::note_job_added(registry_job const& job)
{
    if (!job.record.customer.name.empty() && !this->may_start(job))
    {
        this->unseen.expire();
    }
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
    time_point now = this->state.dependencies.loop.now();
    ++this->pass;
    this->log.begin_pass(this->pass);
    this->held_back_workers = 0;
    this->isolation_demand = 0;
    this->searches = 0;
    this->listed_labels.clear();
    this->next_due_at = time_point::max();
    resources const largest_free = this->find_usable_workers();
    ready_steps const steps = this->select_steps(now, wall_ms);
    auto const over_share = this->customers_over_share(steps);
    share_test is_over_share;
    if (!over_share.empty())
    {
        is_over_share = [&over_share](step_rank const& rank)
        { return over_share.contains(rank.step->job->record.customer.name); };
    }
    std::size_t left = this->plan_in_order(
        order_steps(steps.candidates, wall_ms, is_over_share), largest_free,
        now, wall_ms);
    for (registry_step const* step : steps.skipped)
    {
        this->log.note_skipped(*step);
    }
    this->log.note_unplanned(left);
    this->release_kept_workers();
    this->caps.end_pass(this->state.dependencies.loop.now());
    metrics().count("placement_searches", this->searches);
    if (left > 0)
    {
        this->schedule_pass();
    }
    this->schedule_next_due(now);
}

resources step_planner::find_usable_workers()
{
    this->usable.clear();
    this->usable_candidates.clear();
    this->claims_changed = true;
    resources largest_free;
    time_point now = this->state.dependencies.loop.now();
    for (auto& [id, worker] : this->state.pool.all())
    {
        if (worker.is_usable(now))
        {
            this->usable.push_back({&worker, {}});
            this->usable_candidates.push_back(&worker);
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

void step_planner::update_claims()
{
    if (!this->claims_changed)
    {
        return;
    }
    this->claims_changed = false;
    for (usable_worker& each : this->usable)
    {
        each.claimed = this->state.claims.on(each.worker->entry.id);
    }
}

step_planner::ready_steps step_planner::select_steps(
    time_point now, std::int64_t wall_ms)
{
    ready_steps steps;
    for (step_rank const& rank : this->state.registry.ready())
    {
        registry_step const& step = *rank.step;
        step_planning const& planning = step.planning;
        start_prospect prospect = prospect_of(rank, wall_ms);
        bool is_due = planning.is_due(prospect, step.advice.pending, now);
        if (is_due || planning.holds_workers(now) ||
            planning.isolation_demand > 0)
        {
            steps.candidates.push_back(&step.rank);
        }
        if (is_due)
        {
            continue;
        }
        steps.skipped.push_back(&step);
        if (!step.advice.pending)
        {
            this->next_due_at =
                std::min(this->next_due_at, planning.not_before);
        }
    }
    return steps;
}

std::unordered_set<std::string> step_planner::customers_over_share(
    ready_steps const& steps) const
{
    queue_directory const& queues = this->state.dependencies.queues;
    if (queues.customers().empty())
    {
        return {};
    }
    resources capacity;
    for (usable_worker const& each : this->usable)
    {
        capacity += each.worker->entry.capacity;
    }
    std::unordered_set<std::string_view> seen;
    std::vector<customer_usage> waiting;
    for (step_rank const* rank : steps.candidates)
    {
        std::string const& name = rank->step->job->record.customer.name;
        customer_terms const* terms = queues.customer_of(name);
        if (terms != nullptr && seen.insert(name).second)
        {
            waiting.push_back(
                {name, terms->weight, this->state.pool.usage_of(name)});
        }
    }
    return customers_above_share(waiting, capacity);
}

bool step_planner::is_left_in_round(
    registry_step const& step, start_prospect prospect) const
{
    std::uint64_t current =
        is_urgent(step.rank, prospect) ? this->urgent_round : this->round;
    return step.planning.has_event || step.planning.round != current;
}

std::size_t step_planner::plan_in_order(
    std::vector<step_rank const*> const& ordered, resources const& largest_free,
    time_point now, std::int64_t wall_ms)
{
    event_loop const& loop = this->state.dependencies.loop;
    microseconds elapsed{0};
    std::size_t planned = 0;
    std::size_t left = 0;
    std::size_t urgent_left = 0;
    std::size_t others_planned = 0;
    for (step_rank const* rank : ordered)
    {
        registry_step& step = *rank->step;
        start_prospect prospect = prospect_of(*rank, wall_ms);
        bool due = step.planning.is_due(prospect, step.advice.pending, now);
        if (!due || !this->is_left_in_round(step, prospect))
        {
            this->renew_holds(step, now);
            if (due)
            {
                this->log.note_skipped(step);
            }
            continue;
        }
        bool urgent = is_urgent(*rank, prospect);
        bool has_time =
            urgent ? elapsed < 2 * pass_budget
                   : elapsed < pass_budget || others_planned < min_other_steps;
        if (!has_time)
        {
            ++(urgent ? urgent_left : left);
            this->renew_holds(step, now);
            continue;
        }
        others_planned += urgent ? 0 : 1;
        step.planning.round = urgent ? this->urgent_round : this->round;
        this->plan_one(step, prospect, largest_free);
        if (++planned % steps_per_time_check == 0)
        {
            elapsed = loop.now() - now;
        }
    }
    if (urgent_left == 0)
    {
        this->urgent_round = ++this->last_round;
    }
    if (left == 0)
    {
        this->round = ++this->last_round;
    }
    return left + urgent_left;
}

void step_planner::plan_one(
    registry_step& step, start_prospect prospect, resources const& largest_free)
{
    time_point now = this->state.dependencies.loop.now();
    step_planning& planning = step.planning;
    planning.begin(prospect, now);
    wait_reason reason = this->can_progress(step, largest_free)
                             ? this->plan_step(step.rank)
                             : wait_reason::no_capacity;
    planning.end(reason, !step.advice.approved.empty());
    if (planning.not_before > now)
    {
        this->next_due_at = std::min(this->next_due_at, planning.not_before);
    }
    if (reason != wait_reason::none)
    {
        this->log.note_step(step, reason, prospect != start_prospect::in_time);
    }
}

bool step_planner::can_progress(
    registry_step const& step, resources const& largest_free)
{
    std::string const& label = step.spec->required_label;
    // The rest of a gang that has ended is stopped in any case.
    bool is_ending = step.spec->gang && step.waiting < step.tasks.size();
    if (!is_ending && !label.empty() && !this->is_listed_label(label))
    {
        return false;
    }
    // A gang or a suspect that does not fit still has workers held back for it.
    return step.spec->gang || step.is_suspect() ||
           largest_free.fits(step.spec->capacity_need());
}

bool step_planner::is_listed_label(std::string const& label)
{
    auto [entry, is_new] = this->listed_labels.try_emplace(label, false);
    if (is_new)
    {
        auto const& workers = this->state.pool.all();
        entry->second = std::any_of(workers.begin(), workers.end(),
            [&label](auto const& each)
            {
                auto const& labels = each.second.entry.labels;
                return !each.second.unlisted &&
                       std::find(labels.begin(), labels.end(), label) !=
                           labels.end();
            });
    }
    return entry->second;
}

void step_planner::renew_holds(registry_step const& step, time_point now)
{
    step_planning const& planning = step.planning;
    // A step that waits for its advice needs the workers kept for it for as
    // long as the call takes.
    if (step.advice.pending ||
        now < planning.planned_at + step_planning::hold_duration)
    {
        this->isolation_demand += planning.isolation_demand;
    }
    if (!this->may_hold_back() || !planning.holds_workers(now))
    {
        return;
    }
    for (std::string const& id : planning.held_workers)
    {
        if (pool_worker* worker = this->state.pool.find(id))
        {
            this->mark_held_back(*worker);
        }
    }
}

void step_planner::schedule_next_due(time_point now)
{
    bool is_earlier =
        this->due_timer == 0 || this->next_due_at < this->due_timer_at;
    if (this->next_due_at == time_point::max() || !is_earlier)
    {
        return;
    }
    event_loop& loop = this->state.dependencies.loop;
    if (this->due_timer != 0)
    {
        loop.cancel(this->due_timer);
    }
    // The minimum bounds the passes when each step is due at another time.
    microseconds delay =
        std::max<microseconds>(this->next_due_at - now, long_plan_delay);
    this->due_timer_at = now + delay;
    this->due_timer = loop.after(delay,
        [this, alive = this->alive]
        {
            if (*alive)
            {
                this->due_timer = 0;
                this->schedule_pass();
            }
        });
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
    request.avoids_held_back_workers = !spec.gang;
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

candidate_workers const& step_planner::candidates_for(
    registry_step const& step, bool needs_tickets)
{
    if (!needs_tickets)
    {
        return this->usable_candidates;
    }
    this->approved_candidates.clear();
    for (auto const& [id, ticket] : step.advice.approved)
    {
        if (pool_worker const* worker = this->state.pool.find(id))
        {
            this->approved_candidates.push_back(worker);
        }
    }
    return this->approved_candidates;
}

bool step_planner::can_request_advice(
    registry_job const& job, registry_step const& step) const
{
    return !step.advice.pending &&
           this->state.dependencies.loop.now() >= step.advice.retry_at &&
           this->state.dependencies.advice.has_free_slot(
               advice_call_duration(job, 1));
}

std::uint32_t step_planner::tasks_within_cap_of(
    registry_job const& job, registry_step const& step, std::uint32_t startable)
{
    customer_terms const& accepted = job.record.customer;
    if (accepted.name.empty())
    {
        return startable;
    }
    resources const& cap =
        cap_in_force(accepted, this->state.dependencies.queues);
    if (!limits_use(cap))
    {
        return startable;
    }
    time_point now = this->state.dependencies.loop.now();
    resources used = this->state.pool.usage_of(accepted.name);
    if (unseen_use::is_needed(this->state.pool, this->roster))
    {
        used += this->unseen.of(accepted.name, now);
    }
    std::uint32_t tasks = tasks_within_cap(
        cap, used, step.spec->need, startable, step.spec->gang);
    if (tasks < startable)
    {
        this->caps.note_limited(
            accepted.name, used.cpu_millis, cap.cpu_millis, now);
    }
    return tasks;
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
    time_point const now = this->state.dependencies.loop.now();
    std::uint32_t const startable = step->startable(now);
    if (startable == 0)
    {
        return wait_reason::restart_delayed;
    }
    std::uint32_t const within_cap =
        this->tasks_within_cap_of(*job, *step, startable);
    if (within_cap == 0)
    {
        return wait_reason::customer_cap;
    }
    bool const is_limited = within_cap < startable;
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
    request.tasks = within_cap;
    step->planning.wanted_isolation = this->isolation_for(*step, request);
    request.allowed = [this, step](pool_worker const& worker)
    { return this->accepts(worker, *step); };
    if (needs_tickets)
    {
        request.ready = [this, step](pool_worker const& worker)
        { return this->starter.has_ticket(*step, worker.entry.id); };
    }
    ++this->searches;
    std::vector<std::string> chosen =
        place_step(this->candidates_for(*step, needs_tickets), request, now);
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
        if (!request.all_or_none)
        {
            step->planning.idle_hold_since = {};
        }
        if (!step->is_suspect() && request.all_or_none && !step->advice.pending)
        {
            this->hold_back_for_gang(*step, request, needs_tickets);
        }
        return needs_tickets ? this->advice_wait(*job, *step)
                             : wait_reason::no_capacity;
    }
    if (needs_tickets && !this->can_get_tickets(*job, *step, chosen))
    {
        this->hold_back_chosen(*step, chosen);
        return this->advice_wait(*job, *step);
    }
    step->planning.suspect_since = {};
    step->planning.idle_hold_since = {};
    this->allocate(*job, *step, chosen, request.need);
    this->starter.start_reserved(*job, *step);
    if (step->waiting == 0)
    {
        return wait_reason::none;
    }
    if (is_limited && chosen.size() == request.tasks)
    {
        return wait_reason::customer_cap;
    }
    if (step->startable(now) == 0)
    {
        return wait_reason::restart_delayed;
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

void step_planner::mark_held_back(pool_worker& worker)
{
    if (!this->is_held_back(worker))
    {
        worker.held_back_in_pass = this->pass;
        worker.held_back_until =
            this->state.dependencies.loop.now() + step_planning::hold_duration;
        ++this->held_back_workers;
    }
}

void step_planner::note_idle_hold(registry_step& step,
    std::vector<pool_worker*> const& workers, time_point now)
{
    std::int64_t free = 0;
    std::int64_t capacity = 0;
    for (pool_worker const* worker : workers)
    {
        free += worker->free.cpu_millis;
        capacity += worker->entry.capacity.cpu_millis;
    }
    time_point& since = step.planning.idle_hold_since;
    if (2 * free < capacity)
    {
        since = {};
    }
    else if (since == time_point{})
    {
        since = now;
    }
}

void step_planner::hold_back(
    registry_step& step, std::vector<pool_worker*> const& workers)
{
    time_point const now = this->state.dependencies.loop.now();
    note_idle_hold(step, workers, now);
    time_point const since = step.planning.idle_hold_since;
    if (since != time_point{} && now - since >= max_idle_hold)
    {
        return;
    }
    for (pool_worker* worker : workers)
    {
        this->mark_held_back(*worker);
        step.planning.held_workers.push_back(worker->entry.id);
    }
}

void step_planner::hold_back_chosen(
    registry_step& step, std::vector<std::string> const& chosen)
{
    step.planning.found_capacity = true;
    if (!this->may_hold_back())
    {
        return;
    }
    std::vector<pool_worker*> workers;
    for (std::string const& worker : chosen)
    {
        workers.push_back(this->state.pool.find(worker));
    }
    this->hold_back(step, workers);
}

bool step_planner::can_ever_fit(
    registry_step const& step, placement_request const& request) const
{
    std::uint32_t missing = request.tasks;
    for (usable_worker const& each : this->usable)
    {
        pool_worker const& worker = *each.worker;
        if (is_eligible(worker.entry, request) &&
            may_be_approved(step, worker.entry.id))
        {
            resources const ending =
                worker.entry.capacity - worker.long_running_need();
            missing -= std::min(
                missing, tasks_that_fit(worker.entry, ending, request));
        }
    }
    return missing == 0;
}

void step_planner::hold_back_for_gang(
    registry_step& step, placement_request const& request, bool needs_tickets)
{
    if (!this->may_hold_back() || !this->can_ever_fit(step, request))
    {
        return;
    }
    std::vector<std::pair<std::int64_t, pool_worker*>> freest;
    for (usable_worker const& each : this->usable)
    {
        pool_worker& worker = *each.worker;
        bool eligible =
            is_eligible(worker.entry, request) && this->accepts(worker, step) &&
            (!needs_tickets || step.advice.approved.contains(worker.entry.id));
        if (eligible)
        {
            freest.emplace_back(worker.free.cpu_millis, &worker);
        }
    }
    std::make_heap(freest.begin(), freest.end());
    std::int64_t tasks = 0;
    std::vector<pool_worker*> held;
    while (tasks < request.tasks && !freest.empty())
    {
        std::pop_heap(freest.begin(), freest.end());
        pool_worker* worker = freest.back().second;
        freest.pop_back();
        held.push_back(worker);
        // The whole capacity counts: the worker's current tasks will end, and
        // later steps of the pass cannot take their place.
        auto capacity = worker->entry.capacity.cpu_millis;
        tasks += request.need.cpu_millis > 0
                     ? capacity / request.need.cpu_millis
                     : request.tasks;
    }
    this->hold_back(step, held);
}

isolation step_planner::isolation_for(
    registry_step& step, placement_request const& request) const
{
    if (!step.is_suspect())
    {
        return isolation::none;
    }
    time_point const now = this->state.dependencies.loop.now();
    if (step.planning.suspect_since == time_point{})
    {
        step.planning.suspect_since = now;
    }
    if (now - step.planning.suspect_since >= isolation_patience &&
        !step.has_crashed_repeatedly())
    {
        return isolation::from_new_work;
    }
    std::size_t wanted = 1;
    std::size_t can_be_free = 0;
    for (usable_worker const& each : this->usable)
    {
        pool_worker const& worker = *each.worker;
        if (is_eligible(worker.entry, request) &&
            may_be_approved(step, worker.entry.id))
        {
            wanted = std::max(wanted, this->workers_for(worker, request));
            can_be_free += worker.has_long_running_beside(step.id.job) ? 0 : 1;
        }
    }
    return can_be_free >= wanted ? isolation::from_all
                                 : isolation::from_ending_work;
}

void step_planner::keep_for_isolation(
    registry_step& step, placement_request const& request)
{
    if (step.planning.wanted_isolation == isolation::from_new_work)
    {
        // The step waits for capacity only.
        return;
    }
    time_point now = this->state.dependencies.loop.now();
    pool_worker* freest = nullptr;
    std::size_t kept = 0;
    std::size_t wanted = 0;
    for (auto& [id, worker] : this->state.pool.all())
    {
        bool const can_serve =
            step.planning.wanted_isolation != isolation::from_all ||
            !worker.has_long_running_beside(step.id.job);
        if (!worker.is_usable(now) || !is_eligible(worker.entry, request) ||
            !can_serve || !may_be_approved(step, id))
        {
            continue;
        }
        wanted = std::max(wanted, this->workers_for(worker, request));
        if (worker.kept_for_isolation)
        {
            ++kept;
            continue;
        }
        if (freest == nullptr ||
            std::pair(worker.free.cpu_millis, id) >
                std::pair(freest->free.cpu_millis, freest->entry.id))
        {
            freest = &worker;
        }
    }
    step.planning.isolation_demand = wanted;
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

void step_planner::allocate(registry_job const& job, registry_step& step,
    std::vector<std::string> chosen, resources const& need)
{
    time_point now = this->state.dependencies.loop.now();
    if (step.has_failed_worker)
    {
        std::vector<std::string_view> last_failed;
        for (registry_task const& task : step.tasks)
        {
            if (task.is_startable(now))
            {
                last_failed.push_back(task.last_failed_worker);
            }
        }
        avoid_failed_workers(chosen, last_failed);
    }
    std::uint64_t first_run = this->next_run_number(step, step.spec->gang);
    std::set<std::string> const workers(chosen.begin(), chosen.end());
    std::size_t next = 0;
    for (std::uint32_t i = 0; i < step.tasks.size() && next < chosen.size();
         ++i)
    {
        registry_task& task = step.tasks[i];
        if (!task.is_startable(now))
        {
            continue;
        }
        task_allocation wanted;
        wanted.run =
            step.spec->gang ? first_run : std::max(first_run, task.run + 1);
        wanted.need = need;
        wanted.customer = job.record.customer.name;
        wanted.use = step.spec->need;
        wanted.isolated = step.is_suspect();
        wanted.long_running = step.spec->long_running;
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
    this->update_claims();
    options.reserve(this->usable.size());
    for (usable_worker const& each : this->usable)
    {
        pool_worker const& worker = *each.worker;
        std::string const& id = worker.entry.id;
        bool eligible =
            is_eligible(worker.entry, request) &&
            worker.accepts(step.id.job, step.planning.wanted_isolation);
        if (!eligible)
        {
            continue;
        }
        std::uint32_t fitting_empty =
            tasks_that_fit(worker.entry, worker.entry.capacity, request);
        if (!step.advice.queried.empty() && step.advice.queried.contains(id))
        {
            demand.fitting_approved_empty +=
                step.advice.approved.contains(id) ? fitting_empty : 0;
            continue;
        }
        resources unclaimed = worker.free - each.claimed;
        options.push_back({&id,
            tasks_that_fit(worker.entry, unclaimed, request), fitting_empty,
            worker.free.cpu_millis,
            request.prefers_fast_workers ? worker.speed : worker_speed::normal,
            request.avoids_held_back_workers && worker.is_held_back(now)});
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
    this->claims_changed = true;
    this->starter.request_advice(job, step, workers,
        {share(need.cpu_millis), share(need.memory_bytes),
            share(need.accelerators)});
}

} // namespace toucanlever
