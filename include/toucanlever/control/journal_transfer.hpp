/// Makes a successor's journal self-contained: copies the live entries of its
/// predecessors' journals into it and then deletes those journals.
///
/// A scheduler that takes over from the successor during the copy finds all
/// journals and reads the oldest first; one that takes over later finds the
/// copy.
#pragma once

#include "toucanlever/control/journal.hpp"
#include "toucanlever/control/journal_compactor.hpp"
#include "toucanlever/core/event_loop.hpp"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace toucanlever
{

/// Journals, jobs and workers of one takeover.
struct transfer_request
{
    /// Fenced incarnations; their fence rows are deleted last.
    std::vector<std::string> fenced_incarnations;
    /// All incarnations whose jobs the successor is responsible for.
    std::vector<std::string> served_incarnations;
    /// Entries for workers on which tasks were found; `enqueue` adds one for
    /// each of `served_incarnations`.
    std::vector<journal_entry> worker_entries;
    std::vector<std::string> job_ids;
    /// Journal rows to delete.
    std::vector<std::string> rows;
};

/// Copies and deletes journals; see the description at the top of the file.
class journal_transfer
{
public:
    journal_transfer(
        event_loop& loop, journal& log, journal_entry_source const& source);
    ~journal_transfer();

    void enqueue(transfer_request request);

private:
    /// A fenced incarnation and the time when its journal was deleted.
    struct retired_row
    {
        std::string incarnation;
        time_point retired_at{};
    };

    void tick();
    void copy_entries(transfer_request& request);
    void erase_source_rows(transfer_request const& request);
    void erase_retired_rows();

    event_loop& loop;
    journal& log;
    journal_entry_source const& source;
    std::deque<transfer_request> pending;
    // Oldest first.
    std::deque<retired_row> retired;
    bool erasing = false;
    event_loop::timer_id timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
