/// Leader election: decides which entry instance of the cell is its active
/// scheduler.
///
/// One row of the store names the leader and its fencing token; an instance
/// becomes leader by compare-and-set of this row. The leader writes a second
/// row at each heartbeat. The other instances only guess that the leader is
/// gone, from a heartbeat that is no longer renewed; the leader row alone
/// decides who succeeds. Actions of a replaced leader are rejected by the
/// journal, which checks the row, and by workers, which check the token.
#pragma once

#include "toucanlever/cell/end_journal.hpp"
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
    std::uint64_t fence = 0;
    /// The leader resigned, so the row is vacant.
    bool released = false;

    MSGPACK_DEFINE(name, incarnation, address, fence, released)
};

/// Receives the results of the election, on the loop's thread.
class leadership_listener
{
public:
    virtual ~leadership_listener() = default;
    virtual void on_elected(holder_proof const& proof) = 0;
    virtual void on_deposed(std::string const& reason) = 0;
    /// Called when another instance is the leader, or with no value when none
    /// is known.
    virtual void on_leader(std::optional<leader_row> const& leader) = 0;
    /// True when this instance cannot reach the leader directly either.
    virtual bool is_leader_unreachable() const = 0;
};

/// Takes part in the election for one instance.
class leadership final : public holder_beat
{
public:
    /// `self` has all fields set but the fencing token. An instance with less
    /// than `full_cpu_share` delays its attempts, so that larger instances win.
    leadership(event_loop& loop, record_store& store, leader_row self,
        double cpu_share, leadership_listener& listener);

    /// Fraction of a CPU core from which on an instance tries without delay.
    static constexpr double full_share = 0.5;
    ~leadership() override;

    bool is_holder() const { return this->held.has_value(); }

    /// A leader may start work for this long after it sent its last confirmed
    /// heartbeat.
    static constexpr milliseconds permission{1300};

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
    void hear(leader_row const& row);

    /// Time since the last confirmed heartbeat was sent.
    milliseconds beat_age() const;

    std::optional<record_write> begin_transaction() override;
    void settle(time_point sent_at, bool committed) override;

    /// Releases the leader row, if held, and takes part in no further election.
    void resign(std::function<void()> done);

    /// Ends this instance's term as leader, for instance because the store or a
    /// worker refused it. No effect unless it is the leader.
    void step_down(std::string const& reason);

private:
    void on_rows(std::vector<record> const& rows);
    void on_holder_row(record const& row);
    void consider();
    bool is_vacant() const;
    void take_row();
    void taken(change_result const& result, leader_row const& claim,
        time_point sent_at);
    void elected(
        std::int64_t version, leader_row const& claim, time_point sent_at);
    void beat();
    void beaten(change_result const& result, time_point sent_at);
    bool is_beat_due() const;

    event_loop& loop;
    record_store& store;
    leader_row self;
    milliseconds handicap;
    leadership_listener& listener;
    std::unique_ptr<record_follower> follower;
    std::optional<leader_row> leader;
    std::int64_t leader_version = 0;
    std::int64_t beat_version = 0;
    // When this instance last saw the leader row or the heartbeat row change.
    time_point beat_seen{};
    std::optional<holder_proof> held;
    // When the last committed transaction that checks the leader row was sent.
    time_point beat_confirmed{};
    // When a heartbeat was last sent, alone or with another transaction.
    time_point beat_sent{};
    // When other code last sent a transaction that checks the leader row;
    // unset while none is in flight.
    std::optional<time_point> other_sent;
    time_point other_ended{};
    bool attempt_pending = false;
    bool beat_pending = false;
    bool resigned = false;
    event_loop::timer_id timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
