#include "toucanlever/control/journal_compactor.hpp"

#include "toucanlever/core/metrics.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

constexpr milliseconds compaction_period{1000};
constexpr std::size_t rows_per_tick = 100;
// Compaction starts if the journal has more than 2 * live entries + this many
// entries, or more than live entries + this many rows.
constexpr std::size_t slack_entries = 128;
// A journal of at most this many rows is not compacted: it is not worth a
// transaction.
constexpr std::size_t slack_rows = 64;
// Live entries of a job: one for its acceptance and one for its end.
constexpr std::size_t entries_per_job = 2;
// Compaction pauses above this backlog: all other entries take precedence.
constexpr std::size_t max_backlog = 32;

std::string subject_of(journal_entry const& entry)
{
    return entry.event == journal_event::worker_seen
               ? "worker " + entry.worker + " " + entry.worker_incarnation
               : "incarnation " + entry.reason;
}

bool concerns_job(journal_entry const& entry)
{
    return entry.event != journal_event::worker_seen &&
           entry.event != journal_event::took_over;
}

} // namespace

journal_compactor::journal_compactor(
    event_loop& loop, journal& log, journal_entry_source const& source)
    : loop(loop)
    , log(log)
    , source(source)
{
    log.on_batch(
        [this](std::uint64_t number, std::vector<journal_entry> const& batch)
        { this->index_batch(number, batch); });
    this->timer = loop.every(compaction_period, [this] { this->tick(); });
}

journal_compactor::~journal_compactor()
{
    *this->alive = false;
    this->log.on_batch({});
    this->loop.cancel(this->timer);
}

void journal_compactor::index_batch(
    std::uint64_t number, std::vector<journal_entry> const& batch)
{
    indexed_row row;
    row.number = number;
    row.entry_count = batch.size();
    for (journal_entry const& entry : batch)
    {
        if (concerns_job(entry))
        {
            row.jobs.push_back(entry.job_id);
        }
        else
        {
            row.other_entries.push_back(entry);
            this->other_subjects.insert(subject_of(entry));
        }
    }
    std::sort(row.jobs.begin(), row.jobs.end());
    row.jobs.erase(
        std::unique(row.jobs.begin(), row.jobs.end()), row.jobs.end());
    this->entry_count += row.entry_count;
    this->newest_row = number;
    this->index.push_back(std::move(row));
}

bool journal_compactor::needs_compaction() const
{
    std::size_t live_entries = entries_per_job * this->source.job_count() +
                               this->other_subjects.size();
    return this->index.size() > slack_rows &&
           (this->entry_count > 2 * live_entries + slack_entries ||
               this->index.size() > live_entries + slack_entries);
}

void journal_compactor::tick()
{
    if (this->erasing || this->log.is_store_unresponsive() ||
        this->log.backlog() > max_backlog)
    {
        return;
    }
    std::vector<std::string> compacted_rows;
    while (compacted_rows.size() < rows_per_tick && this->needs_compaction())
    {
        indexed_row row = std::move(this->index.front());
        this->index.pop_front();
        this->entry_count -= row.entry_count;
        this->compact_row(row);
        compacted_rows.push_back(this->log.batch_row(row.number));
    }
    if (compacted_rows.empty())
    {
        return;
    }
    this->erasing = true;
    metrics().count("journal_rows_deleted",
        static_cast<std::int64_t>(compacted_rows.size()));
    auto still_alive = this->alive;
    this->log.erase_rows(compacted_rows,
        [this, still_alive](append_result const&)
        {
            if (*still_alive)
            {
                this->erasing = false;
            }
        });
}

void journal_compactor::compact_row(indexed_row const& row)
{
    for (std::string const& job : row.jobs)
    {
        auto summary = this->source.entries_of_job(job);
        if (summary.empty())
        {
            this->rewritten_through.erase(job);
            continue;
        }
        this->append_again(job, row.number, summary);
    }
    for (journal_entry const& entry : row.other_entries)
    {
        this->append_again(subject_of(entry), row.number, {entry});
    }
}

void journal_compactor::append_again(std::string const& subject,
    std::uint64_t row, std::vector<journal_entry> const& entries)
{
    auto found = this->rewritten_through.find(subject);
    if (found != this->rewritten_through.end() && row <= found->second)
    {
        return;
    }
    // The state in memory is at least as recent as every row that is durable
    // so far.
    this->rewritten_through[subject] = this->newest_row;
    for (journal_entry const& entry : entries)
    {
        this->log.append(entry, [](append_result const&) {});
    }
}

} // namespace toucanlever
