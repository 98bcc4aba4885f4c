/// Stores submitted jobs: inserts each if absent, several in one transaction.
#pragma once

#include "toucanlever/cell/record_store.hpp"
#include "toucanlever/cell/work.hpp"
#include "toucanlever/core/event_loop.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace toucanlever
{

/// What became of a submission.
enum class accept_outcome
{
    /// The store holds the job, from now or from before.
    stored,
    /// It does not, and never will from this submission.
    not_stored,
    /// It may or may not.
    unknown
};

/// The outcome; `version` is set when this submission inserted the job.
struct accept_result
{
    accept_outcome outcome = accept_outcome::unknown;
    std::int64_t version = 0;
};

/// Writes to one part of the store, one transaction at a time: what arrives
/// meanwhile goes into the next, so a slow store gets fewer and larger ones.
class job_acceptor
{
public:
    using callback = std::function<void(accept_result)>;

    job_acceptor(event_loop& loop, record_store& store, std::string part);
    ~job_acceptor();

    /// One attempt, unless that leaves it in doubt: then until it is known
    /// or `patience` is over.
    void accept(
        work_record const& record, milliseconds patience, callback done);

    /// The last transaction was refused or got no answer.
    bool is_store_unavailable() const { return this->failures > 0; }

    /// An earlier submission of this job ended as unknown here, so nobody may
    /// say of it that it never runs.
    bool is_in_doubt(std::string const& job) const
    {
        return this->in_doubt_jobs.contains(job);
    }

    /// Finds out whether the store is back, unless that is under way.
    void probe();

private:
    struct submission
    {
        std::string job;
        std::string value;
        time_point deadline{};
        bool in_doubt = false;
        callback done;
    };

    void flush();
    milliseconds batch_timeout() const;
    void handle_result(change_result const& result);
    void complete_submissions(
        std::vector<submission> sent, change_result const& result);
    void reject_unsent();
    void remember_in_doubt(std::string const& job);
    void retry();

    event_loop& loop;
    record_store& store;
    std::string part;
    std::vector<submission> queued;
    // In the transaction that is under way.
    std::vector<submission> in_flight;
    // Jobs whose submission ended as unknown, and in the order of that.
    std::set<std::string> in_doubt_jobs;
    std::deque<std::string> in_doubt_order;
    bool retrying = false;
    bool probing = false;
    std::uint32_t failures = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
