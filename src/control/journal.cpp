#include "toucanlever/control/journal.hpp"

#include "toucanlever/core/backoff.hpp"
#include "toucanlever/core/log.hpp"

#include <cstdio>

namespace toucanlever
{
namespace
{

// Estimated size of an entry without its variable-length texts.
constexpr std::size_t entry_overhead_bytes = 300;
// Maximum number of rows that one item deletes, so that a batch stays within
// the transaction size limit of the table service.
constexpr std::size_t deletes_per_item = 50;
// The version of a fence row that was inserted and never changed: its
// incarnation is neither fenced nor released.
constexpr std::int64_t first_fence_version = 1;

std::string batch_suffix(std::uint64_t number)
{
    char text[24];
    std::snprintf(
        text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
    return text;
}

std::size_t size_of(journal_entry const& entry, key_claim const& claim)
{
    return entry_overhead_bytes + entry.spec.input.size() +
           entry.result.size() + entry.checkpoint.size() +
           claim.record.body.size();
}

} // namespace

void to_json(nlohmann::json& json, journal_entry const& entry)
{
    json = nlohmann::json{{"event", entry.event}};
    if (entry.event == journal_event::worker_seen)
    {
        json["worker"] = entry.worker;
        json["worker_incarnation"] = entry.worker_incarnation;
        return;
    }
    if (entry.event == journal_event::took_over)
    {
        json["reason"] = entry.reason;
        return;
    }
    json["job_id"] = entry.job_id;
    json["attempt"] = entry.attempt;
    if (!entry.checkpoint.empty())
    {
        json["checkpoint"] = entry.checkpoint;
    }
    if (entry.event == journal_event::moved)
    {
        json["reason"] = entry.reason;
    }
    if (entry.event == journal_event::accepted)
    {
        json["spec"] = entry.spec;
    }
    if (entry.event == journal_event::ended)
    {
        json["state"] = entry.state;
        json["worker"] = entry.worker;
        json["reason"] = entry.reason;
        json["result"] = entry.result;
        json["waited_ms"] = entry.waited_ms;
    }
}

void from_json(nlohmann::json const& json, journal_entry& entry)
{
    entry.event = json.at("event").get<journal_event>();
    entry.job_id = json.value("job_id", std::string());
    entry.attempt = json.value("attempt", 0U);
    entry.worker = json.value("worker", std::string());
    entry.worker_incarnation = json.value("worker_incarnation", std::string());
    entry.reason = json.value("reason", std::string());
    entry.result = json.value("result", std::string());
    entry.checkpoint = json.value("checkpoint", std::string());
    entry.waited_ms = json.value("waited_ms", std::int64_t(-1));
    if (json.contains("spec"))
    {
        entry.spec = json["spec"].get<job_spec>();
    }
    if (json.contains("state"))
    {
        entry.state = json["state"].get<job_state>();
    }
}

std::string key_row(std::string const& customer, std::string const& key)
{
    return "key/" + customer + "/" + key;
}

std::string owner_row(std::string const& job_id)
{
    return "owner/" + job_id;
}

std::string journal::row_prefix(std::string const& incarnation)
{
    return "journal/" + incarnation + "/";
}

std::string journal::fence_row(std::string const& incarnation)
{
    return fence_prefix + incarnation;
}

std::string journal::heartbeat_row(std::string const& incarnation)
{
    return heartbeat_prefix + incarnation;
}

journal::journal(event_loop& loop, table_service& table,
    std::string incarnation, std::int64_t fence_version, journal_tuning tuning,
    std::function<void()> on_fenced)
    : loop(loop)
    , table(table)
    , incarnation(std::move(incarnation))
    , fence_version(fence_version)
    , tuning(tuning)
    , on_fenced(std::move(on_fenced))
{
}

journal::~journal()
{
    *this->alive = false;
    this->loop.cancel(this->timer);
}

void journal::append(journal_entry entry, callback done)
{
    this->append_with_key(std::move(entry), {}, std::move(done));
}

void journal::append_with_key(
    journal_entry entry, key_claim claim, callback done)
{
    item next;
    next.has_entry = true;
    next.bytes = size_of(entry, claim);
    next.entry = std::move(entry);
    next.claim = std::move(claim);
    next.done = std::move(done);
    this->enqueue(std::move(next));
}

void journal::claim_key(key_claim claim, callback done)
{
    item next;
    next.bytes = size_of({}, claim);
    next.claim = std::move(claim);
    next.done = std::move(done);
    this->enqueue(std::move(next));
}

void journal::erase_rows(
    std::vector<std::string> const& rows, callback const& done)
{
    for (std::size_t begin = 0; begin < rows.size(); begin += deletes_per_item)
    {
        auto end = std::min(rows.size(), begin + deletes_per_item);
        item next;
        // The size of a full batch, so that the item gets its own batch.
        next.bytes = this->tuning.max_batch_bytes;
        next.deletes.assign(rows.begin() + static_cast<std::ptrdiff_t>(begin),
            rows.begin() + static_cast<std::ptrdiff_t>(end));
        bool last = end == rows.size();
        next.done = last ? done : [](append_result const&) {};
        this->enqueue(std::move(next));
    }
}

std::string journal::batch_row(std::uint64_t batch) const
{
    return row_prefix(this->incarnation) + batch_suffix(batch);
}

void journal::enqueue(item next)
{
    if (this->fenced)
    {
        return;
    }
    this->queue.push_back(std::move(next));
    this->schedule_batch();
}

void journal::schedule_batch()
{
    if (!this->batch.empty() || this->queue.empty() || this->timer != 0)
    {
        return;
    }
    auto idle = this->loop.now() - this->last_batch_begin;
    auto delay = std::max<microseconds>(
        this->tuning.min_batch_interval - idle, microseconds(0));
    this->timer = this->loop.after(delay,
        [this]
        {
            this->timer = 0;
            this->begin_batch();
        });
}

void journal::begin_batch()
{
    std::size_t bytes = 0;
    while (!this->queue.empty() &&
           this->batch.size() < this->tuning.max_batch_entries)
    {
        item const& next = this->queue.front();
        bytes += next.bytes;
        bool too_large =
            !this->batch.empty() && bytes > this->tuning.max_batch_bytes;
        // Two claims of one row must not be in the same transaction: both
        // would pass the check that the row is absent.
        if (too_large || this->batch_has_claim(next.claim.row))
        {
            break;
        }
        this->batch.push_back(std::move(this->queue.front()));
        this->queue.pop_front();
    }
    this->last_batch_begin = this->loop.now();
    this->commit_batch();
}

bool journal::batch_has_claim(std::string const& row) const
{
    return !row.empty() &&
           std::any_of(this->batch.begin(), this->batch.end(),
               [&row](item const& each) { return each.claim.row == row; });
}

transaction journal::build_transaction() const
{
    transaction work;
    std::string row = this->batch_row(this->next_batch);
    // Checked first, so that a retry of a committed batch is recognised.
    work.checks.push_back({row, 0});
    work.checks.push_back({fence_row(this->incarnation), this->fence_version});
    nlohmann::json entries = nlohmann::json::array();
    for (item const& each : this->batch)
    {
        if (each.has_entry)
        {
            entries.push_back(each.entry);
        }
        work.deletes.insert(
            work.deletes.end(), each.deletes.begin(), each.deletes.end());
        if (!each.claim.row.empty())
        {
            if (!each.claim.previous_owner.empty())
            {
                work.checks.push_back({fence_row(each.claim.previous_owner),
                    first_fence_version});
            }
            work.checks.push_back({each.claim.row, each.claim.version});
            work.writes.push_back(
                {each.claim.row, nlohmann::json(each.claim.record).dump()});
        }
    }
    work.writes.push_back({row, entries.dump()});
    return work;
}

void journal::commit_batch()
{
    auto still_alive = this->alive;
    this->table.commit(this->build_transaction(),
        [this, still_alive](commit_result const& result)
        {
            if (*still_alive)
            {
                this->on_commit_result(result);
            }
        });
}

void journal::on_commit_result(commit_result const& result)
{
    if (result.outcome == commit_outcome::committed)
    {
        this->on_batch_committed();
        return;
    }
    if (result.outcome == commit_outcome::conflict)
    {
        this->failures = 0;
        this->on_conflict(result.conflict);
        return;
    }
    ++this->failures;
    log_line("journal-in-doubt")
        .with("batch", this->next_batch)
        .with("failures", this->failures);
    auto delay = backoff_delay(
        this->failures, this->tuning.retry_min, this->tuning.retry_max);
    this->timer = this->loop.after(delay,
        [this]
        {
            this->timer = 0;
            this->commit_batch();
        });
}

void journal::on_conflict(table_row const& row)
{
    if (row.key == this->batch_row(this->next_batch))
    {
        // Only this incarnation writes its batch rows: an earlier attempt of
        // this batch was committed and its reply was lost.
        this->on_batch_committed();
        return;
    }
    if (row.key == fence_row(this->incarnation))
    {
        this->fenced = true;
        log_line("fenced").with("incarnation", this->incarnation);
        this->on_fenced();
        return;
    }
    if (this->reject_claims_from(row.key))
    {
        this->retry_remaining();
        return;
    }
    auto taken = std::find_if(this->batch.begin(), this->batch.end(),
        [&row](item const& each) { return each.claim.row == row.key; });
    if (taken != this->batch.end())
    {
        append_result result;
        result.outcome = append_outcome::duplicate;
        result.existing_version = row.version;
        nlohmann::json value = nlohmann::json::parse(row.value, nullptr, false);
        if (value.is_object())
        {
            result.existing = value.get<key_record>();
        }
        callback done = std::move(taken->done);
        this->batch.erase(taken);
        done(result);
    }
    this->retry_remaining();
}

/// Commits the rest of the batch after a conflict removed items from it.
void journal::retry_remaining()
{
    if (this->batch.empty())
    {
        this->schedule_batch();
        return;
    }
    this->commit_batch();
}

/// Removes the claims that depend on this fence row from the batch and reports
/// them as rejected; returns true if there were any.
bool journal::reject_claims_from(std::string const& row)
{
    auto first = std::stable_partition(this->batch.begin(), this->batch.end(),
        [&row](item const& each)
        {
            return each.claim.previous_owner.empty() ||
                   fence_row(each.claim.previous_owner) != row;
        });
    std::vector<item> refused(std::make_move_iterator(first),
        std::make_move_iterator(this->batch.end()));
    this->batch.erase(first, this->batch.end());
    for (item& each : refused)
    {
        append_result result;
        result.outcome = append_outcome::previous_owner_fenced;
        each.done(result);
    }
    return !refused.empty();
}

void journal::on_batch_committed()
{
    this->failures = 0;
    ++this->next_batch;
    auto done = std::move(this->batch);
    this->batch.clear();
    this->notify_batch_handler(done);
    auto still_alive = this->alive;
    for (item& each : done)
    {
        each.done(append_result{});
        if (!*still_alive)
        {
            return;
        }
    }
    this->schedule_batch();
}

void journal::notify_batch_handler(std::vector<item> const& done) const
{
    if (!this->batch_callback)
    {
        return;
    }
    std::vector<journal_entry> entries;
    for (item const& each : done)
    {
        if (each.has_entry)
        {
            entries.push_back(each.entry);
        }
    }
    this->batch_callback(this->next_batch - 1, entries);
}

} // namespace toucanlever
