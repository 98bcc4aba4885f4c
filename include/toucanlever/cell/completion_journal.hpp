/// Records how runs ended, in batches, under the active scheduler's own row:
/// a scheduler that was replaced records nothing more.
#pragma once

#include "toucanlever/cell/record_store.hpp"
#include "toucanlever/cell/work.hpp"
#include "toucanlever/core/event_loop.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace toucanlever
{

/// A run of a task that succeeded or failed.
struct run_completion
{
    task_id task;
    std::uint64_t run = 0;
    run_outcome outcome = run_outcome::failed;

    MSGPACK_DEFINE(task, run, outcome)
};

/// Proof of being the active scheduler: the version of its row.
struct leader_proof
{
    std::uint64_t fencing_token = 0;
    std::int64_t row_version = 0;
};

/// The holder's sign of life, which any of its transactions may carry: each of
/// them checks its row, and a slow store makes them one after the other.
class leader_heartbeat
{
public:
    virtual ~leader_heartbeat() = default;

    /// A transaction under the holder's row is sent now; the beat to write
    /// along when one is due. `settle` follows.
    virtual std::optional<record_write> begin_transaction() = 0;

    /// A transaction that was sent at `sent_at` has ended.
    virtual void end_transaction(time_point sent_at, bool committed) = 0;
};

/// The journal of one term of the active scheduler.
class completion_journal
{
public:
    /// Told of each row that was written and the jobs that it speaks of.
    using row_listener = std::function<void(
        std::string const& key, std::set<std::string> const& jobs)>;

    completion_journal(event_loop& loop, record_store& store,
        leader_proof proof, leader_heartbeat& beat,
        std::function<void()> on_replaced, row_listener on_row);
    ~completion_journal();

    /// `done` is called once the entry is durable.
    void append(run_completion entry, std::function<void()> done);

    /// Entries that are not durable yet.
    std::size_t backlog() const
    {
        return this->queued.size() + this->in_flight.size();
    }

    /// The entries of one row of the journal.
    static std::vector<run_completion> decode(std::string const& value);

private:
    struct pending_entry
    {
        run_completion entry;
        std::function<void()> done;
    };

    void schedule_flush(microseconds delay);
    void flush();
    void send();
    void handle_result(change_result const& result);
    bool is_written(change_result const& result) const;
    record_key batch_row() const;

    event_loop& loop;
    record_store& store;
    leader_proof proof;
    leader_heartbeat& heartbeat;
    std::function<void()> on_replaced;
    row_listener on_row_written;
    std::vector<pending_entry> queued;
    // In the transaction that is under way or in doubt.
    std::vector<pending_entry> in_flight;
    std::uint64_t sequence = 0;
    event_loop::timer_id timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
