/// State of one takeover in progress: what has been learned so far from the
/// predecessor's rows and from its workers.
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

/// State of one takeover; see the description at the top of the file.
struct takeover
{
    /// The predecessor.
    std::string incarnation;
    /// The predecessor and, transitively, the incarnations that it had taken
    /// over.
    std::vector<std::string> chain;
    /// Number of journals of the chain that were read.
    std::size_t journals_read = 0;
    /// All incarnations whose jobs the predecessor was responsible for,
    /// including the chain.
    std::set<std::string> served;
    /// Keys of the journal rows that were read.
    std::vector<std::string> journal_rows;
    /// Entries for workers on which tasks were found.
    std::vector<journal_entry> workers_with_tasks;
    /// Owner rows are read per element of `acceptors()`, in ascending order;
    /// this is the last element whose rows were read.
    std::string last_acceptor_read;
    std::map<std::string, job_record> jobs;
    /// The live jobs that this takeover added to the successor. Only this
    /// takeover decides the state of those that no worker reports.
    std::set<std::string> to_decide;
    /// Worker to its incarnations on which starts were allowed.
    std::map<std::string, std::set<std::string>> worker_incarnations;
    /// Workers that have not answered the fence call yet.
    std::set<std::string> unfenced_workers;
    /// True if a job that no worker reports has certainly not been started.
    bool unreported_means_not_started = true;
    time_point began_at{};

    /// Applies the entries of one journal row; called in the order of the
    /// rows.
    void read_journal_row(table_row const& row);

    /// Applies an owner row, which names the current owner of a job that was
    /// handed over.
    void read_owner_row(table_row const& row);

    /// The incarnations that accepted its jobs.
    std::set<std::string> acceptors() const;

    /// Records that a worker has answered the fence call.
    void on_worker_fenced(
        std::string const& worker, follow_result const& result);

    std::vector<std::string> job_ids() const;

    /// Lists what is to be copied into the successor's journal.
    transfer_request make_transfer_request() const;

private:
    void apply(journal_entry const& entry);
    void apply_to_job(journal_entry const& entry);
    static void advance_attempt(job_record& job, journal_entry const& entry);
};

} // namespace toucanlever
