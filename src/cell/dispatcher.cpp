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

constexpr milliseconds sweep_period{250};
/// Age of the scheduler's copy of the job table below which an unknown job is
/// reported as nonexistent. Less than the 3 s for which the platform allows a
/// new job to be invisible.
constexpr milliseconds max_lookup_staleness{2000};

bool is_cancel(record const& row)
{
    return row.at.key.ends_with(tables::cancel_suffix);
}

} // namespace

dispatcher::dispatcher(dispatcher_dependencies collaborators,
    leader_proof proof, std::function<void(std::string const&)> on_replaced)
    : state{std::move(collaborators), proof, std::move(on_replaced),
          [this] { this->planner.schedule_pass(); },
          [this] { return this->job_follower->fresh_at(); },
          [this] { return this->roster.is_list_current(); }, {}, {}, {}, {}, {}}
    , queries(this->state.dependencies.loop,
          [this](std::string const& job) { return this->look_up(job); })
    , cleaner(this->state.dependencies.loop, this->state.dependencies.store,
          proof,
          [this]
          {
              this->state.on_replaced(
                  "a removal of rows conflicted with a newer leader row");
          })
    , journal(
          this->state.dependencies.loop, this->state.dependencies.store, proof,
          this->state.dependencies.heartbeat,
          [this]
          {
              this->state.on_replaced(
                  "a journal write conflicted with a newer leader row");
          },
          [this](std::string const& key, std::set<std::string> const& jobs)
          { this->cleaner.note_journal_row(key, jobs); })
    , roster(this->state, [this] { this->load_if_complete(); })
    , orders(this->state, this->roster)
    , task_starter(this->state, this->orders)
    , log(this->state)
    , planner(this->state, this->roster, this->orders, this->task_starter,
          this->log)
    , reports(this->state, this->roster, this->orders, this->journal,
          [this](std::string const& job) { this->queries.on_settled(job); })
{
    event_loop& loop = this->state.dependencies.loop;
    record_store& store = this->state.dependencies.store;
    // The instances that accept jobs also announce them; following the table
    // only recovers announcements that were lost. A call waits up to 1 s for a
    // change, and calls are 300 ms apart.
    follow_options options{
        tables::jobs, {}, milliseconds(1000), milliseconds(300)};
    this->job_follower = std::make_unique<record_follower>(loop, store, options,
        [this](std::vector<record> const& rows, bool)
        { this->on_job_rows(rows); });
    this->journal_scan = std::make_unique<record_scan>(loop, store,
        tables::journal, tables::scheduler_part,
        [this](std::vector<record> rows, std::int64_t)
        {
            this->journal_rows = std::move(rows);
            this->load_if_complete();
        });
    this->roster.start_reading();
    this->sweep_timer = loop.every(sweep_period, [this] { this->sweep(); });
}

dispatcher::~dispatcher()
{
    this->state.dependencies.loop.cancel(this->sweep_timer);
}

void dispatcher::on_job_rows(std::vector<record> const& rows)
{
    if (this->jobs_read)
    {
        this->read_rows(rows);
        return;
    }
    if (this->snapshot)
    {
        this->rows_after_snapshot.push_back(rows);
        return;
    }
    std::vector<record> cancellations;
    std::copy_if(
        rows.begin(), rows.end(), std::back_inserter(cancellations), is_cancel);
    this->snapshot = std::make_unique<job_snapshot>(
        this->state.dependencies.loop, rows,
        [this](record const& row) { return this->read_job_row(row); },
        [this](work_record job, std::int64_t version)
        { this->add_job(std::move(job), version); },
        [this, cancellations = std::move(cancellations)]
        { this->on_snapshot_read(cancellations); });
    this->snapshot->start();
}

void dispatcher::on_snapshot_read(std::vector<record> const& cancellations)
{
    this->read_cancellations(cancellations);
    for (std::vector<record> const& later : this->rows_after_snapshot)
    {
        this->read_rows(later);
    }
    this->rows_after_snapshot.clear();
    this->jobs_read = true;
    this->load_if_complete();
}

