/// Tells bad workers from bad jobs.
///
/// A worker whose last few starts all failed, for different jobs, is
/// suspected: it gets one task at a time as a probe until one succeeds.
/// Failures there do not count against the jobs.
#pragma once

#include <set>
#include <string>
#include <unordered_map>

namespace toucanlever
{

/// Counts outcomes per worker.
class worker_health
{
public:
    /// Failures of different jobs in a row that make a worker suspected.
    static constexpr std::size_t suspect_after = 3;

    /// Returns true when this failure counts against the job.
    bool record_failure(std::string const& worker, std::string const& job_id);

    /// Returns true when the worker was suspected until now.
    bool record_success(std::string const& worker);

    bool is_suspected(std::string const& worker) const;
    std::size_t suspected_count() const;

    void forget(std::string const& worker) { this->failed_jobs.erase(worker); }

private:
    // Jobs that failed on a worker since one last succeeded there.
    std::unordered_map<std::string, std::set<std::string>> failed_jobs;
};

} // namespace toucanlever
