#include "toucanlever/cell/dispatcher.hpp"

#include "cell/cell_tables.hpp"

#include "toucanlever/core/log.hpp"
#include "toucanlever/core/metrics.hpp"
#include "toucanlever/wire/codec.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

/// Events gather for this long before steps are looked at.
constexpr milliseconds plan_delay{1};
/// While many steps wait for room, most events change nothing for them.
constexpr milliseconds crowded_plan_delay{8};
constexpr std::size_t crowded = 60;
constexpr milliseconds sweep_period{250};
/// Runs of one term of the active scheduler are numbered from here on, so
/// that they pass all runs of earlier terms, which nobody may have recorded.
constexpr std::uint64_t runs_per_term = 1000;
/// How many steps one look examines; the rest wait for the next one.
constexpr std::size_t max_steps_per_plan = 400;

/// How long the external policy takes for a call.
microseconds decision_time(board_job const& job, std::size_t workers)
{
    advice_terms const& terms = job.record.queue.advice;
    return microseconds(
        terms.decision_us +
        terms.per_worker_us * static_cast<std::int64_t>(workers));
}

} // namespace

dispatcher::dispatcher(dispatcher_parts parts, holder_proof proof,
    std::function<void(std::string const&)> on_replaced)
    : parts(std::move(parts))
    , proof(proof)
    , on_replaced(std::move(on_replaced))
    , began(this->parts.loop.now())
    , journal(
          this->parts.loop, this->parts.store, proof,
          [this] { this->on_replaced("the journal refused a record"); },
          [this](std::string const& key, std::set<std::string> const& jobs)
          { this->cleaner.note_journal_row(key, jobs); })
    , cleaner(this->parts.loop, this->parts.store)
{
    event_loop& loop = this->parts.loop;
    record_store& store = this->parts.store;
    // Jobs also come from the instances that accepted them, so this only
    // repairs what was lost on the way.
    follow_plan jobs{tables::jobs, {}, milliseconds(1000), milliseconds(300)};
    this->job_follower = std::make_unique<record_follower>(loop, store, jobs,
        [this](std::vector<record> const& rows, bool)
        { this->on_job_rows(rows); });
    follow_plan list{
        this->parts.worker_table, {""}, milliseconds(1000), milliseconds(250)};
    this->worker_follower = std::make_unique<record_follower>(loop, store, list,
        [this](std::vector<record> const& rows, bool whole)
        { this->on_worker_rows(rows, whole); });
    this->journal_scan = std::make_unique<record_scan>(loop, store,
        tables::journal, tables::scheduler_part,
        [this](std::vector<record> rows, std::int64_t)
        {
            this->journal_rows = std::move(rows);
            this->load_if_complete();
        });
    this->roster_scan = std::make_unique<record_scan>(loop, store,
        tables::workers, tables::scheduler_part,
        [this](std::vector<record> rows, std::int64_t)
        {
            this->roster_rows = std::move(rows);
            this->load_if_complete();
        });
    this->sweep_timer = loop.every(sweep_period, [this] { this->sweep(); });
}

dispatcher::~dispatcher()
{
    *this->alive = false;
    this->parts.loop.cancel(this->sweep_timer);
}

// ---------------------------------------------------------------------------
// Beginning

void dispatcher::on_job_rows(std::vector<record> const& rows)
{
    for (record const& row : rows)
    {
        std::string const& key = row.at.key;
        if (!row.removed && !key.ends_with(tables::cancel_suffix))
        {
            try
            {
                this->accept(unpack<work_record>(row.value, "record-store"),
                    row.version);
                this->cleaner.note_job_row(key, row.at);
            }
            catch (error const& problem)
            {
                log_line("job-record-unreadable")
                    .with("job", key)
                    .with("problem", problem.what());
            }
        }
    }
    for (record const& row : rows)
    {
        std::string const& key = row.at.key;
        if (!row.removed && key.ends_with(tables::cancel_suffix))
        {
            std::string job =
                key.substr(0, key.size() - tables::cancel_suffix.size());
            this->cleaner.note_cancel_row(job, row.at);
            this->cancel(job);
        }
    }
    this->jobs_read = true;
    this->load_if_complete();
}

void dispatcher::on_worker_rows(std::vector<record> const& rows, bool whole)
{
    std::set<std::string> listed;
    for (record const& row : rows)
    {
        auto entry = row.removed
                         ? std::nullopt
                         : this->parts.decode_worker(row.at.key, row.value);
        if (entry)
        {
            listed.insert(entry->id);
            this->update_worker(*entry);
        }
        else
        {
            this->unlist_worker(row.at.key);
        }
    }
    if (whole)
    {
        for (auto const& [id, tracked] : this->workers)
        {
            if (!listed.contains(id))
            {
                this->unlist_worker(id);
            }
        }
    }
    this->list_read = true;
    this->record_workers();
    this->load_if_complete();
    this->plan_soon();
}

