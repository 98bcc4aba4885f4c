/// Which entry instance of the cell is its active scheduler.
///
/// One row of the store names the holder and its fencing token; it is taken
/// by compare-and-set. A second row is written by the holder at each beat.
/// Who may try is a guess (the beat stands still); who succeeds is decided by
/// the row, and what a replaced holder still does is refused by the journal,
/// which checks the row, and by workers, which check the token.
#pragma once

#include "toucanlever/cell/completion_journal.hpp"
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
    std::uint64_t fencing_token = 0;
    /// It has stopped by itself.
    bool released = false;

    MSGPACK_DEFINE(name, incarnation, address, fencing_token, released)
};

/// Hears how the election goes; called on the loop's thread.
class leadership_listener
{
public:
    virtual ~leadership_listener() = default;
    virtual void on_elected(leader_proof const& proof) = 0;
    virtual void on_deposed(std::string const& reason) = 0;
    /// Another instance is the holder, or nobody known.
    virtual void on_leader(std::optional<leader_row> const& leader) = 0;
    /// True when this instance cannot reach the holder directly either.
    virtual bool is_leader_unreachable() const = 0;
};

/// One instance's part in the election.
class leadership final : public leader_heartbeat
{
public:
    /// `self` has everything but the token filled in. An instance with less
    /// than `full_share` of a core lets larger ones try first.
    leadership(event_loop& loop, record_store& store, leader_row self,
        double cpu_share, leadership_listener& listener);

    /// The share of a core with which an instance tries at once.
    static constexpr double full_cpu_share = 0.5;
    ~leadership() override;

    bool is_leader() const { return this->proof.has_value(); }

    /// How long after its last confirmed beat was sent a holder may start
    /// work.
    static constexpr milliseconds leader_lease_duration{1300};

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
    void note_known_leader(leader_row const& row);

    /// How long ago the last beat was sent that the store confirmed.
    milliseconds heartbeat_age() const;

    std::optional<record_write> begin_transaction() override;
    void end_transaction(time_point sent_at, bool committed) override;

    /// Gives the row up and stops trying.
    void resign(std::function<void()> done);

    /// The store or a worker has refused this holder.
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

    event_loop& loop;
    record_store& store;
    leader_row self;
    milliseconds election_delay;
    leadership_listener& listener;
    std::unique_ptr<record_follower> follower;
    std::optional<leader_row> leader;
    std::int64_t leader_version = 0;
    std::int64_t heartbeat_version = 0;
    // When this instance saw the row or the beat change.
    time_point last_change_seen_at{};
    std::optional<leader_proof> proof;
    // When the last transaction under the row that the store committed was
    // sent.
    time_point heartbeat_confirmed_at{};
    // When a beat was last sent, alone or with another transaction.
    time_point heartbeat_sent_at{};
    // When the last transaction of others under the row was sent; unset when
    // none is under way.
    std::optional<time_point> transaction_sent_at;
    time_point transaction_ended_at{};
    bool claim_pending = false;
    bool heartbeat_pending = false;
    bool resigned = false;
    event_loop::timer_id timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
