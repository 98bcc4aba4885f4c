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

/// Entries that the store takes in one transaction are 100, and 1 MB.
constexpr std::size_t max_batch = 40;
constexpr std::size_t max_batch_bytes = 500'000;
/// A store that is 100 times as slow as on a calm day answers within it; a
/// repeat would wait behind what it repeats.
constexpr milliseconds commit_timeout{1500};
constexpr milliseconds least_timeout{50};
constexpr milliseconds retry_delay{100};

/// The store decided, one way or the other.
bool was_answered(change_result const& result)
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
    work_record const& record, milliseconds patience, callback done)
{
    this->queued.push_back({record.id, pack(record),
        this->loop.now() + patience, false, std::move(done)});
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
    std::vector<submission> left;
    for (submission& next : this->queued)
    {
        bool fits = this->in_flight.size() < max_batch &&
                    bytes + next.value.size() <= max_batch_bytes;
        // A repeat of a job of this batch waits for the next one.
        if (!fits || !included.insert(next.job).second)
        {
            left.push_back(std::move(next));
            continue;
        }
        record_key row = tables::job_row_key(this->part, next.job);
        bytes += next.value.size();
        change.checks.push_back({row, 0});
        change.writes.push_back({row, next.value});
        this->in_flight.push_back(std::move(next));
    }
    this->queued = std::move(left);
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
    // Nobody is told later than agreed that the outcome is unknown.
    milliseconds left = commit_timeout;
    for (submission const& one : this->in_flight)
    {
        left = std::min(left, std::chrono::duration_cast<milliseconds>(
                                  one.deadline - this->loop.now()));
    }
    return std::max(left, least_timeout);
}

void job_acceptor::probe()
{
    if (this->probing)
    {
        return;
    }
    this->probing = true;
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
    bool answered = was_answered(result);
    this->failures = answered ? 0 : this->failures + 1;
    std::vector<submission> batch = std::move(this->in_flight);
    this->in_flight.clear();
    this->complete_submissions(std::move(batch), result);
    if (answered)
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
    bool answered = was_answered(result);
    std::set<std::string> present;
    for (record const& row : result.current)
    {
        if (row.version > 0)
        {
            present.insert(row.at.key);
        }
    }
    time_point now = this->loop.now();
    std::vector<submission> again;
    for (submission& one : batch)
    {
        one.in_doubt =
            one.in_doubt || result.outcome == change_outcome::in_doubt;
        if (result.outcome == change_outcome::committed)
        {
            one.done({accept_outcome::stored, result.version});
        }
        else if (present.contains(one.job))
        {
            one.done({accept_outcome::stored, 0});
        }
        else if (now >= one.deadline && one.in_doubt)
        {
            this->remember_in_doubt(one.job);
            one.done({accept_outcome::unknown, 0});
        }
        else if (!answered && !one.in_doubt)
        {
            one.done({accept_outcome::not_stored, 0});
        }
        else
        {
            again.push_back(std::move(one));
        }
    }
    this->queued.insert(this->queued.begin(),
        std::make_move_iterator(again.begin()),
        std::make_move_iterator(again.end()));
}

void job_acceptor::remember_in_doubt(std::string const& job)
{
    // Callers come back within seconds; this many are minutes of an outage.
    constexpr std::size_t most = 20000;
    if (this->in_doubt_jobs.insert(job).second)
    {
        this->in_doubt_order.push_back(job);
    }
    if (this->in_doubt_order.size() > most)
    {
        this->in_doubt_jobs.erase(this->in_doubt_order.front());
        this->in_doubt_order.pop_front();
    }
}

void job_acceptor::reject_unsent()
{
    // The store is away: what was never sent can be told so at once.
    std::vector<submission> doubtful;
    std::vector<submission> unsent;
    for (submission& one : this->queued)
    {
        (one.in_doubt ? doubtful : unsent).push_back(std::move(one));
    }
    this->queued = std::move(doubtful);
    for (submission const& one : unsent)
    {
        one.done({accept_outcome::not_stored, 0});
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
