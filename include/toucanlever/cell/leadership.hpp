/// Leader election: decides which entry instance of the cell is its active
/// scheduler.
///
/// One row of the store names the leader and its fencing token; an instance
/// becomes leader by compare-and-set of this row. The leader writes a second
/// row at each heartbeat. A heartbeat that is no longer renewed does not prove
/// that the leader has failed; it only lets other instances try to succeed it,
/// and the leader row alone decides which one does. Actions of a replaced
/// leader are rejected by the journal, which checks the row, and by workers,
/// which check the token.
#pragma once

#include "toucanlever/cell/completion_journal.hpp"
#include "toucanlever/cell/record_follower.hpp"

#include <memory>
#include <optional>
#include <string>

namespace toucanlever
{

/// Content of the leader row.
struct leader_row
{
    std::string name;
    /// Identifies one run of the leader's process.
    std::string incarnation;
    std::string address;
    std::uint64_t fencing_token = 0;
    /// The leader resigned, so the row is vacant.
    bool released = false;

    MSGPACK_DEFINE(name, incarnation, address, fencing_token, released)
};

/// Receives the results of the election, on the loop's thread.
class leadership_listener
{
public:
    virtual ~leadership_listener() = default;
    virtual void on_elected(leader_proof const& proof) = 0;
    virtual void on_deposed(std::string const& reason) = 0;
    /// Called when another instance is the leader, or with no value when none
    /// is known.
    virtual void on_leader(std::optional<leader_row> const& leader) = 0;
    /// True when this instance has no working connection to the leader. It may
    /// then claim the leader row after a shorter time without a heartbeat.
    virtual bool is_leader_unreachable() const = 0;
};

/// Takes part in the election for one instance.
class leadership final : public leader_heartbeat
{
public:
    /// `self` has all fields set but the fencing token. An instance with less
    /// than `full_cpu_share` delays its attempts, so that larger instances win.
    leadership(event_loop& loop, record_store& store, leader_row self,
        double cpu_share, leadership_listener& listener);

    /// True when this instance could claim a vacant leader row now.
    bool can_be_elected() const;

    /// Hands the term over when an instance with this CPU share, which can be
    /// elected now, has much more CPU than this one: the scheduler of a large
    /// cell needs more than a small instance has. Takes no part in the election
    /// for `yield_period` then. No effect unless this instance is the leader.
    void note_candidate(std::string const& name, double other_cpu_share);

    /// Long enough for another instance to be elected; after it, this instance
    /// is a candidate again, in case no other one was.
    static constexpr milliseconds yield_period{2000};

    /// CPU cores with which, or with more, an instance does not delay its
    /// attempts, apart from a short random delay.
    static constexpr double full_cpu_share = 0.5;
    ~leadership() override;

    bool is_leader() const { return this->proof.has_value(); }

    /// A leader may start work for this long after it sent its last confirmed
    /// heartbeat.
    static constexpr milliseconds leader_lease_duration{1300};

    /// True while this instance is the leader and its lease has not expired. A
    /// successor starts work that its predecessor may know of only after that
    /// lease has expired or every worker has accepted the successor's token.
    bool may_start_work() const;

    /// Latest time at which a worker lease may end: from then on a successor
    /// treats the leases of this leader as expired.
    time_point lease_limit() const;

    /// The leader, as far as this instance knows.
    std::optional<leader_row> const& known_leader() const
    {
        return this->leader;
    }

    /// Records a leader that another instance reported, for the case that this
    /// instance cannot reach the store. Ignored unless its fencing token is
    /// higher than that of the leader known so far.
    void note_known_leader(leader_row const& row);

    /// Time since the last confirmed heartbeat was sent.
    milliseconds heartbeat_age() const;

    std::optional<record_write> begin_transaction() override;
    void end_transaction(time_point sent_at, bool committed) override;

    /// Releases the leader row, if held, and takes part in no further election.
    /// `done` is called after the attempt to release, whatever its outcome.
    void resign(std::function<void()> done);

    /// Ends this instance's term as leader, for instance because the store or a
    /// worker refused it. No effect unless it is the leader.
    void step_down(std::string const& reason);

private:
    void on_rows(std::vector<record> const& rows);
    void on_leader_row(record const& row);
    void update_leadership();
    bool is_vacant() const;
    void claim_leadership();
    void handle_claim_result(change_result const& result,
        leader_row const& claim, time_point sent_at);
    void become_leader(
        std::int64_t version, leader_row const& claim, time_point sent_at);
    void send_heartbeat();
    void handle_heartbeat_result(
        change_result const& result, time_point sent_at);
    bool is_heartbeat_due() const;
    /// Writes that the leader row is vacant and ends the term.
    void release_row(
        std::string const& reason, std::function<void()> const& done);

    event_loop& loop;
    record_store& store;
    leader_row self;
    double cpu_share;
    milliseconds election_delay;
    leadership_listener& listener;
    std::unique_ptr<record_follower> follower;
    std::optional<leader_row> leader;
    std::int64_t leader_version = 0;
    std::int64_t heartbeat_version = 0;
    // When this instance last saw the leader row or the heartbeat row change,
    // or learned of a new leader from another instance.
    time_point last_change_seen_at{};
    std::optional<leader_proof> proof;
    // When the last committed transaction that checks the leader row was sent.
    time_point heartbeat_confirmed_at{};
    // When a heartbeat was last sent, alone or with another transaction.
    time_point heartbeat_sent_at{};
    // When other code last sent a transaction that checks the leader row;
    // unset while none is in flight.
    std::optional<time_point> transaction_sent_at;
    time_point transaction_ended_at{};
    bool claim_pending = false;
    bool heartbeat_pending = false;
    bool resigned = false;
    // Claims nothing before this time.
    time_point yields_until{};
    event_loop::timer_id timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
