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
/// How long a due heartbeat waits for the end of another transaction, which is
/// then followed by one that can carry it.
constexpr milliseconds max_transaction_wait{1000};
/// A busy journal sends its next write within this time after the last ended.
constexpr milliseconds journal_write_gap{50};
/// Without a heartbeat for this long, other instances may take the leader row;
/// four heartbeats in a row may fail.
constexpr milliseconds vacancy_timeout{1700};
/// The same for an instance that cannot reach the leader directly either.
constexpr milliseconds unreachable_vacancy_timeout{900};
constexpr milliseconds update_period{100};
/// A random delay keeps instances that find the row vacant together from trying
/// at the same moment.
constexpr std::int64_t max_stagger_ms = 150;
/// Long enough for a store that is 100 times as slow as usual.
constexpr milliseconds commit_timeout{1500};

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
        1.0 - std::min(1.0, cpu_share / leadership::full_share);
    return milliseconds(
        static_cast<std::int64_t>(max_delay_ms * missing_share));
}

} // namespace

leadership::leadership(event_loop& loop, record_store& store, leader_row self,
    double cpu_share, leadership_listener& listener)
    : loop(loop)
    , store(store)
    , self(std::move(self))
    , handicap(election_delay_for(cpu_share))
    , listener(listener)
    , beat_seen(loop.now())
{
    follow_plan plan{tables::leader, {tables::scheduler_part},
        milliseconds(1000), milliseconds(0)};
    this->follower = std::make_unique<record_follower>(loop, store, plan,
        [this](std::vector<record> const& rows, bool) { this->on_rows(rows); });
    this->timer = loop.every(update_period, [this] { this->consider(); });
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
        if (row.at.key == tables::holder_row().key)
        {
            this->on_holder_row(row);
        }
        else if (row.version > this->beat_version)
        {
            this->beat_version = row.version;
            this->beat_seen = this->loop.now();
        }
    }
}

void leadership::on_holder_row(record const& row)
{
    if (row.version <= this->leader_version)
    {
        return;
    }
    this->leader_version = row.version;
    this->beat_seen = this->loop.now();
    this->leader = unpack<leader_row>(row.value, "record-store");
    if (this->held && this->leader->incarnation != this->self.incarnation)
    {
        this->step_down("another instance holds the leader row");
    }
    if (!this->held)
    {
        this->listener.on_leader(this->leader);
    }
}

void leadership::hear(leader_row const& row)
{
    if (this->leader && row.fence <= this->leader->fence)
    {
        return;
    }
    log_line("leader-heard-of").with("name", row.name).with("fence", row.fence);
    // The row version stays as this instance read it: a claim of the leader row
    // is checked against it.
    this->leader = row;
    this->beat_seen = this->loop.now();
    if (this->held)
    {
        this->step_down(
            "another instance reports a leader with a higher fencing token");
    }
    this->listener.on_leader(this->leader);
}

milliseconds leadership::beat_age() const
{
    return std::chrono::duration_cast<milliseconds>(
        this->loop.now() - this->beat_confirmed);
}

bool leadership::is_vacant() const
{
    if (!this->leader || this->leader->released ||
        this->leader->name == this->self.name)
    {
        // A leader of this name is an earlier incarnation of this instance.
        return true;
    }
    auto silence = this->loop.now() - this->beat_seen;
    return silence > vacancy_timeout ||
           (silence > unreachable_vacancy_timeout &&
               this->listener.is_leader_unreachable());
}

void leadership::consider()
{
    if (this->held)
    {
        // A separate heartbeat would queue behind the other transaction; the
        // next transaction carries the heartbeat sooner.
        time_point now = this->loop.now();
        bool wait_for_transaction =
            this->other_sent ? now - *this->other_sent < max_transaction_wait
                             : now - this->other_ended < journal_write_gap;
        if (!this->beat_pending && !wait_for_transaction && this->is_beat_due())
        {
            this->beat();
        }
        return;
    }
    // Only an up-to-date copy of the rows shows that a heartbeat is missing.
    bool is_fresh =
        this->follower->has_read() &&
        this->loop.now() - this->follower->fresh_at() < vacancy_timeout;
    if (this->resigned || this->attempt_pending || !is_fresh ||
        !this->is_vacant())
    {
        return;
    }
    this->attempt_pending = true;
    this->loop.after(this->handicap + random_stagger(),
        [this, alive = this->alive]
        {
            if (*alive)
            {
                this->take_row();
            }
        });
}

