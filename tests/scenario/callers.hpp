/// The callers of a scenario and their own record of what they were told.
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

/// What one group of calls is like.
struct call_group
{
    std::string label;
    /// job | request
    std::string kind = "job";
    std::string token;
    int count = 1;
    int threads = 8;
    /// Further fields of the job.
    json job = json::object();
    std::string service = "booking";
    bool keyed = true;
    /// Calls again, elsewhere, while an answer says that it did not run, or
    /// is missing, for this long.
    int retry_timeout_ms = 30000;
    int call_timeout_ms = 8000;
    int run_ms = 20;
    /// Calls are begun at this rate whatever comes back; 0 for as fast as
    /// the threads can.
    double rate_per_s = 0.0;
    /// First gateway to call; others follow on a retry.
    std::string first_gateway;
};

/// One caller's wish and all that it was told.
struct call_record
{
    std::string label;
    std::string kind;
    /// Unique in the scenario; goes into the input or body.
    std::string mark;
    bool idempotent = true;
    bool keyed = true;
    int last_status = 0;
    /// no | yes | unknown, of the last answer.
    std::string ran;
    /// True when any answer was missing or said `unknown`.
    bool ever_unknown = false;
    std::string job_id;
    std::string state;
    std::string response;
    std::int64_t waited_ms = -1;
    int attempts = 0;
    /// From when the call was due to its last answer.
    double duration_ms = 0.0;
};

/// Makes calls and follows the jobs they made.
class callers
{
public:
    callers(cell& target, std::uint64_t seed);
    ~callers();

    /// Calls on threads of their own until all are answered.
    void run(call_group const& group);
    void run_in_background(call_group const& group);
    void join();

    /// Asks for every accepted job of the label until all have ended; false
    /// when some have not within `ms`.
    bool wait_for_jobs(std::string const& label, int ms);

    /// Cancels every accepted job of the label.
    void cancel(std::string const& label, std::string const& token);

    std::vector<call_record> records() const;

    /// Of the label: how many have each state or status.
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

/// The token of the example configurations' operator.
extern char const* const operator_token;

} // namespace scenario
