#include "toucanlever/cell/leadership.hpp"

#include "cell/cell_tables.hpp"

#include "toucanlever/cell/worker_lease.hpp"
#include "toucanlever/core/log.hpp"
#include "toucanlever/wire/codec.hpp"

#include <algorithm>
#include <random>

namespace toucanlever
{
namespace
{

constexpr milliseconds heartbeat_period{300};
/// A due heartbeat waits up to this long for the end of a transaction that is
/// in flight, because the transaction after it can carry the heartbeat.
constexpr milliseconds max_transaction_wait{1000};
/// A busy journal sends its next transaction within this time after the end of
/// the one before.
constexpr milliseconds journal_write_gap{50};
/// Without a heartbeat for this long, other instances may claim the leader row;
/// four heartbeats in a row may fail.
constexpr milliseconds vacancy_timeout{1700};
/// The same for an instance that cannot reach the leader directly either.
constexpr milliseconds unreachable_vacancy_timeout{900};
constexpr milliseconds update_period{100};
/// Upper bound of a random delay, which keeps instances that find the row
/// vacant together from trying at the same moment.
constexpr std::int64_t max_stagger_ms = 150;
/// Long enough for a store that is 100 times as slow as the usual 10 ms.
constexpr milliseconds commit_timeout{1500};
/// A leader hands over to an instance with this many times its CPU. Less would
/// not make up for the pause that each succession costs.
constexpr double yield_factor = 2.0;

milliseconds random_stagger()
{
    static thread_local std::minstd_rand random{std::random_device{}()};
    return milliseconds(
        std::uniform_int_distribution<std::int64_t>(0, max_stagger_ms)(random));
}

/// Delay before an instance with this CPU share tries to become leader. The CPU
/// cost of scheduling grows with the amount of work; an instance with an eighth
/// of a core would fall behind.
milliseconds election_delay_for(double cpu_share)
{
    constexpr double max_delay_ms = 300.0;
    double missing_share =
        1.0 - std::min(1.0, cpu_share / leadership::full_cpu_share);
    return milliseconds(
        static_cast<std::int64_t>(max_delay_ms * missing_share));
}

} // namespace

leadership::leadership(event_loop& loop, record_store& store, leader_row self,
    double cpu_share, leadership_listener& listener)
    : loop(loop)
    , store(store)
    , self(std::move(self))
    , cpu_share(cpu_share)
    , election_delay(election_delay_for(cpu_share))
    , listener(listener)
    , last_change_seen_at(loop.now())
{
    follow_options options{tables::leader, {tables::scheduler_part},
        milliseconds(1000), milliseconds(0)};
    this->follower = std::make_unique<record_follower>(loop, store, options,
        [this](std::vector<record> const& rows, bool) { this->on_rows(rows); });
    this->timer =
        loop.every(update_period, [this] { this->update_leadership(); });
}

leadership::~leadership()
{
    *this->alive = false;
    this->loop.cancel(this->timer);
}

void leadership::on_rows(std::vector<record> const& rows)
{
    for (record const& row : rows)
    {
        if (row.at.key == tables::leader_row_key().key)
        {
            this->on_leader_row(row);
        }
        else if (row.version > this->heartbeat_version)
        {
            this->heartbeat_version = row.version;
            this->last_change_seen_at = this->loop.now();
        }
    }
}

void leadership::on_leader_row(record const& row)
{
    if (row.version <= this->leader_version)
    {
        return;
    }
    this->leader_version = row.version;
    this->last_change_seen_at = this->loop.now();
    this->leader = unpack<leader_row>(row.value, "record-store");
    if (this->proof && this->leader->incarnation != this->self.incarnation)
    {
        this->step_down("another instance has claimed the leader row");
    }
    if (!this->proof)
    {
        this->listener.on_leader(this->leader);
    }
}

void leadership::note_known_leader(leader_row const& row)
{
    if (this->leader && row.fencing_token <= this->leader->fencing_token)
    {
        return;
    }
    log_line("leader-heard-of")
        .with("name", row.name)
        .with("fence", row.fencing_token);
    // The row version stays as this instance read it: a claim of the leader row
    // is checked against it.
    this->leader = row;
    this->last_change_seen_at = this->loop.now();
    if (this->proof)
    {
        this->step_down(
            "another instance reports a leader with a higher fencing token");
    }
    this->listener.on_leader(this->leader);
}

milliseconds leadership::heartbeat_age() const
{
    return std::chrono::duration_cast<milliseconds>(
        this->loop.now() - this->heartbeat_confirmed_at);
}

bool leadership::is_vacant() const
{
    if (!this->leader || this->leader->released ||
        this->leader->name == this->self.name)
    {
        // A row with this instance's own name is left from an earlier
        // incarnation or an earlier term of it.
        return true;
    }
    auto unchanged_for = this->loop.now() - this->last_change_seen_at;
    return unchanged_for > vacancy_timeout ||
           (unchanged_for > unreachable_vacancy_timeout &&
               this->listener.is_leader_unreachable());
}

void leadership::update_leadership()
{
    if (this->proof)
    {
        // A separate heartbeat would queue behind the other transaction; the
        // next transaction carries the heartbeat sooner.
        time_point now = this->loop.now();
        bool wait_for_transaction =
            this->transaction_sent_at
                ? now - *this->transaction_sent_at < max_transaction_wait
                : now - this->transaction_ended_at < journal_write_gap;
        if (!this->heartbeat_pending && !wait_for_transaction &&
            this->is_heartbeat_due())
        {
            this->send_heartbeat();
        }
        return;
    }
    if (this->claim_pending || !this->can_be_elected() || !this->is_vacant())
    {
        return;
    }
    this->claim_pending = true;
    this->loop.after(this->election_delay + random_stagger(),
        [this, alive = this->alive]
        {
            if (*alive)
            {
                this->claim_leadership();
            }
        });
}

bool leadership::can_be_elected() const
{
    // Only an up-to-date copy of the rows shows that a heartbeat is missing.
    time_point now = this->loop.now();
    bool is_fresh = this->follower->has_snapshot() &&
                    now - this->follower->fresh_at() < vacancy_timeout;
    return is_fresh && !this->resigned && now >= this->yields_until;
}

void leadership::note_candidate(std::string const& name, double other_cpu_share)
{
    bool is_small = this->cpu_share < full_cpu_share;
    if (!this->proof || !is_small ||
        other_cpu_share < yield_factor * this->cpu_share)
    {
        return;
    }
    log_line("leadership-yielded")
        .with("fence", this->proof->fencing_token)
        .with("candidate", name);
    this->yields_until = this->loop.now() + yield_period;
    this->release_row("an instance with more CPU can be elected", [] {});
}

void leadership::claim_leadership()
{
    if (this->resigned || this->loop.now() < this->yields_until ||
        !this->is_vacant())
    {
        this->claim_pending = false;
        return;
    }
    leader_row claim = this->self;
    claim.fencing_token = (this->leader ? this->leader->fencing_token : 0) + 1;
    record_change change;
    change.checks = {{tables::leader_row_key(), this->leader_version}};
    change.writes = {{tables::leader_row_key(), pack(claim)}};
    this->store.commit(change, commit_timeout,
        [this, claim, sent_at = this->loop.now(), alive = this->alive](
            change_result const& result)
        {
            if (*alive)
            {
                this->handle_claim_result(result, claim, sent_at);
            }
        });
}

void leadership::handle_claim_result(
    change_result const& result, leader_row const& claim, time_point sent_at)
{
    this->claim_pending = false;
    if (result.outcome == change_outcome::committed)
    {
        this->become_leader(result.version, claim, sent_at);
        return;
    }
    log_line("election-not-won")
        .with("fence", claim.fencing_token)
        .with("in_doubt", result.outcome == change_outcome::in_doubt ? 1 : 0);
    for (record const& row : result.current)
    {
        if (row.version > 0)
        {
            this->on_leader_row(row);
        }
    }
}

void leadership::become_leader(
    std::int64_t version, leader_row const& claim, time_point sent_at)
{
    this->leader = claim;
    this->leader_version = std::max(this->leader_version, version);
    this->proof = leader_proof{claim.fencing_token, version};
    this->heartbeat_confirmed_at = sent_at;
    this->transaction_sent_at.reset();
    log_line("elected")
        .with("fence", claim.fencing_token)
        .with("row_version", version);
    this->send_heartbeat();
    this->listener.on_elected(*this->proof);
}

void leadership::send_heartbeat()
{
    this->heartbeat_pending = true;
    time_point sent_at = this->loop.now();
    this->heartbeat_sent_at = sent_at;
    record_change change;
    change.checks = {{tables::leader_row_key(), this->proof->row_version}};
    change.writes = {{tables::heartbeat_row_key(), this->self.incarnation}};
    this->store.commit(change, commit_timeout,
        [this, sent_at, alive = this->alive](change_result const& result)
        {
            if (*alive)
            {
                this->handle_heartbeat_result(result, sent_at);
            }
        });
}

void leadership::handle_heartbeat_result(
    change_result const& result, time_point sent_at)
{
    this->heartbeat_pending = false;
    if (!this->proof)
    {
        return;
    }
    if (result.outcome == change_outcome::conflict)
    {
        this->step_down(
            "a heartbeat was rejected because the leader row has changed");
        return;
    }
    if (result.outcome == change_outcome::committed)
    {
        this->heartbeat_confirmed_at =
            std::max(this->heartbeat_confirmed_at, sent_at);
    }
}

bool leadership::is_heartbeat_due() const
{
    return this->loop.now() - this->heartbeat_sent_at >= heartbeat_period;
}

std::optional<record_write> leadership::begin_transaction()
{
    this->transaction_sent_at = this->loop.now();
    if (!this->proof || !this->is_heartbeat_due())
    {
        return std::nullopt;
    }
    this->heartbeat_sent_at = this->loop.now();
    return record_write{tables::heartbeat_row_key(), this->self.incarnation};
}

void leadership::end_transaction(time_point sent_at, bool committed)
{
    if (this->transaction_sent_at == sent_at)
    {
        this->transaction_sent_at.reset();
        this->transaction_ended_at = this->loop.now();
    }
    if (committed)
    {
        this->heartbeat_confirmed_at =
            std::max(this->heartbeat_confirmed_at, sent_at);
    }
}

bool leadership::may_start_work() const
{
    return this->proof && this->loop.now() - this->heartbeat_confirmed_at <
                              leader_lease_duration;
}

time_point leadership::lease_limit() const
{
    return this->heartbeat_confirmed_at + worker_lease::lease_after_heartbeat;
}

void leadership::step_down(std::string const& reason)
{
    if (!this->proof)
    {
        return;
    }
    log_line("deposed")
        .with("fence", this->proof->fencing_token)
        .with("reason", reason);
    this->proof.reset();
    this->listener.on_deposed(reason);
}

void leadership::resign(std::function<void()> done)
{
    this->resigned = true;
    if (!this->proof)
    {
        done();
        return;
    }
    this->release_row("the instance is shutting down", done);
}

void leadership::release_row(
    std::string const& reason, std::function<void()> const& done)
{
    leader_row released = *this->leader;
    released.released = true;
    record_change change;
    change.checks = {{tables::leader_row_key(), this->proof->row_version}};
    change.writes = {{tables::leader_row_key(), pack(released)}};
    this->step_down(reason);
    this->store.commit(
        change, commit_timeout, [done](change_result const&) { done(); });
}

} // namespace toucanlever
