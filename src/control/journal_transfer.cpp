#include "toucanlever/control/journal_transfer.hpp"

#include "toucanlever/core/log.hpp"

namespace toucanlever
{
namespace
{

constexpr milliseconds transfer_period{200};
// Limits each copy, so that new jobs do not queue behind a whole journal.
constexpr std::size_t jobs_per_tick = 50;
// The copy pauses above this backlog: all other entries take precedence.
constexpr std::size_t max_backlog = 32;
// A fence row is retained this long after its journal is deleted: an
// incarnation that was paused while it inserted the row must still find it.
constexpr std::chrono::minutes fence_row_retention{60};

} // namespace

journal_transfer::journal_transfer(
    event_loop& loop, journal& log, journal_entry_source const& source)
    : loop(loop)
    , log(log)
    , source(source)
{
    this->timer = loop.every(transfer_period, [this] { this->tick(); });
}

journal_transfer::~journal_transfer()
{
    *this->alive = false;
    this->loop.cancel(this->timer);
}

void journal_transfer::enqueue(transfer_request request)
{
    for (std::string const& name : request.served_incarnations)
    {
        journal_entry entry;
        entry.event = journal_event::took_over;
        entry.reason = name;
        request.worker_entries.push_back(std::move(entry));
    }
    this->pending.push_back(std::move(request));
}

void journal_transfer::tick()
{
    bool busy = this->erasing || this->log.is_store_unresponsive() ||
                this->log.backlog() > max_backlog;
    if (busy)
    {
        return;
    }
    this->erase_retired_rows();
    if (this->pending.empty())
    {
        return;
    }
    transfer_request& request = this->pending.front();
    if (!request.worker_entries.empty() || !request.job_ids.empty())
    {
        this->copy_entries(request);
        return;
    }
    this->erase_source_rows(request);
}

void journal_transfer::copy_entries(transfer_request& request)
{
    auto ignore = [](append_result const&) {};
    for (journal_entry& entry : request.worker_entries)
    {
        this->log.append(std::move(entry), ignore);
    }
    request.worker_entries.clear();
    for (std::size_t i = 0; i < jobs_per_tick && !request.job_ids.empty(); ++i)
    {
        for (journal_entry& entry :
            this->source.entries_of_job(request.job_ids.back()))
        {
            this->log.append(std::move(entry), ignore);
        }
        request.job_ids.pop_back();
    }
}

void journal_transfer::erase_source_rows(transfer_request const& request)
{
    this->erasing = true;
    auto still_alive = this->alive;
    auto finish = [this, still_alive](append_result const&)
    {
        if (!*still_alive)
        {
            return;
        }
        this->erasing = false;
        for (std::string const& name :
            this->pending.front().fenced_incarnations)
        {
            log_line("journal-transferred").with("incarnation", name);
            this->retired.push_back(retired_row{name, this->loop.now()});
        }
        this->pending.pop_front();
    };
    if (request.rows.empty())
    {
        finish(append_result{});
        return;
    }
    this->log.erase_rows(request.rows, finish);
}

void journal_transfer::erase_retired_rows()
{
    std::vector<std::string> rows;
    while (!this->retired.empty() &&
           this->loop.now() - this->retired.front().retired_at >
               fence_row_retention)
    {
        std::string const& name = this->retired.front().incarnation;
        rows.push_back(journal::fence_row(name));
        rows.push_back(journal::heartbeat_row(name));
        this->retired.pop_front();
    }
    if (!rows.empty())
    {
        this->log.erase_rows(rows, [](append_result const&) {});
    }
}

} // namespace toucanlever