void dispatcher::load_if_complete()
{
    if (this->loaded || !this->jobs_read || !this->list_read ||
        !this->journal_rows || !this->roster_rows)
    {
        return;
    }
    for (record const& row : *this->roster_rows)
    {
        auto entry = unpack<worker_entry>(row.value, "record-store");
        this->unreconciled.insert(entry.id);
        bool listed = this->workers.contains(entry.id);
        if (!listed)
        {
            this->update_worker(entry);
            this->unlist_worker(entry.id);
        }
        this->pool.find(entry.id)->recorded = true;
        this->to_record.erase(entry.id);
    }
    this->replay_journal();
    for (auto& [id, tracked] : this->workers)
    {
        this->begin_watch(tracked, this->pool.find(id)->entry);
    }
    this->loaded = true;
    log_line("scheduler-loaded")
        .with("fence", this->proof.fence)
        .with("jobs", this->board.all().size())
        .with("workers", this->workers.size())
        .with("workers_to_hear", this->unreconciled.size());
    this->check_reconciled();
    this->plan_soon();
}

void dispatcher::replay_journal()
{
    time_point now = this->parts.loop.now();
    for (record const& row : *this->journal_rows)
    {
        std::set<std::string> jobs;
        for (end_record const& entry : end_journal::decode(row.value))
        {
            this->board.ended(entry.task, entry.run, entry.how, now);
            jobs.insert(entry.task.step.job);
        }
        this->cleaner.note_journal_row(row.at.key, jobs);
    }
    this->journal_rows->clear();
    this->roster_rows->clear();
}

void dispatcher::update_worker(worker_entry const& entry)
{
    pool_worker& worker = this->pool.put(entry);
    auto [place, inserted] = this->workers.try_emplace(entry.id);
    tracked_worker& tracked = place->second;
    bool moved = tracked.watch != nullptr &&
                 tracked.watch->target().address != entry.address;
    if (inserted)
    {
        this->to_record.insert(entry.id);
        this->to_unrecord.erase(entry.id);
        log_line("worker-listed")
            .with("worker", entry.id)
            .with("address", entry.address)
            .with("rack", entry.rack);
    }
    if (this->loaded && (inserted || moved))
    {
        worker.known = false;
        this->begin_watch(tracked, entry);
    }
}

void dispatcher::begin_watch(tracked_worker& tracked, worker_entry const& entry)
{
    tracked.watch = std::make_unique<worker_lease>(this->parts.loop,
        this->parts.orders, worker_target{entry.id, entry.address},
        this->proof.fence, this->parts.lease_limit,
        static_cast<worker_lease_listener&>(*this));
}

void dispatcher::unlist_worker(std::string const& id)
{
    pool_worker* worker = this->pool.find(id);
    if (worker != nullptr && !worker->unlisted)
    {
        worker->unlisted = true;
        log_line("worker-unlisted")
            .with("worker", id)
            .with("holds", worker->holds.size());
    }
}

void dispatcher::record_workers()
{
    constexpr std::size_t entries_per_change = 90;
    constexpr milliseconds commit_timeout{1000};
    if (this->recording ||
        (this->to_record.empty() && this->to_unrecord.empty()))
    {
        return;
    }
    this->recording = true;
    record_change change;
    change.checks = {{tables::holder_row(), this->proof.row_version}};
    for (std::string const& id : this->to_record)
    {
        pool_worker const* worker = this->pool.find(id);
        if (change.writes.size() < entries_per_change && worker != nullptr)
        {
            change.writes.push_back(
                {{tables::workers, tables::scheduler_part, id},
                    pack(worker->entry)});
        }
    }
    for (std::string const& id : this->to_unrecord)
    {
        if (change.writes.size() + change.removals.size() < entries_per_change)
        {
            change.removals.push_back(
                {tables::workers, tables::scheduler_part, id});
        }
    }
    this->parts.store.commit(change, commit_timeout,
        [this, change, alive = this->alive](change_result const& result)
        {
            if (*alive)
            {
                this->recording = false;
                this->take_recorded(change, result);
            }
        });
}

void dispatcher::take_recorded(
    record_change const& change, change_result const& result)
{
    if (result.outcome == change_outcome::conflict)
    {
        this->on_replaced("the list of workers was refused");
        return;
    }
    if (result.outcome != change_outcome::committed)
    {
        return;
    }
    for (record_write const& write : change.writes)
    {
        this->to_record.erase(write.at.key);
        pool_worker* worker = this->pool.find(write.at.key);
        if (worker != nullptr)
        {
            worker->recorded = true;
        }
    }
    for (record_key const& removal : change.removals)
    {
        this->to_unrecord.erase(removal.key);
    }
    this->plan_soon();
    this->record_workers();
}

void dispatcher::check_reconciled()
{
    for (auto id = this->unreconciled.begin(); id != this->unreconciled.end();)
    {
        pool_worker const* worker = this->pool.find(*id);
        bool heard = worker == nullptr || worker->known;
        id = heard ? this->unreconciled.erase(id) : std::next(id);
    }
    if (this->loaded && this->unreconciled.empty())
    {
        this->plan_soon();
    }
}