void dispatcher::read_rows(std::vector<record> const& rows)
{
    versioned_jobs added;
    for (record const& row : rows)
    {
        if (auto job = this->read_job_row(row))
        {
            added.emplace_back(std::move(*job), row.version);
        }
    }
    sort_by_acceptance(added);
    for (auto& [job, version] : added)
    {
        this->add_job(std::move(job), version);
    }
    this->read_cancellations(rows);
}

void dispatcher::read_cancellations(std::vector<record> const& rows)
{
    for (record const& row : rows)
    {
        std::string const& key = row.at.key;
        if (!row.removed && is_cancel(row))
        {
            std::string job =
                key.substr(0, key.size() - tables::cancel_suffix.size());
            this->cleaner.note_cancel_row(job, row.at);
            this->cancel(job);
        }
    }
}

std::optional<work_record> dispatcher::read_job_row(record const& row)
{
    if (row.removed || is_cancel(row))
    {
        return std::nullopt;
    }
    try
    {
        auto job = unpack<work_record>(row.value, "record-store");
        this->cleaner.note_job_row(row.at.key, row.at);
        // All rows are read again after the store has lost its history, also
        // those of jobs that ended long ago.
        if (!this->cleaner.is_forgotten(row.at.key))
        {
            return job;
        }
    }
    catch (error const& problem)
    {
        this->unreadable_jobs.insert(row.at.key);
        log_line("job-record-unreadable")
            .with("job", row.at.key)
            .with("problem", problem.what());
    }
    return std::nullopt;
}

void dispatcher::load_if_complete()
{
    if (this->loaded || !this->jobs_read || !this->roster.is_read() ||
        !this->journal_rows)
    {
        return;
    }
    this->loaded = true;
    this->replay_journal();
    this->roster.follow_workers(this->reports);
    log_line("scheduler-loaded")
        .with("fence", this->state.proof.fencing_token)
        .with("jobs", this->state.registry.all().size())
        .with("workers", this->state.pool.all().size())
        .with("workers_to_hear", this->roster.unreconciled_count())
        .with("closed_workers", this->roster.closed_count());
    this->planner.enable();
}

void dispatcher::replay_journal()
{
    time_point now = this->state.dependencies.loop.now();
    for (record const& row : *this->journal_rows)
    {
        std::set<std::string> jobs;
        for (run_completion const& entry :
            completion_journal::decode(row.value))
        {
            this->state.registry.replay(entry, now);
            jobs.insert(entry.task.step.job);
        }
        this->cleaner.note_journal_row(row.at.key, jobs);
        for (std::string const& job : jobs)
        {
            // An earlier scheduler has removed the job's own rows.
            if (this->state.registry.find(job) == nullptr &&
                !this->unreadable_jobs.contains(job))
            {
                this->cleaner.forget(job);
            }
        }
    }
    this->journal_rows->clear();
}

void dispatcher::accept(work_record record, std::int64_t version)
{
    if (!this->cleaner.is_forgotten(record.id))
    {
        this->add_job(std::move(record), version);
    }
}

bool dispatcher::is_beyond_entitlement(work_record const& job)
{
    customer_terms const& accepted = job.customer;
    // A job that is known already has been counted.
    if (accepted.name.empty() || this->state.registry.find(job.id) != nullptr)
    {
        return false;
    }
    customer_terms const* configured =
        this->state.dependencies.queues.customer_of(accepted.name);
    bool is_beyond = this->entitlements.add(accepted.name,
        configured != nullptr ? configured->weight : accepted.weight,
        job.accepted_ms);
    if (is_beyond)
    {
        metrics().count("jobs_beyond_entitlement");
    }
    return is_beyond;
}

void dispatcher::add_job(work_record record, std::int64_t version)
{
    std::string id = record.id;
    bool const is_beyond = this->is_beyond_entitlement(record);
    bool creates_occurrences = record.repetitions > 0;
    if (this->state.registry.add(std::move(record), version, wall_time_ms(),
            this->state.dependencies.loop.now(), is_beyond))
    {
        metrics().count("jobs_accepted");
        this->planner.note_job_added(*this->state.registry.find(id));
        this->reports.on_job_known(id);
        if (creates_occurrences)
        {
            // Also due ones of other jobs.
            this->reports.apply_held_reports();
        }
        if (this->pending_cancellations.erase(id) > 0)
        {
            this->cancel(id);
        }
        this->planner.schedule_pass();
    }
}

