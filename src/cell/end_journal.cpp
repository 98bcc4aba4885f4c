#include "toucanlever/cell/end_journal.hpp"

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
/// A row of 64 KiB holds more than a thousand entries.
constexpr std::size_t max_entries = 500;
/// The store usually answers within 10 ms and was seen 100 times as slow. A
/// repeated transaction is recognised, but queues behind the original.
constexpr milliseconds commit_timeout{2000};
constexpr milliseconds retry_delay{150};

} // namespace

end_journal::end_journal(event_loop& loop, record_store& store,
    holder_proof proof, holder_beat& beat, std::function<void()> on_replaced,
    row_listener on_row)
    : loop(loop)
    , store(store)
    , proof(proof)
    , beat(beat)
    , on_replaced(std::move(on_replaced))
    , on_row(std::move(on_row))
{
}

end_journal::~end_journal()
{
    *this->alive = false;
    this->loop.cancel(this->timer);
}

void end_journal::append(end_record entry, std::function<void()> done)
{
    this->open.push_back({std::move(entry), std::move(done)});
    if (this->sent.empty() && this->open.size() == 1)
    {
        this->schedule(batch_delay);
    }
}

void end_journal::schedule(microseconds delay)
{
    this->timer = this->loop.after(delay, [this] { this->flush(); });
}

void end_journal::flush()
{
    auto count = std::min(this->open.size(), max_entries);
    auto last = this->open.begin() + static_cast<std::ptrdiff_t>(count);
    this->sent.assign(std::make_move_iterator(this->open.begin()),
        std::make_move_iterator(last));
    this->open.erase(this->open.begin(), last);
    ++this->sequence;
    this->send();
}

record_key end_journal::row() const
{
    char key[64];
    std::snprintf(key, sizeof key, "%012llx.%012llx",
        static_cast<unsigned long long>(this->proof.fence),
        static_cast<unsigned long long>(this->sequence));
    return {tables::journal, tables::scheduler_part, key};
}

void end_journal::send()
{
    std::vector<end_record> entries;
    for (item const& pending : this->sent)
    {
        entries.push_back(pending.entry);
    }
    record_change change;
    change.checks = {
        {tables::holder_row(), this->proof.row_version}, {this->row(), 0}};
    change.writes = {{this->row(), pack(entries)}};
    if (auto due_heartbeat = this->beat.begin_transaction())
    {
        change.writes.push_back(std::move(*due_heartbeat));
    }
    this->store.commit(change, commit_timeout,
        [this, sent_at = this->loop.now(), alive = this->alive](
            change_result const& result)
        {
            if (*alive)
            {
                this->beat.settle(
                    sent_at, result.outcome == change_outcome::committed);
                this->take(result);
            }
        });
}

bool end_journal::is_written(change_result const& result) const
{
    if (result.outcome == change_outcome::committed)
    {
        return true;
    }
    // If the row exists, an earlier attempt wrote it and its answer was lost.
    std::string key = this->row().key;
    return result.outcome == change_outcome::conflict &&
           std::any_of(result.current.begin(), result.current.end(),
               [&key](record const& row)
               {
                   return row.at.table == tables::journal &&
                          row.at.key == key && row.version > 0;
               });
}

void end_journal::take(change_result const& result)
{
    if (this->is_written(result))
    {
        metrics().count("journal_writes");
        metrics().count(
            "journal_entries", static_cast<std::int64_t>(this->sent.size()));
        std::set<std::string> jobs;
        for (item const& pending : this->sent)
        {
            jobs.insert(pending.entry.task.step.job);
        }
        this->on_row(this->row().key, jobs);
        std::vector<item> durable = std::move(this->sent);
        this->sent.clear();
        if (!this->open.empty())
        {
            this->schedule(batch_delay);
        }
        for (item const& pending : durable)
        {
            pending.done();
        }
        return;
    }
    if (result.outcome == change_outcome::conflict)
    {
        log_line("journal-refused")
            .with("fence", this->proof.fence)
            .with("reason", "another scheduler is active");
        this->on_replaced();
        return;
    }
    this->timer = this->loop.after(retry_delay, [this] { this->send(); });
}

std::vector<end_record> end_journal::decode(std::string const& value)
{
    return unpack<std::vector<end_record>>(value, "record-store");
}

} // namespace toucanlever