// ---------------------------------------------------------------------------
// What members ask

void dispatcher::accept(work_record record, std::int64_t version)
{
    std::string id = record.id;
    if (this->board.add(
            std::move(record), version, wall_time_ms(), this->parts.loop.now()))
    {
        metrics().count("jobs_accepted");
        if (this->cancelled_early.erase(id) > 0)
        {
            this->cancel(id);
        }
        this->plan_soon();
    }
}

void dispatcher::cancel(std::string const& job)
{
    if (this->board.cancel(job, this->parts.loop.now()))
    {
        log_line("job-cancelled").with("job", job);
        this->stop_job(job);
    }
    else if (this->board.find(job) == nullptr)
    {
        // The job's own record is on another way here.
        this->cancelled_early.insert(job);
    }
}

std::optional<work_state> dispatcher::state_of(std::string const& job)
{
    board_job const* found = this->board.find(job);
    if (found == nullptr || !this->loaded)
    {
        return std::nullopt;
    }
    // An end that a successor could not see has not happened yet.
    return found->durable ? found->state : work_state::running;
}

std::uint64_t dispatcher::waiting_jobs(std::string const& queue) const
{
    return this->board.waiting_jobs(queue);
}

// ---------------------------------------------------------------------------
// Choosing

void dispatcher::plan_soon()
{
    if (this->planned || !this->loaded)
    {
        return;
    }
    this->planned = true;
    bool many = this->board.ready().size() > crowded;
    this->parts.loop.after(many ? crowded_plan_delay : plan_delay,
        [this, alive = this->alive]
        {
            if (*alive)
            {
                this->planned = false;
                this->plan();
            }
        });
}

bool dispatcher::may_start(board_job const& job) const
{
    if (this->unreconciled.empty())
    {
        return true;
    }
    // Until its permission is over, a predecessor that does not know of its
    // end may start jobs that came after it, on workers that only it reaches.
    return job.version > this->proof.row_version &&
           this->parts.loop.now() >= this->began + this->parts.permission;
}

void dispatcher::plan()
{
    if (!this->parts.may_start_work())
    {
        return;
    }
    std::vector<step_rank> ranks;
    for (step_rank const& rank : this->board.ready())
    {
        if (ranks.size() == max_steps_per_plan)
        {
            break;
        }
        ranks.push_back(rank);
    }
    // Room that steps of higher rank wait for is kept for the round.
    ++this->round;
    resources const most = this->most_free();
    for (step_rank const& rank : ranks)
    {
        board_step const* step = this->board.find(rank.id);
        bool may_fit = step != nullptr &&
                       (step->spec->fills || most.fits(step->spec->need));
        if (may_fit || (step != nullptr && step->spec->gang))
        {
            this->plan_step(rank);
        }
    }
}

resources dispatcher::most_free() const
{
    resources most;
    time_point now = this->parts.loop.now();
    for (auto const& [id, worker] : this->pool.all())
    {
        if (worker.usable(now))
        {
            most.cpu_millis = std::max(most.cpu_millis, worker.free.cpu_millis);
            most.memory_bytes =
                std::max(most.memory_bytes, worker.free.memory_bytes);
            most.accelerators =
                std::max(most.accelerators, worker.free.accelerators);
        }
    }
    return most;
}

placement_request dispatcher::make_request(
    board_job const& job, board_step const& step) const
{
    work_step const& spec = *step.spec;
    placement_request request;
    request.need = spec.need;
    if (spec.fills)
    {
        request.need.cpu_millis = 0;
    }
    request.tasks = step.waiting;
    request.all_or_none = spec.gang;
    request.prefers_one_rack = spec.gang && spec.prefers_one_rack;
    request.max_per_worker = spec.max_per_worker;
    request.required_label = spec.required_label;
    request.data_rack = spec.data_rack;
    queue_terms const* terms = this->parts.queues.terms(job.record.queue.name);
    request.service =
        terms != nullptr ? terms->service : job.record.queue.service;
    for (board_task const& task : step.tasks)
    {
        if (!task.worker.empty())
        {
            ++request.placed[task.worker];
        }
    }
    return request;
}

void dispatcher::plan_step(step_rank const& rank)
{
    board_step* step = this->board.find(rank.id);
    board_job* job = this->board.find(rank.id.job);
    if (step == nullptr || !this->may_start(*job) || step->waiting == 0)
    {
        return;
    }
    // A gang waits until nothing is left of its run before.
    bool partly = step->spec->gang && step->waiting < step->tasks.size();
    if (partly)
    {
        this->break_gang(rank.id);
        return;
    }
    placement_request request = this->make_request(*job, *step);
    bool advised = job->record.queue.advice.required;
    request.allowed = [&](pool_worker const& worker)
    {
        return !this->is_kept(worker) &&
               (!advised || step->advice.approved.contains(worker.entry.id));
    };
    std::vector<std::string> chosen =
        place_step(this->pool, request, this->parts.loop.now());
    if (chosen.size() < request.tasks && advised)
    {
        this->ask_unasked(*job, *step, request);
    }
    if (chosen.empty())
    {
        if (request.all_or_none && !step->advice.pending)
        {
            this->keep_room(*step, request);
        }
        return;
    }
    if (advised && !this->can_get_tickets(*job, *step, chosen))
    {
        for (std::string const& worker : chosen)
        {
            this->pool.find(worker)->kept_in_round = this->round;
        }
        return;
    }
    this->reserve(*job, *step, chosen, request.need);
    this->start_reserved(*job, *step);
}

