/// The durable record of one scheduler incarnation: what it accepted and how
/// it ended, appended in batches to the platform's table service.
///
/// Each batch is one transaction that checks the incarnation's fence row, so
/// a fenced incarnation can append nothing more. One batch is on its way at a
/// time and is repeated until its outcome is certain; entries are durable in
/// the order in which they were appended.
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

/// What an entry records.
enum class journal_event : std::uint8_t
{
    accepted,
    /// A further attempt may start; lower ones are over.
    attempt,
    ended,
    /// Tasks may be started on this worker incarnation from now on.
    worker_seen,
    /// Another incarnation owns the job now.
    moved,
    /// This incarnation answers for the jobs of another, whose journal is
    /// deleted.
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

/// One fact. Which fields count depends on the event.
struct journal_entry
{
    journal_event event = journal_event::accepted;
    std::string job_id;
    job_spec spec;
    std::uint32_t attempt = 0;
    job_state state = job_state::queued;
    std::string worker;
    std::string worker_incarnation;
    std::string reason;
    std::string result;
    /// Where the attempt goes on from; of accepted jobs and attempts.
    std::string checkpoint;
    std::int64_t waited_ms = -1;
};

void to_json(nlohmann::json& json, journal_entry const& entry);
void from_json(nlohmann::json const& json, journal_entry& entry);

/// A key that must be free for its entry to be appended, or, for one that a
/// claimant gave back, at the version at which it was given back.
struct key_claim
{
    std::string row;
    std::int64_t version = 0;
    key_record record;
    /// Incarnation that must not have been succeeded either, when set: the
    /// one that gives the row away.
    std::string previous_owner;
};

/// How an append ended.
enum class append_outcome
{
    durable,
    /// The key was taken; nothing was appended.
    duplicate,
    /// The giver of the claim was succeeded; nothing was appended.
    previous_owner_fenced
};

struct append_result
{
    append_outcome outcome = append_outcome::durable;
    key_record existing;
    std::int64_t existing_version = 0;
};

/// Limits and pace of the journal.
struct journal_tuning
{
    std::size_t max_batch_entries = 100;
    std::size_t max_batch_bytes = 256U * 1024U;
    /// Under load one transaction is begun at most this often.
    milliseconds min_batch_interval{10};
    milliseconds retry_min{50};
    milliseconds retry_max{2000};
};

/// Appends on behalf of one incarnation.
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

    /// `done` is called when the entry's fate is certain, never when this
    /// incarnation is fenced first.
    void append(journal_entry entry, callback done);
    void append_with_key(journal_entry entry, key_claim claim, callback done);

    /// Takes a key without an entry.
    void claim_key(key_claim claim, callback done);

    /// Deletes rows, no sooner than all that was appended before is durable.
    void erase_rows(std::vector<std::string> const& rows, callback const& done);

    /// Called with each batch that became durable, before its callbacks.
    void on_batch(batch_handler handler)
    {
        this->batch_callback = std::move(handler);
    }

    /// True when nothing waits and nothing is on its way.
    bool is_idle() const { return this->queue.empty() && this->batch.empty(); }

    /// Paces the transactions: all schedulers together must stay within what
    /// the table service takes.
    void set_min_batch_interval(milliseconds interval)
    {
        this->tuning.min_batch_interval = interval;
    }

    /// True while the last attempt was not answered, or no call to the table
    /// service is.
    bool is_store_unresponsive() const
    {
        return this->failures > 0 || this->table.is_silent();
    }
    std::uint64_t committed_batches() const { return this->next_batch - 1; }

    /// Items that wait for the batch on its way.
    std::size_t backlog() const { return this->queue.size(); }

    static std::string row_prefix(std::string const& incarnation);
    std::string batch_row(std::uint64_t batch) const;
    static std::string fence_row(std::string const& incarnation);

    /// The row that an incarnation touches while it reaches the table service.
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
    // Invariant: the items of the batch on its way, empty when there is none.
    std::vector<item> batch;
    std::uint64_t next_batch = 1;
    time_point last_batch_begin{};
    int failures = 0;
    bool fenced = false;
    event_loop::timer_id timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

/// Row that says who owns a job that was handed over.
std::string owner_row(std::string const& job_id);

/// Row of a caller's key.
std::string key_row(std::string const& customer, std::string const& key);

} // namespace toucanlever
