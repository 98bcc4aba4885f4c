#include "toucanlever/cell/row_cleaner.hpp"

#include "cell/cell_tables.hpp"

#include "toucanlever/core/metrics.hpp"

#include <utility>

namespace toucanlever
{
namespace
{

/// Removals in one transaction; the store accepts 100 entries.
constexpr std::size_t max_removals = 80;
constexpr milliseconds commit_timeout{1000};
/// Removal is never urgent; the pause leaves the store's rate to other work.
constexpr milliseconds removal_interval{100};

} // namespace

row_cleaner::row_cleaner(event_loop& loop, record_store& store)
    : loop(loop)
    , store(store)
{
}

row_cleaner::~row_cleaner()
{
    *this->alive = false;
}

void row_cleaner::note_job_row(std::string const& job, record_key const& row)
{
    this->jobs[job].own.push_back(row);
}

void row_cleaner::note_cancel_row(std::string const& job, record_key const& row)
{
    this->jobs[job].cancels.push_back(row);
}

void row_cleaner::note_journal_row(
    std::string const& key, std::set<std::string> const& referenced_jobs)
{
    this->journal_jobs[key] = referenced_jobs.size();
    for (std::string const& job : referenced_jobs)
    {
        this->jobs[job].journal.push_back(key);
    }
}

void row_cleaner::forget(std::string const& job)
{
    if (this->jobs.contains(job))
    {
        this->forgotten.push_back(job);
        this->clean_soon();
    }
}

void row_cleaner::clean_soon()
{
    if (this->scheduled || !this->removing.empty())
    {
        return;
    }
    this->scheduled = true;
    this->loop.after(removal_interval,
        [this, alive = this->alive]
        {
            if (*alive)
            {
                this->scheduled = false;
                this->clean();
            }
        });
}

void row_cleaner::clean()
{
    if (this->needless.empty())
    {
        this->clean_next_job();
    }
    if (this->removing.empty())
    {
        this->take_needless();
    }
    if (this->removing.empty())
    {
        return;
    }
    record_change change;
    change.removals = this->removing;
    this->store.commit(change, commit_timeout,
        [this, alive = this->alive](change_result const& result)
        {
            if (*alive)
            {
                this->take(result);
            }
        });
}

void row_cleaner::take_needless()
{
    // A transaction may change rows of one part only.
    while (!this->needless.empty() && this->removing.size() < max_removals &&
           (this->removing.empty() ||
               this->needless.front().part == this->removing.front().part))
    {
        this->removing.push_back(this->needless.front());
        this->needless.pop_front();
    }
}

void row_cleaner::clean_next_job()
{
    while (!this->forgotten.empty() && this->removing.empty())
    {
        job_rows& rows = this->jobs.at(this->forgotten.front());
        if (rows.own.empty())
        {
            this->release(rows);
            this->jobs.erase(this->forgotten.front());
            this->forgotten.pop_front();
            continue;
        }
        this->removing.push_back(rows.own.back());
        this->removing_own = true;
    }
}

void row_cleaner::take(change_result const& result)
{
    std::vector<record_key> batch = std::move(this->removing);
    this->removing.clear();
    bool is_committed = result.outcome == change_outcome::committed;
    metrics().count("rows_removed",
        is_committed ? static_cast<std::int64_t>(batch.size()) : 0);
    bool is_job_row = std::exchange(this->removing_own, false);
    if (is_job_row && is_committed)
    {
        this->jobs.at(this->forgotten.front()).own.pop_back();
    }
    else if (!is_job_row && !is_committed)
    {
        this->needless.insert(this->needless.end(), batch.begin(), batch.end());
    }
    if (!this->forgotten.empty() || !this->needless.empty())
    {
        this->clean_soon();
    }
}

void row_cleaner::release(job_rows const& rows)
{
    this->needless.insert(
        this->needless.end(), rows.cancels.begin(), rows.cancels.end());
    for (std::string const& key : rows.journal)
    {
        auto found = this->journal_jobs.find(key);
        if (found != this->journal_jobs.end() && --found->second == 0)
        {
            this->journal_jobs.erase(found);
            this->needless.push_back(
                {tables::journal, tables::scheduler_part, key});
        }
    }
}

} // namespace toucanlever