bool dispatcher::can_get_tickets(board_job const& job, board_step const& step,
    std::vector<std::string> const& chosen)
{
    std::set<std::string> lacking;
    for (std::string const& worker : chosen)
    {
        if (!this->has_ticket(step, worker))
        {
            lacking.insert(worker);
        }
    }
    return lacking.empty() ||
           (!step.advice.pending &&
               this->parts.advice.has_lane(decision_time(job, lacking.size())));
}

void dispatcher::keep_room(
    board_step const& step, placement_request const& request)
{
    std::vector<std::pair<std::int64_t, pool_worker*>> freest;
    time_point now = this->parts.loop.now();
    for (auto& [id, worker] : this->pool.all())
    {
        bool fitting =
            worker.usable(now) && suits(worker.entry, request) &&
            !this->is_kept(worker) &&
            (step.advice.asked.empty() || step.advice.approved.contains(id));
        if (fitting)
        {
            freest.emplace_back(-worker.free.cpu_millis, &worker);
        }
    }
    std::sort(freest.begin(), freest.end());
    std::int64_t tasks = 0;
    for (auto const& [free, worker] : freest)
    {
        if (tasks >= request.tasks)
        {
            return;
        }
        worker->kept_in_round = this->round;
        auto capacity = worker->entry.capacity.cpu_millis;
        tasks += request.need.cpu_millis > 0
                     ? capacity / request.need.cpu_millis
                     : request.tasks;
    }
}

std::uint64_t dispatcher::next_run(
    board_step const& step, bool whole_gang) const
{
    std::uint64_t last = (this->proof.fence - 1) * runs_per_term;
    if (whole_gang)
    {
        for (board_task const& task : step.tasks)
        {
            last = std::max(last, task.run);
        }
    }
    return last + 1;
}

void dispatcher::reserve(board_job& job, board_step& step,
    std::vector<std::string> const& chosen, resources const& need)
{
    std::uint64_t gang_run = this->next_run(step, step.spec->gang);
    std::size_t next = 0;
    for (std::uint32_t i = 0; i < step.tasks.size() && next < chosen.size();
         ++i)
    {
        board_task& task = step.tasks[i];
        if (!task.waits())
        {
            continue;
        }
        room_hold wanted;
        wanted.run =
            step.spec->gang ? gang_run : std::max(gang_run, task.run + 1);
        wanted.need = need;
        task_id id{step.id, i};
        this->pool.hold(*this->pool.find(chosen[next]), id, wanted);
        this->board.placed(id, wanted.run, chosen[next]);
        ++next;
    }
    static_cast<void>(job);
}

// ---------------------------------------------------------------------------
// The external policy

bool dispatcher::has_ticket(
    board_step const& step, std::string const& worker) const
{
    // A start needs some of the time that is left.
    constexpr milliseconds on_the_way{60};
    auto found = step.advice.approved.find(worker);
    return found != step.advice.approved.end() &&
           found->second.valid_until > this->parts.loop.now() + on_the_way;
}

bool dispatcher::ask_unasked(
    board_job& job, board_step& step, placement_request const& request)
{
    board_advice& advice = step.advice;
    if (advice.pending || this->parts.loop.now() < advice.ask_again_at)
    {
        return false;
    }
    // Emptiest first, and for a few tasks not more than are likely to do.
    constexpr std::size_t spare = 6;
    constexpr std::size_t per_task = 3;
    std::vector<std::pair<std::int64_t, std::string>> found;
    for (auto const& [id, worker] : this->pool.all())
    {
        if (worker.usable(this->parts.loop.now()) &&
            suits(worker.entry, request) && !advice.asked.contains(id))
        {
            found.emplace_back(-worker.free.cpu_millis, id);
        }
    }
    std::sort(found.begin(), found.end());
    std::size_t wanted = request.all_or_none && request.tasks > 3
                             ? placement_advice::max_workers
                             : per_task * request.tasks + spare;
    wanted = std::min({wanted, found.size(), placement_advice::max_workers});
    std::vector<std::string> workers;
    for (std::size_t i = 0; i < wanted; ++i)
    {
        workers.push_back(found[i].second);
    }
    if (workers.empty())
    {
        return false;
    }
    return this->ask(job, step, workers);
}

