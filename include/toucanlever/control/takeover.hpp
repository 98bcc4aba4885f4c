/// One succession on its way: what the predecessor's rows and its workers have
/// said so far.
#pragma once

#include "toucanlever/control/job_record.hpp"
#include "toucanlever/control/journal.hpp"
#include "toucanlever/control/journal_transfer.hpp"
#include "toucanlever/platform/table_service.hpp"
#include "toucanlever/platform/worker_service.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace toucanlever
{

/// See the head of this file.
struct takeover
{
    std::string incarnation;
    /// The incarnation and those it had succeeded itself.
    std::vector<std::string> chain;
    std::size_t journals_read = 0;
    /// All incarnations it answered for, the chain included.
    std::set<std::string> served;
    /// Its journal's rows.
    std::vector<std::string> journal_rows;
    /// Workers on which tasks of its jobs were found.
    std::vector<journal_entry> workers_with_tasks;
    /// The last accepting incarnation whose owner rows were read.
    std::string last_acceptor_read;
    std::map<std::string, job_record> jobs;
    /// Those of them that this takeover, and no other, has to decide: live
    /// ones that it brought here.
    std::set<std::string> to_decide;
    /// Worker to the incarnations on which starts were allowed.
    std::map<std::string, std::set<std::string>> worker_incarnations;
    /// Workers that have not answered the fence call.
    std::set<std::string> unfenced_workers;
    /// Whether a job that no worker reports has certainly not been started.
    bool unreported_means_not_started = true;
    time_point began_at{};

    /// Reads one row of a journal, in the order of the rows.
    void read_journal_row(table_row const& row);

    /// Owner rows say where jobs that were handed over are now.
    void read_owner_row(table_row const& row);

    /// The incarnations that accepted its jobs.
    std::set<std::string> acceptors() const;

    /// A worker has answered the fence call.
    void on_worker_fenced(
        std::string const& worker, follow_result const& result);

    std::vector<std::string> job_ids() const;

    /// What is to be copied into the successor's journal.
    transfer_request make_transfer_request() const;

private:
    void apply(journal_entry const& entry);
    void apply_to_job(journal_entry const& entry);
    static void advance_attempt(job_record& job, journal_entry const& entry);
};

} // namespace toucanlever
