/// Stores submitted jobs: inserts each job if absent, several jobs in one
/// transaction.
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

/// Outcome of a submission.
enum class accept_outcome
{
    /// The store holds the job, from this submission or an earlier one.
    stored,
    /// This submission did not store the job and never will.
    not_stored,
    /// This submission may or may not have stored the job, or may do so later.
    unknown
};

/// The outcome. `version` is that of the transaction that inserted the job, or
/// 0 when no such transaction was confirmed.
struct accept_result
{
    accept_outcome outcome = accept_outcome::unknown;
    std::int64_t version = 0;
};

/// Writes to one part of the store, one transaction at a time. Jobs that arrive
/// during a transaction go into the next one, so a slow store gets fewer and
/// larger transactions.
class job_acceptor
{
public:
    using callback = std::function<void(accept_result)>;

    job_acceptor(event_loop& loop, record_store& store, std::string part);
    ~job_acceptor();

    /// Tries to store the job; `done` gets the outcome. An attempt that the
    /// store rejects is not repeated. An attempt in doubt is repeated until the
    /// outcome is known or `timeout` has passed. An attempt that failed only
    /// because the store holds another job of the same transaction is repeated
    /// too.
    void accept(work_record const& record, milliseconds timeout, callback done);

    /// True when the last transaction was refused or got no answer, and no
    /// probe has been answered since.
    bool is_store_unavailable() const { return this->failures > 0; }

    /// True when an earlier submission of this job ended as unknown on this
    /// instance. No caller may then be told that the job never runs.
    bool is_in_doubt(std::string const& job) const
    {
        return this->in_doubt_jobs.contains(job);
    }

    /// Notes that a submission of this job ended as unknown; the oldest notes
    /// are dropped when there are very many.
    void remember_in_doubt(std::string const& job);

    /// Checks by a read whether the store has recovered; does nothing while
    /// such a read is in flight or has only just ended.
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
        std::vector<submission> batch, change_result const& result);
    void reject_unsent();
    void retry();

    event_loop& loop;
    record_store& store;
    std::string part;
    std::vector<submission> queued;
    // Submissions of the transaction that is in flight.
    std::vector<submission> in_flight;
    // Jobs with a submission that ended as unknown; `in_doubt_order` has them
    // oldest first.
    std::set<std::string> in_doubt_jobs;
    std::deque<std::string> in_doubt_order;
    bool retrying = false;
    bool probing = false;
    std::uint32_t failures = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
