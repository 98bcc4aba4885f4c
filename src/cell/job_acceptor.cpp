#include "toucanlever/cell/job_acceptor.hpp"

#include "cell/cell_tables.hpp"

#include "toucanlever/core/metrics.hpp"
#include "toucanlever/wire/codec.hpp"

#include <algorithm>
#include <set>

namespace toucanlever
{
namespace
{

/// The store accepts up to 100 entries and 1 MB in one transaction.
constexpr std::size_t max_batch = 40;
constexpr std::size_t max_batch_bytes = 500'000;
/// Long enough for a store that is 100 times as slow as the usual 10 ms; a
/// repeated transaction would queue behind the original.
constexpr milliseconds commit_timeout{1500};
/// Applies to a batch with a submission whose deadline is near or has passed.
constexpr milliseconds min_commit_timeout{50};
constexpr milliseconds retry_delay{100};

/// True when the store ran the transaction: it committed, or a check failed.
bool was_decided(change_result const& result)
{
    return result.outcome == change_outcome::committed ||
           result.outcome == change_outcome::conflict;
}

} // namespace

job_acceptor::job_acceptor(
    event_loop& loop, record_store& store, std::string part)
    : loop(loop)
    , store(store)
    , part(std::move(part))
{
}

job_acceptor::~job_acceptor()
{
    *this->alive = false;
}

void job_acceptor::accept(
    work_record const& record, milliseconds timeout, callback done)
{
    this->queued.push_back({record.id, pack(record), this->loop.now() + timeout,
        false, std::move(done)});
    this->flush();
}

void job_acceptor::flush()
{
    if (!this->in_flight.empty() || this->queued.empty() || this->retrying)
    {
        return;
    }
    record_change change;
    std::size_t bytes = 0;
    std::set<std::string> included;
    std::vector<submission> remaining;
    for (submission& next : this->queued)
    {
        // A job that is larger than a batch is sent alone.
        bool fits = this->in_flight.empty() ||
                    (this->in_flight.size() < max_batch &&
                        bytes + next.value.size() <= max_batch_bytes);
        // A second submission of a job of this batch waits for the next batch.
        if (!fits || !included.insert(next.job).second)
        {
            remaining.push_back(std::move(next));
            continue;
        }
        record_key row = tables::job_row_key(this->part, next.job);
        bytes += next.value.size();
        change.checks.push_back({row, 0});
        change.writes.push_back({row, next.value});
        this->in_flight.push_back(std::move(next));
    }
    this->queued = std::move(remaining);
    this->store.commit(change, this->batch_timeout(),
        [this, alive = this->alive](change_result const& result)
        {
            if (*alive)
            {
                this->handle_result(result);
            }
        });
}

milliseconds job_acceptor::batch_timeout() const
{
    // A caller learns by its deadline at the latest that the outcome is
    // unknown.
    milliseconds remaining = commit_timeout;
    for (submission const& pending : this->in_flight)
    {
        remaining =
            std::min(remaining, std::chrono::duration_cast<milliseconds>(
                                    pending.deadline - this->loop.now()));
    }
    return std::max(remaining, min_commit_timeout);
}

void job_acceptor::probe()
{
    if (this->probing)
    {
        return;
    }
    this->probing = true;
    // Job ids are hexadecimal and sort before "~", so the answer has no rows.
    this->store.read(tables::jobs, this->part, "~", {},
        [this, alive = this->alive](read_result const& result)
        {
            if (!*alive)
            {
                return;
            }
            if (result.outcome == read_outcome::answered)
            {
                this->failures = 0;
            }
            this->loop.after(retry_delay,
                [this, alive]
                {
                    if (*alive)
                    {
                        this->probing = false;
                    }
                });
        });
}

void job_acceptor::handle_result(change_result const& result)
{
    bool decided = was_decided(result);
    this->failures = decided ? 0 : this->failures + 1;
    std::vector<submission> batch = std::move(this->in_flight);
    this->in_flight.clear();
    this->complete_submissions(std::move(batch), result);
    if (decided)
    {
        this->flush();
        return;
    }
    this->reject_unsent();
    this->retry();
}

void job_acceptor::complete_submissions(
    std::vector<submission> batch, change_result const& result)
{
    metrics().count("accept_batches");
    bool decided = was_decided(result);
    std::set<std::string> stored_jobs;
    for (record const& row : result.current)
    {
        if (row.version > 0)
        {
            stored_jobs.insert(row.at.key);
        }
    }
    time_point now = this->loop.now();
    std::vector<submission> to_retry;
    for (submission& pending : batch)
    {
        pending.in_doubt =
            pending.in_doubt || result.outcome == change_outcome::in_doubt;
        if (result.outcome == change_outcome::committed)
        {
            pending.done({accept_outcome::stored, result.version});
        }
        else if (stored_jobs.contains(pending.job))
        {
            pending.done({accept_outcome::stored, 0});
        }
        else if (now >= pending.deadline && pending.in_doubt)
        {
            this->remember_in_doubt(pending.job);
            pending.done({accept_outcome::unknown, 0});
        }
        else if (!decided && !pending.in_doubt)
        {
            pending.done({accept_outcome::not_stored, 0});
        }
        else
        {
            to_retry.push_back(std::move(pending));
        }
    }
    this->queued.insert(this->queued.begin(),
        std::make_move_iterator(to_retry.begin()),
        std::make_move_iterator(to_retry.end()));
}

void job_acceptor::remember_in_doubt(std::string const& job)
{
    // Callers retry within seconds; this many jobs cover minutes of an outage.
    constexpr std::size_t max_in_doubt_jobs = 20000;
    if (this->in_doubt_jobs.insert(job).second)
    {
        this->in_doubt_order.push_back(job);
    }
    if (this->in_doubt_order.size() > max_in_doubt_jobs)
    {
        this->in_doubt_jobs.erase(this->in_doubt_order.front());
        this->in_doubt_order.pop_front();
    }
}

void job_acceptor::reject_unsent()
{
    // The store is unavailable. Submissions that were never sent are certainly
    // not stored, so they are rejected at once.
    std::vector<submission> retained;
    std::vector<submission> unsent;
    for (submission& pending : this->queued)
    {
        (pending.in_doubt ? retained : unsent).push_back(std::move(pending));
    }
    this->queued = std::move(retained);
    for (submission const& pending : unsent)
    {
        pending.done({accept_outcome::not_stored, 0});
    }
}

void job_acceptor::retry()
{
    this->retrying = true;
    this->loop.after(retry_delay,
        [this, alive = this->alive]
        {
            if (*alive)
            {
                this->retrying = false;
                this->flush();
            }
        });
}

} // namespace toucanlever