bool dispatcher::ask(
    board_job& job, board_step& step, std::vector<std::string> const& workers)
{
    microseconds duration = decision_time(job, workers.size());
    if (!this->parts.advice.has_lane(duration))
    {
        // Looked at again when an answer frees a lane.
        return false;
    }
    step.advice.pending = true;
    metrics().count("advice_calls");
    this->parts.advice.ask(step.id, workers, duration,
        [this, id = step.id, workers, alive = this->alive](
            advice_result const& result)
        {
            if (*alive)
            {
                this->take_advice(id, workers, result);
            }
        });
    return true;
}

void dispatcher::take_advice(step_id const& id,
    std::vector<std::string> const& asked, advice_result const& result)
{
    constexpr milliseconds retry_delay{100};
    board_step* step = this->board.find(id);
    if (step == nullptr)
    {
        return;
    }
    time_point now = this->parts.loop.now();
    step->advice.pending = false;
    if (!result.answered)
    {
        step->advice.ask_again_at = now + retry_delay;
        this->drop_reserved(*step, true);
        this->plan_soon();
        return;
    }
    step->advice.asked.insert(asked.begin(), asked.end());
    for (std::string const& worker : asked)
    {
        step->advice.approved.erase(worker);
    }
    for (advice_ticket const& ticket : result.tickets)
    {
        step->advice.approved[ticket.worker] = {
            ticket.ticket, now + milliseconds(result.valid_ms)};
    }
    if (this->parts.log_decisions)
    {
        log_line("advice")
            .with("step", to_string(id))
            .with("asked", asked.size())
            .with("approved", result.tickets.size())
            .with("valid_ms", result.valid_ms);
    }
    this->start_reserved(*this->board.find(id.job), *step);
    this->plan_soon();
}

void dispatcher::start_reserved(board_job& job, board_step& step)
{
    if (!job.open())
    {
        this->drop_reserved(step, true);
        return;
    }
    bool advised = job.record.queue.advice.required;
    std::vector<std::uint32_t> ready;
    std::set<std::string> lacking;
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i)
    {
        board_task const& task = step.tasks[i];
        room_hold* hold = this->find_hold(task.worker, {step.id, i}, task.run);
        if (hold == nullptr || hold->phase != hold_phase::reserved)
        {
            continue;
        }
        if (advised && !this->has_ticket(step, task.worker))
        {
            lacking.insert(task.worker);
            continue;
        }
        ready.push_back(i);
    }
    if (!lacking.empty() && !step.advice.pending)
    {
        bool approved = std::all_of(lacking.begin(), lacking.end(),
            [&step](std::string const& worker)
            { return step.advice.approved.contains(worker); });
        if (!approved)
        {
            this->drop_reserved(step, step.spec->gang);
            this->plan_soon();
            return;
        }
        if (!this->ask(job, step, {lacking.begin(), lacking.end()}))
        {
            this->drop_reserved(step, true);
            return;
        }
    }
    if (step.spec->gang && !lacking.empty())
    {
        return;
    }
    for (std::uint32_t index : ready)
    {
        this->send_start(job, step, index);
    }
}

void dispatcher::drop_reserved(board_step& step, bool all)
{
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i)
    {
        board_task const& task = step.tasks[i];
        task_id id{step.id, i};
        room_hold* hold = this->find_hold(task.worker, id, task.run);
        if (hold != nullptr && hold->phase == hold_phase::reserved &&
            (all || !step.advice.approved.contains(task.worker)))
        {
            this->free_task(std::string(task.worker), id);
        }
    }
}

// ---------------------------------------------------------------------------
// Orders

room_hold* dispatcher::find_hold(
    std::string const& worker, task_id const& task, std::uint64_t run)
{
    pool_worker* place = this->pool.find(worker);
    if (place == nullptr)
    {
        return nullptr;
    }
    auto found = place->holds.find(task);
    bool same = found != place->holds.end() && found->second.run == run;
    return same ? &found->second : nullptr;
}

void dispatcher::free_task(std::string const& worker, task_id const& task)
{
    board_task* entry = this->board.find(task);
    this->pool.release(worker, task);
    if (entry != nullptr && entry->worker == worker)
    {
        this->board.unplaced(task);
    }
}

void dispatcher::send_start(
    board_job& job, board_step& step, std::uint32_t index)
{
    board_task const& task = step.tasks[index];
    task_id id{step.id, index};
    std::string worker = task.worker;
    worker_lease& watch = *this->workers.at(worker).watch;
    room_hold* hold = this->find_hold(worker, id, task.run);
    hold->phase = hold_phase::starting;
    start_order order;
    order.task = id;
    order.run = task.run;
    order.payload = job.record.payload;
    order.lease_until_ms = watch.grant_lease();
    order.fence = this->proof.fence;
    order.checkpoint = task.checkpoint;
    auto ticket = step.advice.approved.find(worker);
    if (ticket != step.advice.approved.end())
    {
        order.ticket = ticket->second.ticket;
    }
    if (this->parts.log_decisions && hold->unanswered == 0)
    {
        auto waited = std::chrono::duration_cast<milliseconds>(
            this->parts.loop.now() - step.ready_at);
        log_line("start-sent")
            .with("task", to_string(id))
            .with("run", task.run)
            .with("worker", worker)
            .with("priority", job.record.queue.priority)
            .with("waited_ms", waited.count())
            .with("free_cpu", this->pool.find(worker)->free.cpu_millis);
        metrics().observe("step_wait_ms", waited.count());
    }
    metrics().count("starts_sent");
    this->parts.orders.start(watch.target(), order,
        [this, id, run = order.run, worker, alive = this->alive](
            order_result const& result)
        {
            if (*alive)
            {
                this->on_started(id, run, worker, result);
            }
        });
}

