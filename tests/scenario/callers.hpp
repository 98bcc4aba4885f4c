/// The callers of a scenario, with a record of every answer they received.
#pragma once

#include "cell.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace scenario
{

/// Parameters of one group of calls.
struct call_group
{
    std::string label;
    /// "job" or "request".
    std::string kind = "job";
    std::string token;
    int count = 1;
    int threads = 8;
    /// Additional fields of the submitted job.
    json job = json::object();
    std::string service = "booking";
    /// Sends an idempotency key with each call.
    bool keyed = true;
    /// For how long a failed or unanswered call is retried through other
    /// gateways. Without an idempotency key a call is retried only if it did
    /// not run.
    int retry_timeout_ms = 30000;
    int call_timeout_ms = 8000;
    /// Run time of a request on its runner; not used for jobs.
    int run_ms = 20;
    /// Calls are started at this rate, independently of the answers; 0 for as
    /// fast as the threads allow.
    double rate_per_s = 0.0;
    /// Gateway process of the first attempt; retries rotate through all
    /// gateways. Empty to rotate from the first attempt on.
    std::string first_gateway;
};

/// One call and the answers that its caller received.
struct call_record
{
    std::string label;
    std::string kind;
    /// Unique in the scenario; sent in the input of the job or the body of the
    /// request to find it in the ledgers.
    std::string mark;
    bool idempotent = true;
    bool keyed = true;
    int last_status = 0;
    /// Whether the call ran, by the last answer: "no", "yes" or "unknown".
    std::string ran;
    /// True when any attempt had no answer or the answer "unknown".
    bool ever_unknown = false;
    std::string job_id;
    std::string state;
    std::string response;
    /// Queueing time of the job as last reported; -1 when unknown.
    std::int64_t waited_ms = -1;
    int attempts = 0;
    /// From the scheduled start of the call to its last answer.
    double duration_ms = 0.0;
};

/// Makes calls and waits for the jobs they created.
class callers
{
public:
    callers(cell& target, std::uint64_t seed);
    ~callers();

    /// Makes all calls of the group on several threads and returns when all
    /// are done.
    void run(call_group const& group);
    void run_in_background(call_group const& group);
    void join();

    /// Polls every accepted job with this label until all have ended; false
    /// when some have not ended within `ms`. An empty label means all jobs.
    bool wait_for_jobs(std::string const& label, int ms);

    /// Cancels every accepted job with this label.
    void cancel(std::string const& label, std::string const& token);

    std::vector<call_record> records() const;

    /// Counts the calls with this label. Keys: each job state, "status-N" for
    /// HTTP status N, "within-4800" for jobs that waited for at most 4800 ms,
    /// and "all".
    std::map<std::string, int> count_outcomes(std::string const& label) const;

private:
    call_record record(std::size_t index) const;
    void make_call(call_group const& group, std::size_t index,
        std::chrono::steady_clock::time_point begin);
    void store_record(std::size_t index, call_record const& record);
    std::size_t add_record(call_group const& group);
    std::string gateway_for(
        call_group const& group, int attempt, std::size_t index) const;
    void submit(call_group const& group, call_record& record,
        std::string const& gateway);
    void request(call_group const& group, call_record& record,
        std::string const& gateway);
    void run_parallel(std::vector<std::size_t> const& indexes, int threads,
        std::function<void(std::size_t)> const& work);

    cell& target;
    std::uint64_t seed;
    mutable std::mutex mutex;
    std::vector<call_record> call_records;
    std::vector<std::thread> background_threads;
};

/// Operator token of the example configurations.
extern char const* const operator_token;

} // namespace scenario
