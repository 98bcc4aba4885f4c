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
/// A removal that fails or stays in doubt is repeated, which does no harm.
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
    this->rows_by_job[job].own.push_back(row);
}

void row_cleaner::note_cancel_row(std::string const& job, record_key const& row)
{
    this->rows_by_job[job].cancels.push_back(row);
}

void row_cleaner::note_journal_row(
    std::string const& key, std::set<std::string> const& referenced_jobs)
{
    this->journal_references[key] = referenced_jobs.size();
    for (std::string const& job : referenced_jobs)
    {
        this->rows_by_job[job].journal_keys.push_back(key);
    }
}

void row_cleaner::forget(std::string const& job)
{
    if (this->rows_by_job.contains(job))
    {
        this->forgotten_jobs.push_back(job);
        this->schedule_cleaning();
    }
}

void row_cleaner::schedule_cleaning()
{
    if (this->scheduled || !this->removal_batch.empty())
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
                this->remove_next_batch();
            }
        });
}

void row_cleaner::remove_next_batch()
{
    if (this->unreferenced.empty())
    {
        this->select_job_row();
    }
    if (this->removal_batch.empty())
    {
        this->select_unreferenced_rows();
    }
    if (this->removal_batch.empty())
    {
        return;
    }
    record_change change;
    change.removals = this->removal_batch;
    this->store.commit(change, commit_timeout,
        [this, alive = this->alive](change_result const& result)
        {
            if (*alive)
            {
                this->handle_result(result);
            }
        });
}

void row_cleaner::select_unreferenced_rows()
{
    // A transaction may change rows of one part only.
    while (
        !this->unreferenced.empty() &&
        this->removal_batch.size() < max_removals &&
        (this->removal_batch.empty() || this->unreferenced.front().part ==
                                            this->removal_batch.front().part))
    {
        this->removal_batch.push_back(this->unreferenced.front());
        this->unreferenced.pop_front();
    }
}

void row_cleaner::select_job_row()
{
    while (!this->forgotten_jobs.empty() && this->removal_batch.empty())
    {
        job_rows& rows = this->rows_by_job.at(this->forgotten_jobs.front());
        if (rows.own.empty())
        {
            this->unreference_rows(rows);
            this->rows_by_job.erase(this->forgotten_jobs.front());
            this->forgotten_jobs.pop_front();
            continue;
        }
        this->removal_batch.push_back(rows.own.back());
        this->removing_job_row = true;
    }
}

void row_cleaner::handle_result(change_result const& result)
{
    std::vector<record_key> batch = std::move(this->removal_batch);
    this->removal_batch.clear();
    bool is_committed = result.outcome == change_outcome::committed;
    metrics().count("rows_removed",
        is_committed ? static_cast<std::int64_t>(batch.size()) : 0);
    bool is_job_row = std::exchange(this->removing_job_row, false);
    if (is_job_row && is_committed)
    {
        this->rows_by_job.at(this->forgotten_jobs.front()).own.pop_back();
    }
    else if (!is_job_row && !is_committed)
    {
        this->unreferenced.insert(
            this->unreferenced.end(), batch.begin(), batch.end());
    }
    if (!this->forgotten_jobs.empty() || !this->unreferenced.empty())
    {
        this->schedule_cleaning();
    }
}

void row_cleaner::unreference_rows(job_rows const& rows)
{
    this->unreferenced.insert(
        this->unreferenced.end(), rows.cancels.begin(), rows.cancels.end());
    for (std::string const& key : rows.journal_keys)
    {
        auto found = this->journal_references.find(key);
        if (found != this->journal_references.end() && --found->second == 0)
        {
            this->journal_references.erase(found);
            this->unreferenced.push_back(
                {tables::journal, tables::scheduler_part, key});
        }
    }
}

} // namespace toucanlever
