/// Makes a successor's journal stand by itself: copies into it what the
/// journals of those it succeeded still say, and only then deletes them.
///
/// Whoever succeeds the successor meanwhile finds both, and reads the older
/// first; whoever comes later finds the copy.
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

/// What was taken over at one succession.
struct transfer_request
{
    /// Fenced incarnations, whose fence rows go last.
    std::vector<std::string> fenced_incarnations;
    /// All incarnations whose jobs are answered for by it.
    std::vector<std::string> served_incarnations;
    /// Workers on which tasks were found.
    std::vector<journal_entry> worker_entries;
    std::vector<std::string> job_ids;
    /// Journal rows to delete.
    std::vector<std::string> rows;
};

/// See the head of this file.
class journal_transfer
{
public:
    journal_transfer(
        event_loop& loop, journal& log, journal_entry_source const& source);
    ~journal_transfer();

    void enqueue(transfer_request request);

private:
    /// A fence row and when it was no longer needed for reading.
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
