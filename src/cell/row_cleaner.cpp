#include "toucanlever/cell/row_cleaner.hpp"

#include "cell/cell_tables.hpp"

#include "toucanlever/core/log.hpp"
#include "toucanlever/core/metrics.hpp"

#include <algorithm>
#include <utility>

namespace toucanlever
{
namespace
{

/// Removals in one transaction; the store accepts 100 entries.
constexpr std::size_t max_removals = 80;
/// Bounds the work for one transaction when very many jobs wait.
constexpr std::size_t max_jobs_considered = 1000;
/// May be short: a removal that fails or ends in doubt is repeated, and a
/// repeated removal has no effect.
constexpr milliseconds commit_timeout{1000};
/// Removal is never urgent; the delay leaves the store's call rate to other
/// work.
constexpr milliseconds removal_interval{250};
/// While more rows wait than one transaction removes, so that they do not pile
/// up however fast jobs end.
constexpr milliseconds backlog_interval{100};

void add_row(std::vector<record_key>& rows, record_key const& row)
{
    if (std::find(rows.begin(), rows.end(), row) == rows.end())
    {
        rows.push_back(row);
    }
}

} // namespace

row_cleaner::row_cleaner(event_loop& loop, record_store& store,
    leader_proof proof, std::function<void()> on_replaced)
    : loop(loop)
    , store(store)
    , proof(proof)
    , on_replaced(std::move(on_replaced))
{
}

row_cleaner::~row_cleaner()
{
    *this->alive = false;
}

void row_cleaner::note_job_row(std::string const& job, record_key const& row)
{
    add_row(this->rows_by_job[job].own, row);
    if (this->is_forgotten(job))
    {
        this->enqueue(job);
    }
}

void row_cleaner::note_cancel_row(std::string const& job, record_key const& row)
{
    add_row(this->rows_by_job[job].cancels, row);
    if (this->is_forgotten(job))
    {
        this->enqueue(job);
    }
}

void row_cleaner::note_journal_row(
    std::string const& key, std::set<std::string> const& referenced_jobs)
{
    this->journal_references[key] = referenced_jobs.size();
    for (std::string const& job : referenced_jobs)
    {
        this->rows_by_job[job].journal_keys.push_back(key);
        if (this->is_forgotten(job))
        {
            this->enqueue(job);
        }
    }
}

void row_cleaner::forget(std::string const& job)
{
    // Also a job whose rows have not been read yet.
    this->forgotten.insert(job);
    if (this->rows_by_job.contains(job))
    {
        this->enqueue(job);
    }
}

void row_cleaner::enqueue(std::string const& job)
{
    if (!std::exchange(this->rows_by_job.at(job).pending, true))
    {
        this->pending_jobs.push_back(job);
    }
    this->schedule_cleaning();
}

void row_cleaner::note_jobs_read(std::int64_t version)
{
    auto end = this->removed_jobs.upper_bound(version);
    for (auto each = this->removed_jobs.begin(); each != end; ++each)
    {
        // A job that has further rows is still pending.
        if (!this->rows_by_job.contains(each->second))
        {
            this->forgotten.erase(each->second);
        }
    }
    this->removed_jobs.erase(this->removed_jobs.begin(), end);
}

void row_cleaner::schedule_cleaning()
{
    if (this->scheduled || this->in_flight || this->replaced)
    {
        return;
    }
    this->scheduled = true;
    std::size_t waiting = this->pending_jobs.size() + this->unreferenced.size();
    this->loop.after(
        waiting > max_removals ? backlog_interval : removal_interval,
        [this, alive = this->alive]
        {
            if (*alive)
            {
                this->scheduled = false;
                this->remove_next_batch();
            }
        });
}

std::vector<row_cleaner::removal> row_cleaner::select_batch() const
{
    // A transaction changes rows of one part: the part with the most rows.
    std::map<std::string, std::vector<removal>> by_part;
    std::size_t const considered =
        std::min(this->pending_jobs.size(), max_jobs_considered);
    for (std::size_t i = 0; i < considered; ++i)
    {
        std::string const& job = this->pending_jobs[i];
        // The cancellation only after the removal of the own rows.
        job_rows const& rows = this->rows_by_job.at(job);
        for (record_key const& row : rows.own.empty() ? rows.cancels : rows.own)
        {
            by_part[row.part].push_back({job, row});
        }
    }
    for (record_key const& row : this->unreferenced)
    {
        by_part[row.part].push_back({{}, row});
    }
    auto largest = std::max_element(by_part.begin(), by_part.end(),
        [](auto const& left, auto const& right)
        { return left.second.size() < right.second.size(); });
    if (largest == by_part.end())
    {
        return {};
    }
    std::vector<removal> batch = std::move(largest->second);
    batch.resize(std::min(batch.size(), max_removals));
    return batch;
}

void row_cleaner::remove_next_batch()
{
    // Jobs without rows of their own, which an earlier scheduler removed.
    this->complete_jobs(0);
    std::vector<removal> batch = this->select_batch();
    if (batch.empty())
    {
        return;
    }
    record_change change;
    if (batch.front().row.part == tables::scheduler_part)
    {
        change.checks = {{tables::leader_row_key(), this->proof.row_version}};
    }
    for (removal const& each : batch)
    {
        change.removals.push_back(each.row);
    }
    this->in_flight = true;
    this->store.commit(change, commit_timeout,
        [this, batch = std::move(batch), alive = this->alive](
            change_result const& result)
        {
            if (*alive)
            {
                this->in_flight = false;
                this->handle_result(batch, result);
            }
        });
}

void row_cleaner::handle_result(
    std::vector<removal> const& batch, change_result const& result)
{
    if (result.outcome == change_outcome::conflict)
    {
        log_line("row-removal-refused")
            .with("fence", this->proof.fencing_token)
            .with("reason",
                "the leader row has changed; this scheduler removes no rows");
        this->replaced = true;
        this->on_replaced();
        return;
    }
    if (result.outcome == change_outcome::committed)
    {
        metrics().count(
            "rows_removed", static_cast<std::int64_t>(batch.size()));
        for (removal const& each : batch)
        {
            if (each.job.empty())
            {
                std::erase(this->unreferenced, each.row);
                continue;
            }
            job_rows& rows = this->rows_by_job.at(each.job);
            std::erase(rows.own, each.row);
            std::erase(rows.cancels, each.row);
        }
        this->complete_jobs(result.version);
    }
    if (!this->pending_jobs.empty() || !this->unreferenced.empty())
    {
        this->schedule_cleaning();
    }
}

void row_cleaner::complete_jobs(std::int64_t version)
{
    std::deque<std::string> remaining;
    for (std::string& job : this->pending_jobs)
    {
        auto rows = this->rows_by_job.find(job);
        if (!rows->second.own.empty() || !rows->second.cancels.empty())
        {
            remaining.push_back(std::move(job));
            continue;
        }
        this->unreference_journal(rows->second);
        this->rows_by_job.erase(rows);
        this->removed_jobs.emplace(version, std::move(job));
    }
    this->pending_jobs = std::move(remaining);
}

void row_cleaner::unreference_journal(job_rows const& rows)
{
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
