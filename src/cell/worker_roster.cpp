#include "toucanlever/cell/worker_roster.hpp"

#include "cell/cell_tables.hpp"

#include "toucanlever/core/log.hpp"
#include "toucanlever/wire/codec.hpp"

namespace toucanlever
{

worker_roster::worker_roster(
    dispatch_state& state, std::function<void()> on_read)
    : state(state)
    , on_read(std::move(on_read))
{
}

worker_roster::~worker_roster()
{
    *this->alive = false;
}

void worker_roster::read()
{
    event_loop& loop = this->state.parts.loop;
    record_store& store = this->state.parts.store;
    follow_plan plan{this->state.parts.worker_table, {""}, milliseconds(1000),
        milliseconds(250)};
    this->list = std::make_unique<record_follower>(loop, store, plan,
        [this](std::vector<record> const& rows, bool whole)
        { this->on_worker_rows(rows, whole); });
    this->record_read = std::make_unique<record_scan>(loop, store,
        tables::workers, tables::scheduler_part,
        [this](std::vector<record> rows, std::int64_t)
        {
            this->recorded_rows = std::move(rows);
            this->tell_if_read();
        });
}

void worker_roster::tell_if_read()
{
    if (this->is_read() && !this->read_told)
    {
        this->read_told = true;
        this->on_read();
    }
}

void worker_roster::begin(worker_lease_listener& listener)
{
    for (record const& row : *this->recorded_rows)
    {
        auto entry = unpack<worker_entry>(row.value, "record-store");
        this->unreconciled.insert(entry.id);
        if (!this->workers.contains(entry.id))
        {
            this->update_worker(entry);
            this->unlist_worker(entry.id);
        }
        this->state.pool.find(entry.id)->recorded = true;
        this->to_record.erase(entry.id);
    }
    this->recorded_rows->clear();
    this->reports = &listener;
    for (auto const& [id, lease] : this->workers)
    {
        this->begin_lease(this->state.pool.find(id)->entry);
    }
}

worker_lease* worker_roster::find_lease(std::string const& worker) const
{
    auto found = this->workers.find(worker);
    return found == this->workers.end() ? nullptr : found->second.get();
}

void worker_roster::note_reconciled(std::string const& worker)
{
    if (this->unreconciled.erase(worker) > 0)
    {
        this->state.changed();
    }
}

void worker_roster::on_worker_rows(std::vector<record> const& rows, bool whole)
{
    std::set<std::string> listed;
    for (record const& row : rows)
    {
        auto entry = row.removed ? std::nullopt
                                 : this->state.parts.decode_worker(
                                       row.at.key, row.value);
        if (!entry)
        {
            this->unlist_worker(row.at.key);
            continue;
        }
        listed.insert(entry->id);
        this->update_worker(*entry);
    }
    for (auto const& [id, lease] : this->workers)
    {
        if (whole && !listed.contains(id))
        {
            this->unlist_worker(id);
        }
    }
    this->list_read = true;
    this->record_workers();
    this->tell_if_read();
    this->state.changed();
}

void worker_roster::update_worker(worker_entry const& entry)
{
    pool_worker& worker = this->state.pool.put(entry);
    auto [position, inserted] = this->workers.try_emplace(entry.id);
    bool address_changed = position->second != nullptr &&
                           position->second->target().address != entry.address;
    if (inserted)
    {
        this->to_record.insert(entry.id);
        this->to_unrecord.erase(entry.id);
        log_line("worker-listed")
            .with("worker", entry.id)
            .with("address", entry.address)
            .with("rack", entry.rack);
    }
    if (this->reports != nullptr && (inserted || address_changed))
    {
        worker.known = false;
        this->begin_lease(entry);
    }
}

void worker_roster::begin_lease(worker_entry const& entry)
{
    this->workers.at(entry.id) = std::make_unique<worker_lease>(
        this->state.parts.loop, this->state.parts.orders,
        worker_target{entry.id, entry.address}, this->state.proof.fence,
        this->state.parts.lease_limit, *this->reports);
}

void worker_roster::unlist_worker(std::string const& id)
{
    pool_worker* worker = this->state.pool.find(id);
    if (worker != nullptr && !worker->unlisted)
    {
        worker->unlisted = true;
        log_line("worker-unlisted")
            .with("worker", id)
            .with("holds", worker->holds.size());
    }
}

void worker_roster::record_workers()
{
    constexpr std::size_t entries_per_change = 90;
    constexpr milliseconds commit_timeout{2000};
    if (this->recording ||
        (this->to_record.empty() && this->to_unrecord.empty()))
    {
        return;
    }
    this->recording = true;
    record_change change;
    change.checks = {{tables::holder_row(), this->state.proof.row_version}};
    for (std::string const& id : this->to_record)
    {
        pool_worker const* worker = this->state.pool.find(id);
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
    this->state.parts.store.commit(change, commit_timeout,
        [this, change, sent_at = this->state.parts.loop.now(),
            alive = this->alive](change_result const& result)
        {
            if (*alive)
            {
                this->recording = false;
                this->state.parts.beat.settle(
                    sent_at, result.outcome == change_outcome::committed);
                this->take_recorded(change, result);
            }
        });
}

void worker_roster::take_recorded(
    record_change const& change, change_result const& result)
{
    if (result.outcome == change_outcome::conflict)
    {
        this->state.replaced(
            "a write of worker records conflicted with a newer leader row");
        return;
    }
    if (result.outcome != change_outcome::committed)
    {
        return;
    }
    for (record_write const& write : change.writes)
    {
        this->to_record.erase(write.at.key);
        pool_worker* worker = this->state.pool.find(write.at.key);
        if (worker != nullptr)
        {
            worker->recorded = true;
        }
    }
    for (record_key const& removal : change.removals)
    {
        this->to_unrecord.erase(removal.key);
    }
    this->state.changed();
    this->record_workers();
}

bool worker_roster::is_gone(pool_worker const& worker) const
{
    // Runs that an earlier scheduler started on an unreconciled worker may
    // still be running.
    return worker.unlisted && worker.silent && worker.holds.empty() &&
           !this->unreconciled.contains(worker.entry.id);
}

void worker_roster::sweep()
{
    this->record_workers();
    for (auto entry = this->workers.begin(); entry != this->workers.end();)
    {
        if (!this->is_gone(*this->state.pool.find(entry->first)))
        {
            ++entry;
            continue;
        }
        log_line("worker-forgotten").with("worker", entry->first);
        this->to_record.erase(entry->first);
        this->to_unrecord.insert(entry->first);
        this->state.pool.remove(entry->first);
        entry = this->workers.erase(entry);
    }
}

} // namespace toucanlever
