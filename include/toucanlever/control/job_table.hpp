/// The records of all jobs that a scheduler answers for, and when each may be
/// forgotten.
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

/// The journal's entry for a job's end.
journal_entry ended_entry(
    job_record const& job, job_state state, std::string const& reason);

/// The journal's entry for a job that another incarnation owns now.
journal_entry moved_entry(std::string const& job_id, std::string const& owner);

/// See the head of this file.
class job_table final : public journal_entry_source
{
public:
    /// Ended jobs are kept for `keep_ended`.
    job_table(clock const& time, std::chrono::seconds keep_ended);

    /// Null when there is none.
    job_record* find(std::string const& job_id);
    job_record const* find(std::string const& job_id) const;

    /// Adds an open job, or puts it in the place of what is known of it.
    job_record& insert(job_record job);

    /// A job that was found at a succession; `served_before` are this
    /// incarnation and those it had succeeded already. True when the record
    /// is the one that counts from now on, and open.
    bool adopt(job_record job, std::set<std::string> const& served_before);

    /// The job has ended or moved: it is not open any more.
    void close(job_record const& job);

    void forget_old();

    std::size_t open_count() const { return this->open_jobs; }
    std::int64_t open_count_of(std::string const& customer) const;
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
    // Jobs that are over here, in the order in which they ended or moved.
    std::deque<finished_job> ended_jobs;
    std::deque<finished_job> moved_jobs;
    // Invariant: the number of jobs that have neither ended nor moved.
    std::size_t open_jobs = 0;
    std::unordered_map<std::string, std::int64_t> open_by_customer;
};

} // namespace toucanlever