void leadership::take_row()
{
    if (this->resigned || !this->is_vacant())
    {
        this->attempt_pending = false;
        return;
    }
    leader_row claim = this->self;
    claim.fence = (this->leader ? this->leader->fence : 0) + 1;
    record_change change;
    change.checks = {{tables::holder_row(), this->leader_version}};
    change.writes = {{tables::holder_row(), pack(claim)}};
    this->store.commit(change, commit_timeout,
        [this, claim, sent_at = this->loop.now(), alive = this->alive](
            change_result const& result)
        {
            if (*alive)
            {
                this->taken(result, claim, sent_at);
            }
        });
}

void leadership::taken(
    change_result const& result, leader_row const& claim, time_point sent_at)
{
    this->attempt_pending = false;
    if (result.outcome == change_outcome::committed)
    {
        this->elected(result.version, claim, sent_at);
        return;
    }
    log_line("election-not-won")
        .with("fence", claim.fence)
        .with("in_doubt", result.outcome == change_outcome::in_doubt ? 1 : 0);
    for (record const& row : result.current)
    {
        if (row.version > 0)
        {
            this->on_holder_row(row);
        }
    }
}

void leadership::elected(
    std::int64_t version, leader_row const& claim, time_point sent_at)
{
    this->leader = claim;
    this->leader_version = std::max(this->leader_version, version);
    this->held = holder_proof{claim.fence, version};
    this->beat_confirmed = sent_at;
    this->other_sent.reset();
    log_line("elected").with("fence", claim.fence).with("row_version", version);
    this->beat();
    this->listener.on_elected(*this->held);
}

void leadership::beat()
{
    this->beat_pending = true;
    time_point sent_at = this->loop.now();
    this->beat_sent = sent_at;
    record_change change;
    change.checks = {{tables::holder_row(), this->held->row_version}};
    change.writes = {{tables::beat_row(), this->self.incarnation}};
    this->store.commit(change, commit_timeout,
        [this, sent_at, alive = this->alive](change_result const& result)
        {
            if (*alive)
            {
                this->beaten(result, sent_at);
            }
        });
}

void leadership::beaten(change_result const& result, time_point sent_at)
{
    this->beat_pending = false;
    if (!this->held)
    {
        return;
    }
    if (result.outcome == change_outcome::conflict)
    {
        this->step_down("the leader row has changed");
        return;
    }
    if (result.outcome == change_outcome::committed)
    {
        this->beat_confirmed = std::max(this->beat_confirmed, sent_at);
    }
}

bool leadership::is_beat_due() const
{
    return this->loop.now() - this->beat_sent >= heartbeat_period;
}

std::optional<record_write> leadership::begin_transaction()
{
    this->other_sent = this->loop.now();
    if (!this->held || !this->is_beat_due())
    {
        return std::nullopt;
    }
    this->beat_sent = this->loop.now();
    return record_write{tables::beat_row(), this->self.incarnation};
}

void leadership::settle(time_point sent_at, bool committed)
{
    if (this->other_sent == sent_at)
    {
        this->other_sent.reset();
        this->other_ended = this->loop.now();
    }
    if (committed)
    {
        this->beat_confirmed = std::max(this->beat_confirmed, sent_at);
    }
}

bool leadership::may_start_work() const
{
    return this->held && this->loop.now() - this->beat_confirmed < permission;
}

time_point leadership::lease_limit() const
{
    return this->beat_confirmed + worker_lease::lease_after_beat;
}

void leadership::step_down(std::string const& reason)
{
    if (!this->held)
    {
        return;
    }
    log_line("deposed").with("fence", this->held->fence).with("reason", reason);
    this->held.reset();
    this->listener.on_deposed(reason);
}

void leadership::resign(std::function<void()> done)
{
    this->resigned = true;
    if (!this->held)
    {
        done();
        return;
    }
    leader_row released = *this->leader;
    released.released = true;
    record_change change;
    change.checks = {{tables::holder_row(), this->held->row_version}};
    change.writes = {{tables::holder_row(), pack(released)}};
    this->step_down("the instance is shutting down");
    this->store.commit(change, commit_timeout,
        [done = std::move(done)](change_result const&) { done(); });
}

} // namespace toucanlever