void dispatcher::cancel(std::string const& job)
{
    if (this->state.registry.cancel(job, this->state.dependencies.loop.now()))
    {
        log_line("job-cancelled").with("job", job);
        this->orders.stop_job(job);
        this->queries.on_settled(job);
    }
    else if (this->state.registry.find(job) == nullptr &&
             !this->cleaner.is_forgotten(job))
    {
        // The job itself is announced separately and can arrive later.
        this->pending_cancellations.insert(job);
    }
}

lookup_result dispatcher::look_up(std::string const& job)
{
    if (!this->loaded)
    {
        return lookup_result::unavailable(lookup_problem::leader_outdated);
    }
    registry_job const* found = this->state.registry.find(job);
    if (found != nullptr)
    {
        // The end of a job is reported only once it is durable, because a
        // successor could not see it before.
        return {lookup_outcome::found,
            found->durable ? found->state : work_state::running};
    }
    auto age =
        this->state.dependencies.loop.now() - this->job_follower->fresh_at();
    if (age < max_lookup_staleness)
    {
        return {lookup_outcome::no_such_job};
    }
    return lookup_result::unavailable(lookup_problem::leader_outdated);
}

void dispatcher::look_up(std::string const& job, milliseconds wait,
    std::function<void(lookup_result const&)> done)
{
    this->queries.add(job, wait, std::move(done));
}

std::optional<std::uint64_t> dispatcher::waiting_jobs(
    std::string const& queue) const
{
    auto age =
        this->state.dependencies.loop.now() - this->job_follower->fresh_at();
    if (!this->loaded || age >= max_lookup_staleness)
    {
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(this->state.registry.waiting_jobs(queue));
}

void dispatcher::sweep()
{
    time_point now = this->state.dependencies.loop.now();
    this->state.registry.create_due_occurrences(wall_time_ms(), now);
    for (std::string const& job : this->state.registry.remove_ended(
             now - this->state.dependencies.ended_job_retention))
    {
        this->cleaner.forget(job);
    }
    if (this->jobs_read)
    {
        this->cleaner.note_jobs_read(this->job_follower->followed_version());
    }
    this->reports.sweep();
    this->roster.sweep();
    metrics().set("jobs_open",
        static_cast<std::int64_t>(this->state.registry.all().size()));
    metrics().set("steps_ready",
        static_cast<std::int64_t>(this->state.registry.ready().size()));
    this->log.write_summary();
    this->update_forecast();
    this->planner.schedule_pass();
}

void dispatcher::update_forecast()
{
    // Until all workers have answered, the jobs that run on the others seem to
    // wait, and their capacity seems to be missing.
    if (!this->loaded || !this->state.dependencies.forecasts_backlog ||
        !this->roster.is_reconciled())
    {
        return;
    }
    time_point now = this->state.dependencies.loop.now();
    std::int64_t wall_ms = wall_time_ms();
    std::vector<waiting_work> waiting;
    for (step_rank const& rank : this->state.registry.ready())
    {
        start_prospect prospect = prospect_of(rank, wall_ms);
        bool in_time = prospect == start_prospect::in_time;
        bool comes_first = in_time || prospect == start_prospect::late;
        // A long-running step takes capacity away; it is no work that ends.
        if (!comes_first || rank.beyond_entitlement || rank.long_running)
        {
            continue;
        }
        registry_step const& step = *this->state.registry.find(rank.id);
        waiting.push_back({rank.priority, rank.latest_start_ms, in_time,
            step.waiting, step.spec->capacity_need().cpu_millis,
            step.spec->estimated_ms});
    }
    forecast_capacity capacity;
    for (auto const& [id, worker] : this->state.pool.all())
    {
        if (worker.is_usable(now))
        {
            capacity.usable += worker.entry.capacity.cpu_millis;
            capacity.free += std::max<std::int64_t>(0, worker.free.cpu_millis);
        }
    }
    std::vector<forecast_queue> queues;
    for (queue_route const& route : this->state.dependencies.queues.routes())
    {
        queues.push_back(
            {route.terms.name, route.terms.priority, route.terms.target_ms});
    }
    this->state.forecast.update(waiting, capacity, queues, wall_ms, now);
}

} // namespace toucanlever
