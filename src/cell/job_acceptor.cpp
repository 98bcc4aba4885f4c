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
constexpr milliseconds commit_timeout{900};
constexpr milliseconds retry_delay{100};

} // namespace

job_acceptor::job_acceptor(event_loop& loop, record_store& store)
    : loop(loop)
    , store(store)
{
}

job_acceptor::~job_acceptor()
{
    *this->alive = false;
}

void job_acceptor::accept(
    work_record const& record, milliseconds patience, callback done)
{
    std::string part = tables::part_of_job(record.id);
    this->lanes[part].waiting.push_back({record.id, pack(record),
        this->loop.now() + patience, false, std::move(done)});
    this->flush(part);
}

void job_acceptor::flush(std::string const& part)
{
    lane& current = this->lanes[part];
    if (!current.sent.empty() || current.waiting.empty() || current.retrying)
    {
        return;
    }
    record_change change;
    std::size_t bytes = 0;
    std::set<std::string> included;
    std::vector<submission> left;
    for (submission& next : current.waiting)
    {
        bool fits = current.sent.size() < max_batch &&
                    bytes + next.value.size() <= max_batch_bytes;
        // A repeat of a job of this batch waits for the next one.
        if (!fits || !included.insert(next.job).second)
        {
            left.push_back(std::move(next));
            continue;
        }
        bytes += next.value.size();
        change.checks.push_back({tables::job_row(next.job), 0});
        change.writes.push_back({tables::job_row(next.job), next.value});
        current.sent.push_back(std::move(next));
    }
    current.waiting = std::move(left);
    this->store.commit(change, commit_timeout,
        [this, part, alive = this->alive](change_result const& result)
        {
            if (*alive)
            {
                this->take(part, result);
            }
        });
}

void job_acceptor::take(std::string const& part, change_result const& result)
{
    lane& current = this->lanes[part];
    std::vector<submission> sent = std::move(current.sent);
    current.sent.clear();
    bool answered = result.outcome == change_outcome::committed ||
                    result.outcome == change_outcome::conflict;
    this->failures = answered ? 0 : this->failures + 1;
    if (result.outcome == change_outcome::committed)
    {
        metrics().count("accept_batches");
        for (submission const& one : sent)
        {
            one.done({accept_outcome::stored, result.version});
        }
        this->flush(part);
        return;
    }
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
    for (submission& one : sent)
    {
        one.in_doubt =
            one.in_doubt || result.outcome == change_outcome::in_doubt;
        if (present.contains(one.job))
        {
            one.done({accept_outcome::stored, 0});
        }
        else if (now >= one.give_up)
        {
            one.done({one.in_doubt ? accept_outcome::unknown
                                   : accept_outcome::not_stored,
                0});
        }
        else
        {
            again.push_back(std::move(one));
        }
    }
    current.waiting.insert(current.waiting.begin(),
        std::make_move_iterator(again.begin()),
        std::make_move_iterator(again.end()));
    if (answered)
    {
        this->flush(part);
        return;
    }
    this->retry(part);
}

void job_acceptor::retry(std::string const& part)
{
    this->lanes[part].retrying = true;
    this->loop.after(retry_delay,
        [this, part, alive = this->alive]
        {
            if (*alive)
            {
                this->lanes[part].retrying = false;
                this->flush(part);
            }
        });
}

} // namespace toucanlever
