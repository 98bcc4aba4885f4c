/// Distinguishes faulty workers from faulty jobs.
///
/// A worker on which several different jobs failed and none succeeded since
/// is suspected: it gets one task at a time as a probe until one succeeds.
/// Failures on a suspected worker do not count against the jobs.
#pragma once

#include <set>
#include <string>
#include <unordered_map>

namespace toucanlever
{

/// Counts failures per worker since its last success.
class worker_health
{
public:
    /// Consecutive failures, of different jobs, that make a worker suspected.
    static constexpr std::size_t suspect_after = 3;

    /// Records a failure; returns true when it counts against the job.
    bool record_failure(std::string const& worker, std::string const& job_id);

    /// Records a success; returns true when the worker was suspected.
    bool record_success(std::string const& worker);

    bool is_suspected(std::string const& worker) const;
    std::size_t suspected_count() const;

    void forget(std::string const& worker) { this->failed_jobs.erase(worker); }

private:
    // Jobs that failed on each worker since the last success there.
    std::unordered_map<std::string, std::set<std::string>> failed_jobs;
};

} // namespace toucanlever