void dispatcher::on_started(task_id const& task, std::uint64_t run,
    std::string const& worker, order_result const& result)
{
    room_hold* hold = this->find_hold(worker, task, run);
    if (hold == nullptr || hold->phase != hold_phase::starting)
    {
        return;
    }
    bool settled = result.outcome == order_outcome::done ||
                   result.outcome == order_outcome::refused_superseded;
    if (!settled)
    {
        this->on_start_refused(task, run, worker, result);
        return;
    }
    hold->phase = hold_phase::running;
    hold->confirmed = true;
    hold->confirmed_at = this->parts.loop.now();
    board_job* job = this->board.find(task.step.job);
    if (job == nullptr || !job->open())
    {
        this->send_stop(worker, task);
        return;
    }
    job->begun = true;
    job->state = work_state::running;
}

void dispatcher::on_start_refused(task_id const& task, std::uint64_t run,
    std::string const& worker, order_result const& result)
{
    constexpr std::uint32_t max_attempts = 2;
    room_hold* hold = this->find_hold(worker, task, run);
    log_line("start-not-confirmed")
        .with("task", to_string(task))
        .with("run", run)
        .with("worker", worker)
        .with("outcome", name_of(result.outcome))
        .with("problem", result.problem);
    metrics().count("starts_not_confirmed");
    if (result.outcome == order_outcome::refused_fenced)
    {
        this->on_replaced("a worker obeys a later scheduler");
        return;
    }
    board_job* job = this->board.find(task.step.job);
    board_step* step = this->board.find(task.step);
    bool in_doubt = result.outcome == order_outcome::in_doubt;
    if (in_doubt)
    {
        ++hold->unanswered;
        if (hold->unanswered < max_attempts && job != nullptr && job->open())
        {
            this->send_start(*job, *step, task.index);
            return;
        }
    }
    bool may_run = in_doubt || (hold->unanswered > 0 &&
                                   result.outcome == order_outcome::not_done);
    if (may_run)
    {
        this->send_stop(worker, task);
    }
    else
    {
        if (step != nullptr && result.outcome == order_outcome::refused_ticket)
        {
            step->advice.approved[worker].valid_until = {};
        }
        if (result.outcome == order_outcome::not_done)
        {
            this->pool.note_outcome(worker, false, this->parts.loop.now());
        }
        this->free_task(worker, task);
    }
    if (step != nullptr && step->spec->gang)
    {
        this->break_gang(task.step);
    }
    this->plan_soon();
}

void dispatcher::send_stop(std::string const& worker, task_id const& task)
{
    pool_worker* place = this->pool.find(worker);
    if (place == nullptr || !place->holds.contains(task))
    {
        return;
    }
    room_hold& hold = place->holds.at(task);
    if (hold.order_pending && hold.phase == hold_phase::stopping)
    {
        return;
    }
    hold.phase = hold_phase::stopping;
    hold.order_pending = true;
    hold.confirmed = false;
    stop_order order{task, hold.run, this->proof.fence};
    if (this->parts.log_decisions)
    {
        log_line("stop-sent")
            .with("task", to_string(task))
            .with("run", hold.run)
            .with("worker", worker);
    }
    this->parts.orders.stop(this->workers.at(worker).watch->target(), order,
        [this, task, run = hold.run, worker, alive = this->alive](
            order_result const& result)
        {
            if (*alive)
            {
                this->on_stopped(task, run, worker, result);
            }
        });
}

void dispatcher::on_stopped(task_id const& task, std::uint64_t run,
    std::string const& worker, order_result const& result)
{
    constexpr milliseconds retry_delay{200};
    room_hold* hold = this->find_hold(worker, task, run);
    if (hold == nullptr)
    {
        return;
    }
    hold->order_pending = false;
    if (result.outcome == order_outcome::refused_fenced)
    {
        this->on_replaced("a worker obeys a later scheduler");
        return;
    }
    if (result.outcome == order_outcome::done ||
        result.outcome == order_outcome::refused_superseded)
    {
        hold->confirmed = true;
        hold->confirmed_at = this->parts.loop.now();
        this->workers.at(worker).watch->ask_soon();
        return;
    }
    this->parts.loop.after(retry_delay,
        [this, task, run, worker, alive = this->alive]
        {
            if (*alive && this->find_hold(worker, task, run) != nullptr)
            {
                this->send_stop(worker, task);
            }
        });
}

