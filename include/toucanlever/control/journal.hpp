/// Write-ahead journal of one scheduler incarnation: which jobs it accepted
/// and how they ended, appended in batches to the platform's table service.
///
/// Each batch is one transaction that checks the incarnation's fence row, so
/// a fenced incarnation cannot append anything. At most one batch is in flight
/// and it is retried until its outcome is known; entries become durable in the
/// order in which they were appended.
#pragma once

#include "toucanlever/core/event_loop.hpp"
#include "toucanlever/core/job.hpp"
#include "toucanlever/platform/table_service.hpp"
#include "toucanlever/wire/messages.hpp"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace toucanlever
{

enum class journal_event : std::uint8_t
{
    accepted,
    /// The attempt may start; attempts with lower numbers are over.
    attempt,
    ended,
    /// Tasks may be started on this worker incarnation from here on.
    worker_seen,
    /// Another incarnation owns the job from here on.
    moved,
    /// This incarnation is responsible for the jobs of another one, whose
    /// journal is deleted.
    took_over
};

template <>
struct enum_table<journal_event>
{
    static constexpr std::array rows{
        enum_name<journal_event>{journal_event::accepted, "accepted"},
        enum_name<journal_event>{journal_event::attempt, "attempt"},
        enum_name<journal_event>{journal_event::ended, "ended"},
        enum_name<journal_event>{journal_event::worker_seen, "worker-seen"},
        enum_name<journal_event>{journal_event::moved, "moved"},
        enum_name<journal_event>{journal_event::took_over, "succeeded"}};
};

inline void to_json(nlohmann::json& json, journal_event value)
{
    enum_to_json(json, value);
}

inline void from_json(nlohmann::json const& json, journal_event& value)
{
    enum_from_json(json, value);
}

/// One journal entry. The event determines which fields are used.
struct journal_entry
{
    journal_event event = journal_event::accepted;
    std::string job_id;
    job_spec spec;
    std::uint32_t attempt = 0;
    job_state state = job_state::queued;
    std::string worker;
    std::string worker_incarnation;
    /// Why the job ended; for `moved` the new owner, and for `took_over` the
    /// incarnation that was taken over.
    std::string reason;
    std::string result;
    /// Checkpoint from which the attempt resumes; used by `accepted` and
    /// `attempt`.
    std::string checkpoint;
    std::int64_t waited_ms = -1;
};

void to_json(nlohmann::json& json, journal_entry const& entry);
void from_json(nlohmann::json const& json, journal_entry& entry);

/// A compare-and-set on a row, as a condition for appending the entry that
/// carries it: the row must have this version. Version 0 claims a row that does
/// not exist. To claim a row that another claimant released, use the version of
/// the row after the release.
struct key_claim
{
    std::string row;
    std::int64_t version = 0;
    key_record record;
    /// The incarnation that transfers the row to the claimant. If set, the
    /// claim fails if that incarnation is fenced or released, which is checked
    /// by the version of its fence row.
    std::string previous_owner;
};

enum class append_outcome
{
    durable,
    /// The row of the claim has another version; nothing was appended.
    duplicate,
    /// The previous owner of the row is fenced or released; nothing was
    /// appended.
    previous_owner_fenced
};

struct append_result
{
    append_outcome outcome = append_outcome::durable;
    /// The row that caused a `duplicate`, with its version.
    key_record existing;
    std::int64_t existing_version = 0;
};

/// Batch limits, batch interval and retry delays of the journal.
struct journal_tuning
{
    std::size_t max_batch_entries = 100;
    std::size_t max_batch_bytes = 256U * 1024U;
    /// Minimum time between the starts of two batches.
    milliseconds min_batch_interval{10};
    milliseconds retry_min{50};
    milliseconds retry_max{2000};
};

/// Appends entries on behalf of one incarnation.
class journal
{
public:
    using callback = std::function<void(append_result const&)>;
    using batch_handler = std::function<void(
        std::uint64_t number, std::vector<journal_entry> const& entries)>;

    journal(event_loop& loop, table_service& table, std::string incarnation,
        std::int64_t fence_version, journal_tuning tuning,
        std::function<void()> on_fenced);
    ~journal();

    /// Calls `done` once the outcome is known; never calls it if this
    /// incarnation is fenced first.
    void append(journal_entry entry, callback done);
    void append_with_key(journal_entry entry, key_claim claim, callback done);

    /// Claims a row without appending an entry.
    void claim_key(key_claim claim, callback done);

    /// Deletes rows, after everything that was appended before is durable.
    void erase_rows(std::vector<std::string> const& rows, callback const& done);

    /// Sets the handler that receives each durable batch, before the callbacks
    /// of its entries run.
    void on_batch(batch_handler handler)
    {
        this->batch_callback = std::move(handler);
    }

    /// True if no entry is queued or in flight.
    bool is_idle() const { return this->queue.empty() && this->batch.empty(); }

    /// Limits the rate of transactions: all schedulers together must stay
    /// within the write limit of the table service.
    void set_min_batch_interval(milliseconds interval)
    {
        this->tuning.min_batch_interval = interval;
    }

    /// True while the last commit got no answer, or the table service answers
    /// no calls at all.
    bool is_store_unresponsive() const
    {
        return this->failures > 0 || this->table.is_silent();
    }
    /// Number of batches that are durable.
    std::uint64_t committed_batches() const { return this->next_batch - 1; }

    /// Number of items that are queued behind the batch in flight.
    std::size_t backlog() const { return this->queue.size(); }

    /// Keys of rows in the table service.
    static std::string row_prefix(std::string const& incarnation);
    std::string batch_row(std::uint64_t batch) const;
    static std::string fence_row(std::string const& incarnation);

    /// The row that an incarnation writes periodically as its heartbeat while
    /// it can reach the table service.
    static std::string heartbeat_row(std::string const& incarnation);

    static constexpr char const* fence_prefix = "scheduler/";
    static constexpr char const* heartbeat_prefix = "alive/";

private:
    struct item
    {
        bool has_entry = false;
        journal_entry entry;
        std::size_t bytes = 0;
        key_claim claim;
        std::vector<std::string> deletes;
        callback done;
    };

    void enqueue(item next);
    void schedule_batch();
    void begin_batch();
    void commit_batch();
    void on_commit_result(commit_result const& result);
    void on_conflict(table_row const& row);
    bool reject_claims_from(std::string const& row);
    void retry_remaining();
    void on_batch_committed();
    bool batch_has_claim(std::string const& row) const;
    void notify_batch_handler(std::vector<item> const& done) const;
    transaction build_transaction() const;

    event_loop& loop;
    table_service& table;
    std::string incarnation;
    std::int64_t fence_version;
    journal_tuning tuning;
    std::function<void()> on_fenced;
    batch_handler batch_callback;
    std::deque<item> queue;
    // The batch in flight. Invariant: empty if no batch is in flight.
    std::vector<item> batch;
    std::uint64_t next_batch = 1;
    time_point last_batch_begin{};
    int failures = 0;
    bool fenced = false;
    event_loop::timer_id timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

/// Key of the row that records the owner of a job that was handed over.
std::string owner_row(std::string const& job_id);

/// Key of the row that records a customer's idempotency key.
std::string key_row(std::string const& customer, std::string const& key);

} // namespace toucanlever
