/// The records of all jobs that a scheduler is responsible for, and their
/// retention.
#pragma once

#include "toucanlever/control/job_record.hpp"
#include "toucanlever/control/journal_compactor.hpp"
#include "toucanlever/core/clock.hpp"

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace toucanlever
{

/// The journal entry for a job's completion.
journal_entry ended_entry(
    job_record const& job, job_state state, std::string const& reason);

/// The journal entry for a job that another incarnation now owns.
journal_entry moved_entry(std::string const& job_id, std::string const& owner);

/// Counts the open jobs and drops old records of those that are over.
class job_table final : public journal_entry_source
{
public:
    /// Ended jobs are kept for `ended_retention`.
    job_table(clock const& time, std::chrono::seconds ended_retention);

    /// Null when the job is unknown.
    job_record* find(std::string const& job_id);
    job_record const* find(std::string const& job_id) const;

    /// Adds an open job. Replaces a record of the same job; the caller has
    /// already removed that record from the count of open jobs.
    job_record& insert(job_record job);

    /// Adds a job found at a succession. `served_before` are this incarnation
    /// and those it had already succeeded. Returns true when this record is
    /// now the valid one and the job is open.
    bool adopt(job_record job, std::set<std::string> const& served_before);

    /// Counts the job, which has ended or moved, as no longer open and starts
    /// its retention period.
    void close(job_record const& job);

    /// Drops records whose retention period is over.
    void forget_old();

    std::size_t open_count() const { return this->open_jobs; }
    std::int64_t open_count_of(std::string const& customer) const;
    /// At most `limit` jobs, in no particular order.
    std::vector<job_view> list(std::size_t limit) const;

    std::vector<journal_entry> entries_of_job(
        std::string const& job_id) const override;
    std::size_t job_count() const override { return this->jobs.size(); }

private:
    struct finished_job
    {
        time_point finished_at{};
        std::string id;
    };

    void forget(std::deque<finished_job>& finished, std::chrono::seconds keep);
    void count_open(job_record const& job, int change);

    clock const& time;
    std::chrono::seconds ended_retention;
    std::unordered_map<std::string, job_record> jobs;
    // Jobs that are over here, oldest first.
    std::deque<finished_job> ended_jobs;
    std::deque<finished_job> moved_jobs;
    // Invariant: the number of jobs that have neither ended nor moved.
    std::size_t open_jobs = 0;
    std::unordered_map<std::string, std::int64_t> open_by_customer;
};

} // namespace toucanlever
