#include "toucanlever/cell/record_follower.hpp"

#include "toucanlever/core/backoff.hpp"
#include "toucanlever/core/log.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace toucanlever
{
namespace
{

/// Limits for `backoff_delay` before a failed call is repeated. Short, because
/// the store is needed as soon as it recovers; not shorter, because all
/// instances retry together.
constexpr milliseconds retry_min{100};
constexpr milliseconds retry_max{500};

} // namespace

record_scan::record_scan(event_loop& loop, record_store& store,
    std::string table, std::string part, callback done)
    : loop(loop)
    , store(store)
    , table(std::move(table))
    , part(std::move(part))
    , done(std::move(done))
{
    this->read({});
}

record_scan::~record_scan()
{
    *this->alive = false;
    this->loop.cancel(this->retry_timer);
}

void record_scan::read(std::string const& from)
{
    this->store.read(this->table, this->part, from, {},
        [this, from, alive = this->alive](read_result result)
        {
            if (*alive)
            {
                this->handle_page(std::move(result), from);
            }
        });
}

void record_scan::handle_page(read_result result, std::string const& from)
{
    if (result.outcome != read_outcome::answered)
    {
        this->retry_timer =
            this->loop.after(backoff_delay(1, retry_min, retry_max),
                [this, from] { this->read(from); });
        return;
    }
    if (this->version == 0)
    {
        this->version = result.version;
    }
    this->last_version = result.version;
    std::string last_key =
        result.rows.empty() ? std::string() : result.rows.back().at.key;
    std::copy_if(std::make_move_iterator(result.rows.begin()),
        std::make_move_iterator(result.rows.end()),
        std::back_inserter(this->rows),
        [](record const& row) { return !row.removed; });
    if (result.has_more && !result.rows.empty())
    {
        // Continue at the next key in byte order; this relies on keys without
        // characters below '!'.
        this->read(last_key + '!');
        return;
    }
    this->done(std::move(this->rows), this->version);
}

record_follower::record_follower(event_loop& loop, record_store& store,
    follow_options options, callback on_rows)
    : loop(loop)
    , store(store)
    , options(std::move(options))
    , on_rows(std::move(on_rows))
{
    this->read_snapshot();
}

record_follower::~record_follower()
{
    *this->alive = false;
    this->loop.cancel(this->timer);
}

void record_follower::read_snapshot()
{
    this->scanning = true;
    this->scan_started_at = this->loop.now();
    if (!this->options.parts.empty())
    {
        this->read_parts(this->options.parts);
        return;
    }
    this->read_base_version();
}

void record_follower::retry(void (record_follower::*step)())
{
    this->timer = this->loop.after(backoff_delay(1, retry_min, retry_max),
        [this, step] { (this->*step)(); });
}

void record_follower::read_base_version()
{
    // Before the parts are listed, so that a part that gets its first row after
    // that is found among the changes. No key sorts after "~".
    this->store.read(this->options.table, {}, "~", {},
        [this, alive = this->alive](read_result const& result)
        {
            if (!*alive)
            {
                return;
            }
            if (result.outcome != read_outcome::answered)
            {
                this->retry(&record_follower::read_base_version);
                return;
            }
            this->base_version = result.version;
            this->list_parts();
        });
}

void record_follower::list_parts()
{
    this->store.parts(this->options.table,
        [this, alive = this->alive](
            std::optional<std::vector<std::string>> const& parts)
        {
            if (!*alive)
            {
                return;
            }
            if (parts)
            {
                this->read_parts(*parts);
                return;
            }
            this->retry(&record_follower::list_parts);
        });
}

void record_follower::read_parts(std::vector<std::string> const& listed_parts)
{
    // A table without rows lists no parts. Read an empty part, to get the
    // version of the table.
    std::vector<std::string> parts = listed_parts;
    if (parts.empty())
    {
        parts.emplace_back();
    }
    this->scans.clear();
    this->snapshot_rows.clear();
    this->parts_missing = parts.size();
    this->version = 0;
    for (std::string const& part : parts)
    {
        this->scans.push_back(std::make_unique<record_scan>(this->loop,
            this->store, this->options.table, part,
            [this](std::vector<record> rows, std::int64_t version)
            { this->add_part_rows(std::move(rows), version); }));
    }
}

void record_follower::add_part_rows(
    std::vector<record> rows, std::int64_t version)
{
    std::move(
        rows.begin(), rows.end(), std::back_inserter(this->snapshot_rows));
    this->version =
        this->version == 0 ? version : std::min(this->version, version);
    --this->parts_missing;
    if (this->parts_missing > 0)
    {
        return;
    }
    if (!this->options.parts.empty())
    {
        this->fresh_time = this->scan_started_at;
        this->deliver_snapshot();
        return;
    }
    // The parts were read one after the other, and each page by page.
    this->version = this->base_version;
    this->newest_version = 0;
    for (auto const& scan : this->scans)
    {
        this->newest_version =
            std::max(this->newest_version, scan->newest_version());
    }
    this->catch_up();
}

void record_follower::catch_up()
{
    time_point requested_at = this->loop.now();
    this->store.changes(this->options.table, this->version, milliseconds(0),
        [this, requested_at, alive = this->alive](read_result result)
        {
            if (*alive)
            {
                this->handle_catch_up(std::move(result), requested_at);
            }
        });
}

void record_follower::handle_catch_up(
    read_result result, time_point requested_at)
{
    if (result.outcome == read_outcome::history_lost)
    {
        this->retry(&record_follower::read_snapshot);
        return;
    }
    if (result.outcome == read_outcome::failed)
    {
        this->retry(&record_follower::catch_up);
        return;
    }
    bool has_changes = !result.rows.empty();
    this->apply_to_snapshot(std::move(result.rows));
    this->version = std::max(this->version, result.version);
    if (has_changes && this->version < this->newest_version)
    {
        this->catch_up();
        return;
    }
    this->fresh_time = requested_at;
    this->deliver_snapshot();
}

void record_follower::apply_to_snapshot(std::vector<record> changes)
{
    std::map<std::pair<std::string, std::string>, record> latest;
    for (record& change : changes)
    {
        std::pair id(change.at.part, change.at.key);
        latest[std::move(id)] = std::move(change);
    }
    if (latest.empty())
    {
        return;
    }
    std::erase_if(this->snapshot_rows,
        [&latest](record const& row) {
            return latest.contains({row.at.part, row.at.key});
        });
    for (auto& [id, change] : latest)
    {
        if (!change.removed)
        {
            this->snapshot_rows.push_back(std::move(change));
        }
    }
}

void record_follower::deliver_snapshot()
{
    this->complete = true;
    this->scanning = false;
    std::vector<record> snapshot = std::move(this->snapshot_rows);
    this->snapshot_rows.clear();
    // `request_changes` destroys the scans. Call it from the loop, because one
    // of them may be the caller of this function.
    this->schedule_follow(milliseconds(0));
    this->on_rows(snapshot, true);
}

std::int64_t record_follower::elapsed_ms(time_point since) const
{
    return std::chrono::duration_cast<milliseconds>(this->loop.now() - since)
        .count();
}

void record_follower::schedule_follow(milliseconds delay)
{
    this->timer = this->loop.after(delay, [this] { this->request_changes(); });
}

void record_follower::request_changes()
{
    this->scans.clear();
    time_point requested_at = this->loop.now();
    // After a failure, the call does not wait for changes: an answer at once
    // shows soonest that the store has recovered.
    milliseconds wait =
        this->failures > 0 ? milliseconds(0) : this->options.wait;
    this->store.changes(this->options.table, this->version, wait,
        [this, requested_at, alive = this->alive](read_result const& result)
        {
            if (*alive)
            {
                this->handle_changes(result, requested_at);
            }
        });
}

void record_follower::handle_changes(
    read_result const& result, time_point requested_at)
{
    if (result.outcome == read_outcome::history_lost)
    {
        log_line("store-history-lost")
            .with("table", this->options.table)
            .with("version", this->version);
        this->read_snapshot();
        return;
    }
    if (result.outcome == read_outcome::failed)
    {
        ++this->failures;
        if (this->failures == 1)
        {
            log_line("store-follow-interrupted")
                .with("table", this->options.table)
                .with("version", this->version)
                .with("call_ms", this->elapsed_ms(requested_at))
                .with("problem", result.problem);
        }
        this->schedule_follow(
            backoff_delay(this->failures, retry_min, retry_max));
        return;
    }
    if (this->failures > 0)
    {
        log_line("store-follow-resumed")
            .with("table", this->options.table)
            .with("failed_calls", this->failures)
            .with("stale_ms", this->elapsed_ms(this->fresh_time))
            .with("call_ms", this->elapsed_ms(requested_at));
    }
    this->failures = 0;
    this->fresh_time = requested_at;
    this->version = std::max(this->version, result.version);
    this->schedule_follow(this->options.gap);
    if (!result.rows.empty())
    {
        this->on_rows(result.rows, false);
    }
}

} // namespace toucanlever
