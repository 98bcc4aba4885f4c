#include "toucanlever/cell/completion_journal.hpp"

#include "cell/cell_tables.hpp"

#include "toucanlever/core/log.hpp"
#include "toucanlever/core/metrics.hpp"
#include "toucanlever/wire/codec.hpp"

#include <algorithm>
#include <cstdio>

namespace toucanlever
{
namespace
{

/// Entries are collected for this long before they are written.
constexpr milliseconds batch_delay{15};
/// Keeps a row well below 64 KiB, which hold more than a thousand entries.
constexpr std::size_t max_entries = 500;
/// Long enough for a store that is 100 times as slow as the usual 10 ms. A
/// repeated transaction is recognised, but queues behind the original.
constexpr milliseconds commit_timeout{2000};
constexpr milliseconds retry_delay{150};

} // namespace

completion_journal::completion_journal(event_loop& loop, record_store& store,
    leader_proof proof, leader_heartbeat& heartbeat,
    std::function<void()> on_replaced, row_listener on_row)
    : loop(loop)
    , store(store)
    , proof(proof)
    , heartbeat(heartbeat)
    , on_replaced(std::move(on_replaced))
    , on_row_written(std::move(on_row))
{
}

completion_journal::~completion_journal()
{
    *this->alive = false;
    this->loop.cancel(this->timer);
}

void completion_journal::append(
    run_completion entry, std::function<void()> done)
{
    this->queued.push_back({std::move(entry), std::move(done)});
    if (this->in_flight.empty() && this->queued.size() == 1)
    {
        this->schedule_flush(batch_delay);
    }
}

void completion_journal::schedule_flush(microseconds delay)
{
    this->timer = this->loop.after(delay, [this] { this->flush(); });
}

void completion_journal::flush()
{
    auto count = std::min(this->queued.size(), max_entries);
    auto last = this->queued.begin() + static_cast<std::ptrdiff_t>(count);
    this->in_flight.assign(std::make_move_iterator(this->queued.begin()),
        std::make_move_iterator(last));
    this->queued.erase(this->queued.begin(), last);
    ++this->sequence;
    this->send();
}

record_key completion_journal::batch_row() const
{
    char key[64];
    std::snprintf(key, sizeof key, "%012llx.%012llx",
        static_cast<unsigned long long>(this->proof.fencing_token),
        static_cast<unsigned long long>(this->sequence));
    return {tables::journal, tables::scheduler_part, key};
}

void completion_journal::send()
{
    std::vector<run_completion> entries;
    for (pending_entry const& pending : this->in_flight)
    {
        entries.push_back(pending.entry);
    }
    record_change change;
    change.checks = {{tables::leader_row_key(), this->proof.row_version},
        {this->batch_row(), 0}};
    change.writes = {{this->batch_row(), pack(entries)}};
    if (auto due_heartbeat = this->heartbeat.begin_transaction())
    {
        change.writes.push_back(std::move(*due_heartbeat));
    }
    this->store.commit(change, commit_timeout,
        [this, sent_at = this->loop.now(), alive = this->alive](
            change_result const& result)
        {
            if (*alive)
            {
                this->heartbeat.end_transaction(
                    sent_at, result.outcome == change_outcome::committed);
                this->handle_result(result);
            }
        });
}

bool completion_journal::is_written(change_result const& result) const
{
    if (result.outcome == change_outcome::committed)
    {
        return true;
    }
    // If the row exists, an earlier attempt wrote it and its answer was lost.
    std::string key = this->batch_row().key;
    return result.outcome == change_outcome::conflict &&
           std::any_of(result.current.begin(), result.current.end(),
               [&key](record const& row)
               {
                   return row.at.table == tables::journal &&
                          row.at.key == key && row.version > 0;
               });
}

void completion_journal::handle_result(change_result const& result)
{
    if (this->is_written(result))
    {
        metrics().count("journal_writes");
        metrics().count("journal_entries",
            static_cast<std::int64_t>(this->in_flight.size()));
        std::set<std::string> jobs;
        for (pending_entry const& pending : this->in_flight)
        {
            jobs.insert(pending.entry.task.step.job);
        }
        this->on_row_written(this->batch_row().key, jobs);
        std::vector<pending_entry> durable = std::move(this->in_flight);
        this->in_flight.clear();
        if (!this->queued.empty())
        {
            this->schedule_flush(batch_delay);
        }
        for (pending_entry const& pending : durable)
        {
            pending.done();
        }
        return;
    }
    if (result.outcome == change_outcome::conflict)
    {
        log_line("journal-refused")
            .with("fence", this->proof.fencing_token)
            .with("reason",
                "the leader row has changed; this scheduler stops writing");
        this->on_replaced();
        return;
    }
    this->timer = this->loop.after(retry_delay, [this] { this->send(); });
}

std::vector<run_completion> completion_journal::decode(std::string const& value)
{
    return unpack<std::vector<run_completion>>(value, "record-store");
}

} // namespace toucanlever
