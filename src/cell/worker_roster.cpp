#include "toucanlever/cell/worker_roster.hpp"

#include "cell/cell_tables.hpp"

#include "toucanlever/core/log.hpp"
#include "toucanlever/core/metrics.hpp"
#include "toucanlever/wire/codec.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

record_key worker_row_key(std::string const& worker)
{
    return {tables::workers, tables::scheduler_part, worker};
}

/// Capacities that were read longer ago are not used. A worker lists a smaller
/// capacity within 1.5 s, and must not be filled beyond it 4.5 s after the
/// change. The follower's calls take up to 1 s and are 250 ms apart, so the
/// list is 2.25 s old at most while they succeed.
constexpr milliseconds max_list_age{3000};
/// A worker that is silent for this long has its record closed. Shorter
/// silences are frequent, and each closing costs two writes.
constexpr milliseconds close_after_silence{1500};
/// The store accepts 100 entries in one transaction.
constexpr std::size_t entries_per_change = 90;

std::size_t count_entries(record_change const& change)
{
    return change.checks.size() + change.writes.size() + change.removals.size();
}

} // namespace

worker_roster::worker_roster(
    dispatch_state& state, std::function<void()> on_read)
    : state(state)
    , on_read(std::move(on_read))
    , fences(state.proof.fencing_token)
{
}

worker_roster::~worker_roster()
{
    *this->alive = false;
}

void worker_roster::start_reading()
{
    event_loop& loop = this->state.dependencies.loop;
    record_store& store = this->state.dependencies.store;
    // A call waits up to 1 s for a change, and calls are 250 ms apart.
    follow_options options{this->state.dependencies.worker_table, {""},
        milliseconds(1000), milliseconds(250)};
    this->list_follower =
        std::make_unique<record_follower>(loop, store, options,
            [this](std::vector<record> const& rows, bool complete)
            { this->on_worker_rows(rows, complete); });
    this->recorded_scan = std::make_unique<record_scan>(loop, store,
        tables::workers, tables::scheduler_part,
        [this](std::vector<record> rows, std::int64_t)
        {
            this->recorded_rows = std::move(rows);
            this->notify_if_read();
        });
}

bool worker_roster::is_list_current() const
{
    return this->list_follower != nullptr &&
           this->state.dependencies.loop.now() -
                   this->list_follower->fresh_at() <
               max_list_age;
}

void worker_roster::notify_if_read()
{
    if (this->is_read() && !this->read_notified)
    {
        this->read_notified = true;
        this->on_read();
    }
}

void worker_roster::follow_workers(worker_lease_listener& listener)
{
    for (record const& row : *this->recorded_rows)
    {
        auto entry = unpack<worker_record>(row.value, "record-store");
        bool closed = entry.is_closed_for(this->state.proof.fencing_token);
        this->record_versions[entry.id] = row.version;
        if (closed)
        {
            this->unheard_jobs[entry.id] = entry.jobs();
            this->closed_tasks[entry.id] = {
                entry.tasks.begin(), entry.tasks.end()};
            // Written again under this term's token, for the next successor.
            this->to_close.insert(entry.id);
        }
        else
        {
            this->unreconciled.insert(entry.id);
        }
        if (!this->leases.contains(entry.id))
        {
            this->update_worker(entry);
            this->unlist_worker(entry.id);
        }
        this->state.pool.find(entry.id)->recorded = !closed;
        this->to_record.erase(entry.id);
    }
    this->recorded_rows->clear();
    this->reports = &listener;
    for (auto const& [id, lease] : this->leases)
    {
        this->start_lease(this->state.pool.find(id)->entry);
    }
    this->record_workers();
}

worker_lease* worker_roster::find_lease(std::string const& worker) const
{
    auto found = this->leases.find(worker);
    return found == this->leases.end() ? nullptr : found->second.get();
}

void worker_roster::note_reconciled(std::string const& worker)
{
    if (this->unreconciled.erase(worker) + this->unheard_jobs.erase(worker) > 0)
    {
        this->state.on_work_changed();
    }
}

bool worker_roster::may_have_runs(std::string const& job) const
{
    return std::any_of(this->unheard_jobs.begin(), this->unheard_jobs.end(),
        [&job](auto const& worker) { return worker.second.contains(job); });
}

void worker_roster::on_worker_rows(
    std::vector<record> const& rows, bool complete)
{
    std::set<std::string> listed;
    for (record const& row : rows)
    {
        auto entry = row.removed ? std::nullopt
                                 : this->state.dependencies.decode_worker(
                                       row.at.key, row.value);
        if (!entry)
        {
            this->note_unusable_entry(row);
            this->unlist_worker(row.at.key);
            continue;
        }
        this->unusable_entries.erase(entry->id);
        listed.insert(entry->id);
        this->update_worker(*entry);
    }
    for (auto const& [id, lease] : this->leases)
    {
        if (complete && !listed.contains(id))
        {
            this->unlist_worker(id);
        }
    }
    this->list_read = true;
    this->record_workers();
    this->notify_if_read();
    this->state.on_work_changed();
}