void dispatcher::stop_job(std::string const& id)
{
    board_job* job = this->board.find(id);
    for (auto& [occurrence, steps] : job->occurrences)
    {
        for (board_step& step : steps)
        {
            this->break_gang(step.id);
        }
    }
}

void dispatcher::break_gang(step_id const& id)
{
    board_step* step = this->board.find(id);
    for (std::uint32_t i = 0; i < step->tasks.size(); ++i)
    {
        board_task const& task = step->tasks[i];
        task_id name{id, i};
        std::string worker = task.worker;
        room_hold* hold = this->find_hold(worker, name, task.run);
        if (hold == nullptr || hold->phase == hold_phase::stopping)
        {
            continue;
        }
        if (hold->phase == hold_phase::reserved)
        {
            this->free_task(worker, name);
            continue;
        }
        this->send_stop(worker, name);
    }
}

// ---------------------------------------------------------------------------
// Reports

void dispatcher::on_report(
    worker_lease& watch, watch_result const& report, time_point asked_at)
{
    std::string id = watch.target().id;
    tracked_worker& tracked = this->workers.at(id);
    if (tracked.started_ms != 0 && report.started_ms != 0 &&
        tracked.started_ms != report.started_ms)
    {
        this->begin_new_life(tracked, id);
    }
    tracked.started_ms = report.started_ms;
    pool_worker& worker = *this->pool.find(id);
    if (worker.silent)
    {
        worker.silent = false;
        log_line("worker-heard").with("worker", id);
    }
    if (this->loaded)
    {
        for (ended_task const& end : report.ended)
        {
            this->take_end(watch, end);
        }
        this->reconcile(worker, report, asked_at);
        if (!worker.known)
        {
            worker.known = true;
            this->check_reconciled();
        }
    }
    this->plan_soon();
}

void dispatcher::on_silent(worker_lease& watch, std::string const& problem)
{
    pool_worker& worker = *this->pool.find(watch.target().id);
    if (!worker.silent)
    {
        worker.silent = true;
        log_line("worker-silent")
            .with("worker", watch.target().id)
            .with("problem", problem)
            .with("holds", worker.holds.size());
    }
}

void dispatcher::on_lost(worker_lease& watch, std::string const& reason)
{
    std::string id = watch.target().id;
    pool_worker& worker = *this->pool.find(id);
    worker.silent = true;
    worker.known = false;
    log_line("worker-lost")
        .with("worker", id)
        .with("reason", reason)
        .with("holds", worker.holds.size());
    this->lose_holds(id, reason);
    watch.reset_life();
    this->unreconciled.erase(id);
    this->check_reconciled();
    this->plan_soon();
}

void dispatcher::on_fenced(worker_lease& watch)
{
    this->on_replaced(
        "worker " + watch.target().id + " obeys a later scheduler");
}

void dispatcher::begin_new_life(tracked_worker& tracked, std::string const& id)
{
    log_line("worker-restarted").with("worker", id);
    tracked.watch->reset_life();
    this->lose_holds(id, "the worker began anew");
}

void dispatcher::lose_holds(std::string const& id, std::string const& reason)
{
    pool_worker& worker = *this->pool.find(id);
    std::vector<task_id> tasks;
    for (auto const& [task, hold] : worker.holds)
    {
        tasks.push_back(task);
    }
    for (task_id const& task : tasks)
    {
        if (this->parts.log_decisions)
        {
            log_line("task-lost")
                .with("task", to_string(task))
                .with("worker", id)
                .with("reason", reason);
        }
        metrics().count("tasks_lost");
        this->free_task(id, task);
        board_step const* step = this->board.find(task.step);
        if (step != nullptr && step->spec->gang && !step->done())
        {
            this->break_gang(task.step);
        }
    }
}

void dispatcher::take_end(worker_lease& watch, ended_task const& end)
{
    if (end.number <= watch.last_end())
    {
        return;
    }
    watch.note_end(end.number);
    std::string const& id = watch.target().id;
    time_point now = this->parts.loop.now();
    pool_worker& worker = *this->pool.find(id);
    auto hold = worker.holds.find(end.task);
    if (hold != worker.holds.end() && hold->second.run <= end.run)
    {
        this->free_task(id, end.task);
    }
    bool counts = end.how == run_end::succeeded || end.how == run_end::failed;
    board_step* step = this->board.find(end.task.step);
    if (this->parts.log_decisions)
    {
        log_line("run-ended")
            .with("task", to_string(end.task))
            .with("run", end.run)
            .with("worker", id)
            .with("how", name_of(end.how));
    }
    if (step == nullptr)
    {
        watch.settle_end(end.number);
        return;
    }
    if (!end.checkpoint.empty())
    {
        for (board_task& task : step->tasks)
        {
            bool same =
                step->spec->gang || &task == &step->tasks[end.task.index];
            task.checkpoint = same ? end.checkpoint : task.checkpoint;
        }
    }
    end_effect effect;
    if (counts)
    {
        this->pool.note_outcome(id, end.how == run_end::succeeded, now);
        effect = this->board.ended(end.task, end.run, end.how, now);
        this->record_end(watch, end, effect.job_ended);
    }
    else
    {
        watch.settle_end(end.number);
    }
    if (effect.job_ended)
    {
        board_job const& job = *this->board.find(end.task.step.job);
        log_line("job-ended")
            .with("job", end.task.step.job)
            .with("state", name_of(job.state))
            .with("after_ms", wall_time_ms() - job.record.accepted_ms);
        if (job.state == work_state::failed)
        {
            this->stop_job(end.task.step.job);
        }
    }
    else if (step->spec->gang && end.how != run_end::succeeded && !step->done())
    {
        this->break_gang(end.task.step);
    }
}

