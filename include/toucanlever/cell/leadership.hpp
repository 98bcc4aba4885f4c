/// Which entry instance of the cell is its active scheduler.
///
/// One row of the store names the holder and its fencing token; it is taken
/// by compare-and-set. A second row is written by the holder at each beat.
/// Who may try is a guess (the beat stands still); who succeeds is decided by
/// the row, and what a replaced holder still does is refused by the journal,
/// which checks the row, and by workers, which check the token.
#pragma once

#include "toucanlever/cell/end_journal.hpp"
#include "toucanlever/cell/record_follower.hpp"

#include <memory>
#include <optional>
#include <string>

namespace toucanlever
{

/// The holder as its row names it.
struct leader_row
{
    std::string name;
    /// Of one run of its process.
    std::string incarnation;
    std::string address;
    std::uint64_t fence = 0;
    /// It has stopped by itself.
    bool released = false;

    MSGPACK_DEFINE(name, incarnation, address, fence, released)
};

/// Hears how the election goes; called on the loop's thread.
class leadership_listener
{
public:
    virtual ~leadership_listener() = default;
    virtual void on_elected(holder_proof const& proof) = 0;
    virtual void on_deposed(std::string const& reason) = 0;
    /// Another instance is the holder, or nobody known.
    virtual void on_leader(std::optional<leader_row> const& leader) = 0;
    /// True when this instance cannot reach the holder directly either.
    virtual bool is_leader_unreachable() const = 0;
};

/// One instance's part in the election.
class leadership final : public holder_beat
{
public:
    /// `self` has everything but the token filled in. An instance with less
    /// than `full_share` of a core lets larger ones try first.
    leadership(event_loop& loop, record_store& store, leader_row self,
        double cpu_share, leadership_listener& listener);

    /// The share of a core with which an instance tries at once.
    static constexpr double full_share = 0.5;
    ~leadership() override;

    bool is_holder() const { return this->held.has_value(); }

    /// How long after its last confirmed beat was sent a holder may start
    /// work.
    static constexpr milliseconds permission{1300};

    /// The holder's own permission to start work. A successor starts what its
    /// predecessor may have heard of no sooner than that is over, or every
    /// worker has obeyed the successor.
    bool may_start_work() const;

    /// A successor counts leases as over from this moment on.
    time_point lease_limit() const;

    /// The holder as far as is known here.
    std::optional<leader_row> const& known_leader() const
    {
        return this->leader;
    }

    /// Another instance names a holder; this one may not reach the store.
    void hear(leader_row const& row);

    /// How long ago the last beat was sent that the store confirmed.
    milliseconds beat_age() const;

    std::optional<record_write> begin_transaction() override;
    void settle(time_point sent_at, bool committed) override;

    /// Gives the row up and stops trying.
    void resign(std::function<void()> done);

    /// The store or a worker has refused this holder.
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
    // When this instance saw the row or the beat change.
    time_point beat_seen{};
    std::optional<holder_proof> held;
    // When the last transaction under the row that the store committed was
    // sent.
    time_point beat_confirmed{};
    // When a beat was last sent, alone or with another transaction.
    time_point beat_sent{};
    // When the last transaction of others under the row was sent; unset when
    // none is under way.
    std::optional<time_point> other_sent;
    time_point other_ended{};
    bool attempt_pending = false;
    bool beat_pending = false;
    bool resigned = false;
    event_loop::timer_id timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