void worker_roster::note_unusable_entry(record const& row)
{
    if (row.removed)
    {
        this->unusable_entries.erase(row.at.key);
    }
    else if (this->unusable_entries.insert(row.at.key).second)
    {
        log_line("worker-entry-unusable")
            .with("worker", row.at.key)
            .with("version", row.version)
            .with("bytes", row.value.size());
        metrics().count("worker_entries_unusable");
    }
}

void worker_roster::update_worker(worker_entry const& entry)
{
    pool_worker& worker = this->state.pool.put(entry);
    auto [position, inserted] = this->leases.try_emplace(entry.id);
    bool address_changed = position->second != nullptr &&
                           position->second->target().address != entry.address;
    if (inserted)
    {
        this->to_record.insert(entry.id);
        this->to_remove_record.erase(entry.id);
        log_line("worker-listed")
            .with("worker", entry.id)
            .with("address", entry.address)
            .with("rack", entry.rack);
    }
    if (this->reports != nullptr && (inserted || address_changed))
    {
        worker.reconciled = false;
        this->start_lease(entry);
    }
}

void worker_roster::start_lease(worker_entry const& entry)
{
    this->leases.at(entry.id) = std::make_unique<worker_lease>(
        this->state.dependencies.loop, this->state.dependencies.orders,
        worker_target{entry.id, entry.address}, this->fences,
        this->state.dependencies.lease_limit, *this->reports);
}

void worker_roster::unlist_worker(std::string const& id)
{
    pool_worker* worker = this->state.pool.find(id);
    if (worker != nullptr && !worker->unlisted)
    {
        worker->unlisted = true;
        log_line("worker-unlisted")
            .with("worker", id)
            .with("holds", worker->allocations.size());
    }
}

void worker_roster::record_workers()
{
    // Long enough for a store that is 100 times as slow as the usual 10 ms.
    constexpr milliseconds commit_timeout{2000};
    // Before the recorded workers have been read, a write could replace a
    // closed record.
    if (this->recording || this->reports == nullptr ||
        (this->to_record.empty() && this->to_close.empty() &&
            this->to_remove_record.empty()))
    {
        return;
    }
    this->recording = true;
    record_change change;
    // The transaction conflicts once a newer leader has changed the leader row.
    change.checks = {{tables::leader_row_key(), this->state.proof.row_version}};
    for (std::string const& id : this->to_record)
    {
        pool_worker const* worker = this->state.pool.find(id);
        if (count_entries(change) < entries_per_change && worker != nullptr)
        {
            change.writes.push_back(
                {worker_row_key(id), pack(worker_record(worker->entry))});
        }
    }
    closing_sizes const closings = this->add_closed_records(change);
    for (std::string const& id : this->to_remove_record)
    {
        // A removal that is carried out late must not remove the record of a
        // worker that has been listed and recorded again.
        constexpr std::size_t entries_per_removal = 2;
        if (count_entries(change) + entries_per_removal <= entries_per_change)
        {
            record_key row = worker_row_key(id);
            change.checks.push_back({row, this->record_versions[id]});
            change.removals.push_back(row);
        }
    }
    this->state.dependencies.store.commit(change, commit_timeout,
        [this, change, closings, sent_at = this->state.dependencies.loop.now(),
            alive = this->alive](change_result const& result)
        {
            if (*alive)
            {
                this->recording = false;
                this->state.dependencies.heartbeat.end_transaction(
                    sent_at, result.outcome == change_outcome::committed);
                this->on_workers_recorded(change, closings, result);
            }
        });
}

void worker_roster::on_workers_recorded(record_change const& change,
    closing_sizes const& closings, change_result const& result)
{
    if (result.outcome == change_outcome::conflict)
    {
        this->on_record_conflict(change, result.current);
        return;
    }
    if (result.outcome != change_outcome::committed)
    {
        return;
    }
    for (record_write const& write : change.writes)
    {
        this->record_versions[write.at.key] = result.version;
        auto closing = closings.find(write.at.key);
        if (closing != closings.end())
        {
            // Tasks that were found since then are written next.
            if (this->closed_tasks[write.at.key].size() == closing->second)
            {
                this->to_close.erase(write.at.key);
            }
            continue;
        }
        this->to_record.erase(write.at.key);
        if (this->to_close.contains(write.at.key))
        {
            continue;
        }
        this->closed_tasks.erase(write.at.key);
        pool_worker* worker = this->state.pool.find(write.at.key);
        if (worker != nullptr)
        {
            worker->recorded = true;
        }
    }
    for (record_key const& removal : change.removals)
    {
        this->to_remove_record.erase(removal.key);
        this->record_versions.erase(removal.key);
    }
    this->state.on_work_changed();
    this->record_workers();
}