void dispatcher::record_end(
    worker_lease& watch, ended_task const& end, bool job_ended)
{
    if (job_ended)
    {
        this->board.find(end.task.step.job)->durable = false;
    }
    this->journal.append({end.task, end.run, end.how},
        [this, worker = watch.target().id, number = end.number,
            job = end.task.step.job, job_ended]
        {
            board_job* found = this->board.find(job);
            if (job_ended && found != nullptr)
            {
                found->durable = true;
            }
            auto tracked = this->workers.find(worker);
            if (tracked != this->workers.end())
            {
                tracked->second.watch->settle_end(number);
            }
        });
}

void dispatcher::reconcile(
    pool_worker& worker, watch_result const& report, time_point asked_at)
{
    std::set<task_id> listed;
    for (running_task const& running : report.running)
    {
        listed.insert(running.task);
        auto hold = worker.holds.find(running.task);
        if (hold == worker.holds.end())
        {
            this->adopt(worker, running);
            continue;
        }
        if (hold->second.phase == hold_phase::starting &&
            hold->second.run == running.run)
        {
            this->on_started(running.task, running.run, worker.entry.id,
                order_result{order_outcome::done, -1, {}});
        }
        board_task* task = this->board.find(running.task);
        if (task != nullptr && !running.checkpoint.empty())
        {
            task->checkpoint = running.checkpoint;
        }
    }
    if (!report.all_ends)
    {
        return;
    }
    std::vector<task_id> gone;
    for (auto const& [task, hold] : worker.holds)
    {
        if (!listed.contains(task) && hold.confirmed &&
            hold.confirmed_at < asked_at)
        {
            gone.push_back(task);
        }
    }
    for (task_id const& task : gone)
    {
        log_line("task-not-there")
            .with("task", to_string(task))
            .with("worker", worker.entry.id);
        this->free_task(worker.entry.id, task);
        board_step const* step = this->board.find(task.step);
        if (step != nullptr && step->spec->gang && !step->done())
        {
            this->break_gang(task.step);
        }
    }
}

void dispatcher::adopt(pool_worker& worker, running_task const& running)
{
    board_job* job = this->board.find(running.task.step.job);
    board_step* step = this->board.find(running.task.step);
    board_task* task = this->board.find(running.task);
    bool wanted = task != nullptr && job->open() && task->waits() &&
                  running.run >= task->run;
    room_hold hold;
    hold.run = running.run;
    hold.phase = hold_phase::running;
    hold.confirmed = true;
    hold.confirmed_at = this->parts.loop.now();
    if (step != nullptr)
    {
        hold.need = step->spec->need;
        hold.need.cpu_millis =
            step->spec->fills ? 0 : step->spec->need.cpu_millis;
    }
    this->pool.hold(worker, running.task, hold, true);
    log_line("run-found")
        .with("task", to_string(running.task))
        .with("run", running.run)
        .with("worker", worker.entry.id)
        .with("kept", wanted ? 1 : 0);
    if (!wanted)
    {
        this->send_stop(worker.entry.id, running.task);
        return;
    }
    job->begun = true;
    job->state = work_state::running;
    this->board.placed(running.task, running.run, worker.entry.id);
}

void dispatcher::sweep()
{
    time_point now = this->parts.loop.now();
    this->board.make_due(wall_time_ms(), now);
    this->record_workers();
    for (std::string const& job :
        this->board.forget_ended(now - this->parts.keep_ended))
    {
        this->cleaner.forget(job);
    }
    for (auto entry = this->workers.begin(); entry != this->workers.end();)
    {
        pool_worker const* worker = this->pool.find(entry->first);
        // What an earlier scheduler started there may still run.
        bool over = worker->unlisted && worker->silent &&
                    worker->holds.empty() &&
                    !this->unreconciled.contains(entry->first);
        if (!over)
        {
            ++entry;
            continue;
        }
        log_line("worker-forgotten").with("worker", entry->first);
        this->to_record.erase(entry->first);
        this->to_unrecord.insert(entry->first);
        this->pool.remove(entry->first);
        entry = this->workers.erase(entry);
    }
    metrics().set(
        "jobs_open", static_cast<std::int64_t>(this->board.all().size()));
    metrics().set(
        "steps_ready", static_cast<std::int64_t>(this->board.ready().size()));
    this->plan_soon();
}

} // namespace toucanlever
