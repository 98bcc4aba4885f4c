/// Runners of a service, as PROTOCOL.md describes them. A specification of
/// "ms=N" is a task that takes N milliseconds.
#pragma once

#include "http.hpp"
#include "record.hpp"
#include "store.hpp"

#include <condition_variable>
#include <optional>
#include <set>
#include <vector>

namespace review
{

/// A run as a runner carried it out.
struct run_record
{
    std::string task;
    std::int64_t run = 0;
    std::string worker;
    std::string specification;
    std::int64_t started_ms = 0;
    /// -1 while it runs.
    std::int64_t ended_ms = -1;
    std::string how;
    /// `AckedThrough` has reached its end, by a call that was sent after it.
    bool noted = false;
};

/// All runs of all runners.
class run_ledger
{
public:
    explicit run_ledger(recorder& record)
        : record(record)
    {
    }

    std::size_t begin(std::string const& task, std::int64_t run,
        std::string const& worker, std::string const& specification);
    void end(std::size_t index, std::string const& how);
    /// The end of the run was taken note of.
    void note(std::size_t index);
    std::vector<run_record> runs() const;
    /// The runs of a job's tasks.
    std::vector<run_record> runs_of(std::string const& job) const;

private:
    recorder& record;
    mutable std::mutex mutex;
    std::vector<run_record> all;
};

class worker
{
public:
    /// Decides about one start order before it is looked at.
    enum class start_treatment
    {
        usual,
        /// It is carried out, and its channel is reset without an answer.
        carry_out_and_reset,
        /// It is answered with 503, and nothing is done.
        refuse,
        /// It gets no answer, and is carried out by the boot that is up when
        /// `carry_out_late_orders` is called.
        carry_out_late
    };
    using start_hook = std::function<start_treatment(
        std::string const& task, std::int64_t run)>;

    worker(std::string id, std::string service, store& rows, run_ledger& ledger,
        recorder& record);
    ~worker();

    std::string const& id() const { return this->name; }
    void on_start(start_hook hook);

    /// Ends the process: all that runs ends, channels are reset.
    void crash();
    /// Starts it again under its id.
    void restart();
    bool is_up();
    /// While cut off, calls to it get no answer and are not carried out.
    void cut_off(bool on);
    /// Carries out at once the orders that it has left unanswered.
    void carry_out_late_orders();

private:
    struct active_run
    {
        std::int64_t run = 0;
        std::int64_t done_at = 0;
        std::size_t index = 0;
    };
    struct finished_run
    {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
        std::size_t index = 0;
    };

    response handle(request const& call);
    response start(json const& order);
    response carry_out(json const& order);
    response stop(json const& order);
    response hold(json const& order);
    response refuse(std::string const& reason) const;
    json with_clock(json body) const;
    std::int64_t clock() const { return now_ms() - this->booted_at; }
    bool obeys(json const& order);
    void extend(json const& order);
    void finish(std::string const& task, std::string const& how);
    void tick();
    void beat();
    void run_clockwork();

    std::string const name;
    std::string const service;
    int const port;
    store& rows;
    run_ledger& ledger;
    recorder& record;
    std::mutex mutex;
    std::condition_variable changed;
    bool up = false;
    bool is_cut_off = false;
    std::int64_t booted_at = 0;
    std::int64_t born = 0;
    std::int64_t sequence = 0;
    std::int64_t next_beat = 0;
    std::uint64_t fence = 0;
    std::int64_t deadline = 0;
    std::map<std::string, active_run> running;
    std::map<std::string, std::int64_t> barred;
    std::vector<finished_run> finished;
    std::int64_t last_number = 0;
    start_hook start_decision;
    std::vector<json> late_orders;
    std::atomic<bool> ending = false;
    std::unique_ptr<server> http;
    std::thread clockwork;
};

} // namespace review