void worker_roster::on_record_conflict(
    record_change const& change, std::vector<record> const& current)
{
    std::map<std::string, std::int64_t> versions;
    bool leads = false;
    for (record const& row : current)
    {
        if (row.at.table == tables::workers)
        {
            versions[row.at.key] = row.version;
        }
        leads = leads || (row.at.table == tables::leader &&
                             row.version == this->state.proof.row_version);
    }
    if (!leads)
    {
        this->state.on_replaced(
            "a write of worker records conflicted with a newer leader row");
        return;
    }
    // An earlier write or removal was carried out, though its answer was lost.
    for (record_key const& removal : change.removals)
    {
        std::int64_t version = versions[removal.key];
        if (version == 0)
        {
            this->to_remove_record.erase(removal.key);
            this->record_versions.erase(removal.key);
            continue;
        }
        this->record_versions[removal.key] = version;
    }
    for (record_write const& write : change.writes)
    {
        auto current_version = versions.find(write.at.key);
        if (current_version != versions.end())
        {
            this->record_versions[write.at.key] = current_version->second;
        }
    }
}

worker_roster::closing_sizes worker_roster::add_closed_records(
    record_change& change)
{
    // A closed record that is written late must not replace an open one, under
    // which more work may have been started.
    constexpr std::size_t entries_per_closing = 2;
    closing_sizes closings;
    for (std::string const& id : this->to_close)
    {
        pool_worker const* worker = this->state.pool.find(id);
        if (worker == nullptr ||
            count_entries(change) + entries_per_closing > entries_per_change)
        {
            continue;
        }
        std::set<std::string> const& tasks = this->closed_tasks[id];
        worker_record closed(worker->entry);
        closed.closed_by = this->state.proof.fencing_token;
        closed.tasks.assign(tasks.begin(), tasks.end());
        record_key row = worker_row_key(id);
        change.checks.push_back({row, this->record_versions[id]});
        change.writes.push_back({row, pack(closed)});
        closings.emplace(id, tasks.size());
    }
    return closings;
}

std::set<std::string> worker_roster::tasks_on(pool_worker const& worker) const
{
    std::set<std::string> tasks;
    for (auto const& [task, allocation] : worker.allocations)
    {
        tasks.insert(to_string(task));
    }
    for (late_start const& start : worker.late_starts)
    {
        tasks.insert(to_string(start.task));
    }
    return tasks;
}

bool worker_roster::is_closable(pool_worker const& worker) const
{
    time_point now = this->state.dependencies.loop.now();
    bool silent_for_long =
        worker.silent && now - worker.silent_since >= close_after_silence;
    // A run whose end is received but not recorded has no allocation any more.
    return worker.reconciled &&
           (worker.entry.leaving || worker.unlisted || silent_for_long) &&
           !this->leases.at(worker.entry.id)->has_unsettled_completions();
}

void worker_roster::update_record(pool_worker& worker)
{
    std::string const& id = worker.entry.id;
    if (this->is_closable(worker))
    {
        std::set<std::string> tasks = this->tasks_on(worker);
        std::set<std::string>& listed = this->closed_tasks[id];
        // A late order may have started a run on a worker that was closed.
        bool is_complete = std::includes(
            listed.begin(), listed.end(), tasks.begin(), tasks.end());
        if (worker.recorded || !is_complete)
        {
            worker.recorded = false;
            listed.merge(tasks);
            this->to_record.erase(id);
            this->to_close.insert(id);
            log_line("worker-closed")
                .with("worker", id)
                .with("leaving", worker.entry.leaving ? 1 : 0)
                .with("silent", worker.silent ? 1 : 0)
                .with("tasks", listed.size());
        }
        return;
    }
    bool is_back = worker.reconciled && !worker.silent &&
                   !worker.entry.leaving && !worker.unlisted;
    if (is_back && !worker.recorded && !this->to_close.contains(id))
    {
        this->to_record.insert(id);
    }
}

bool worker_roster::is_removable(pool_worker const& worker) const
{
    // Runs that an earlier scheduler started on an unreconciled worker may
    // still be running.
    return worker.unlisted && worker.silent && worker.allocations.empty() &&
           !this->unreconciled.contains(worker.entry.id) &&
           !this->unheard_jobs.contains(worker.entry.id);
}

void worker_roster::sweep()
{
    for (auto entry = this->leases.begin(); entry != this->leases.end();)
    {
        pool_worker& worker = *this->state.pool.find(entry->first);
        if (!this->is_removable(worker))
        {
            if (this->reports != nullptr)
            {
                this->update_record(worker);
            }
            ++entry;
            continue;
        }
        log_line("worker-forgotten").with("worker", entry->first);
        this->to_record.erase(entry->first);
        this->to_close.erase(entry->first);
        this->closed_tasks.erase(entry->first);
        this->to_remove_record.insert(entry->first);
        this->state.pool.remove(entry->first);
        entry = this->leases.erase(entry);
    }
    this->record_workers();
}

} // namespace toucanlever
