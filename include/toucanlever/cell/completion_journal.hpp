/// Records the outcomes of runs in the store, in batches. Each transaction
/// checks the leader row, so a scheduler that was replaced can no longer write.
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

/// Proves that an instance is the active scheduler: the version of the leader
/// row that it wrote.
struct leader_proof
{
    std::uint64_t fencing_token = 0;
    std::int64_t row_version = 0;
};

/// The leader's heartbeat. Any transaction that checks the leader row may carry
/// it: a slow store runs the transactions one after the other, and a separate
/// heartbeat would wait behind them.
class leader_heartbeat
{
public:
    virtual ~leader_heartbeat() = default;

    /// To be called when a transaction that checks the leader row is sent.
    /// Returns the heartbeat row to add to it when one is due. A call of
    /// `end_transaction` must follow.
    virtual std::optional<record_write> begin_transaction() = 0;

    /// To be called when the transaction that was sent at `sent_at` has ended.
    virtual void end_transaction(time_point sent_at, bool committed) = 0;
};

/// The completion journal of one term of the active scheduler.
class completion_journal
{
public:
    /// Called for each row that was written, with the jobs of its entries.
    using row_listener = std::function<void(
        std::string const& key, std::set<std::string> const& jobs)>;

    /// `on_replaced` is called when a write is rejected because the leader row
    /// has changed. The journal writes nothing after that; entries that are not
    /// durable yet are never confirmed.
    completion_journal(event_loop& loop, record_store& store,
        leader_proof proof, leader_heartbeat& heartbeat,
        std::function<void()> on_replaced, row_listener on_row);
    ~completion_journal();

    /// Queues an entry; `done` is called once it is durable.
    void append(run_completion entry, std::function<void()> done);

    /// Number of entries that are not durable yet.
    std::size_t backlog() const
    {
        return this->queued.size() + this->in_flight.size();
    }

    /// Decodes the entries of one journal row; throws `error` when they are
    /// unreadable.
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
    // Entries of the transaction that is in flight or in doubt.
    std::vector<pending_entry> in_flight;
    std::uint64_t sequence = 0;
    event_loop::timer_id timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
