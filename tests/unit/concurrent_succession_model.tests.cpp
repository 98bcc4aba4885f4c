/// Every interleaving of one scheduler that succeeds two others at the same
/// time, while one of them hands a job to the other, which may start it. The
/// model has the rules of docs/ARCHITECTURE.md; each can be dropped to see the
/// exploration find the job in two places.
#include <array>
#include <compare>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <set>

namespace
{

/// The first accepted the job; it may give it to the second.
constexpr int first = 0;
constexpr int second = 1;

/// Rules that may be dropped.
struct rules
{
    bool decides_only_its_own = true;
    bool reads_owner_row = true;
    bool owner_row_checks_fences = true;
};

/// One of the two that are succeeded. It goes on, fenced or not, until a
/// write of its own shows it: that stands for any pause.
struct predecessor
{
    bool believes_it_owns = false;
    bool has_in_journal = false;
    /// Its worker runs the first attempt.
    bool runs = false;
    bool barred_at_worker = false;

    auto operator<=>(predecessor const&) const = default;
};

enum class takeover_step
{
    idle,
    fenced,
    read,
    worker_answered,
    done
};

/// One succession by the same successor.
struct model_takeover
{
    takeover_step step = takeover_step::idle;
    /// It found the job in the journal; it brought the live record.
    bool listed = false;
    bool to_decide = false;

    auto operator<=>(model_takeover const&) const = default;
};

/// What the successor has of the job.
enum class record_kind
{
    none,
    moved,
    live,
    running,
    started_again
};

struct state
{
    std::array<predecessor, 2> all;
    std::array<model_takeover, 2> takeovers;
    int owner_row = first;
    bool offered = false;
    record_kind record = record_kind::none;

    auto operator<=>(state const&) const = default;
};

class explorer
{
public:
    explicit explorer(rules kept)
        : kept(kept)
    {
        state begin;
        begin.all[first].believes_it_owns = true;
        begin.all[first].has_in_journal = true;
        this->visit(begin);
    }

    bool finds_two_places() const { return this->two_places; }
    bool finds_it_lost() const { return this->lost; }
    std::size_t states() const { return this->seen.size(); }

private:
    void visit(state const& now)
    {
        if (!this->seen.insert(now).second)
        {
            return;
        }
        this->judge(now);
        this->offer(now);
        this->take(now);
        for (int who : {first, second})
        {
            this->start(now, who);
            this->advance(now, who);
        }
    }

    void judge(state const& now)
    {
        int places = now.record == record_kind::started_again;
        bool all_done = true;
        for (int who : {first, second})
        {
            places += now.all[who].runs;
            all_done =
                all_done && now.takeovers[who].step == takeover_step::done;
        }
        this->two_places = this->two_places || places > 1;
        bool decided = now.record == record_kind::running ||
                       now.record == record_kind::started_again;
        this->lost = this->lost || (all_done && !decided);
    }

    void offer(state now)
    {
        if (now.all[first].believes_it_owns && !now.all[first].runs)
        {
            now.all[first].believes_it_owns = false;
            now.offered = true;
            this->visit(now);
        }
    }

    /// One transaction: the journal of the taker and the owner row.
    void take(state now)
    {
        bool fenced = now.takeovers[second].step != takeover_step::idle ||
                      (this->kept.owner_row_checks_fences &&
                          now.takeovers[first].step != takeover_step::idle);
        if (now.offered && !fenced)
        {
            now.offered = false;
            now.owner_row = second;
            now.all[second].has_in_journal = true;
            now.all[second].believes_it_owns = true;
            this->visit(now);
        }
    }

    void start(state now, int who)
    {
        predecessor& one = now.all[who];
        if (one.believes_it_owns && !one.barred_at_worker && !one.runs)
        {
            one.runs = true;
            this->visit(now);
        }
    }

    void advance(state now, int who)
    {
        model_takeover& work = now.takeovers[who];
        switch (work.step)
        {
        case takeover_step::idle:
            work.step = takeover_step::fenced;
            break;
        case takeover_step::fenced:
            work.step = takeover_step::read;
            this->adopt(now, who);
            break;
        case takeover_step::read:
            work.step = takeover_step::worker_answered;
            now.all[who].barred_at_worker = true;
            if (now.all[who].runs && now.record == record_kind::live)
            {
                now.record = record_kind::running;
            }
            break;
        case takeover_step::worker_answered:
            work.step = takeover_step::done;
            this->decide(now, who);
            break;
        default:
            return;
        }
        this->visit(now);
    }

    /// A record that says where the job went gives way to a live one.
    void adopt(state& now, int who) const
    {
        model_takeover& work = now.takeovers[who];
        work.listed = now.all[who].has_in_journal;
        bool live = !this->kept.reads_owner_row || now.owner_row == who;
        bool replaces =
            now.record == record_kind::none || now.record == record_kind::moved;
        if (!work.listed || !replaces)
        {
            return;
        }
        now.record = live ? record_kind::live : record_kind::moved;
        work.to_decide = live;
    }

    void decide(state& now, int who) const
    {
        model_takeover const& work = now.takeovers[who];
        bool decides =
            this->kept.decides_only_its_own ? work.to_decide : work.listed;
        if (decides && now.record == record_kind::live)
        {
            now.record = record_kind::started_again;
        }
    }

    rules kept;
    std::set<state> seen;
    bool two_places = false;
    bool lost = false;
};

} // namespace

Test(concurrent_succession_model, no_interleaving_has_the_job_in_two_places)
{
    explorer all(rules{});
    cr_assert(not all.finds_two_places());
    cr_assert(not all.finds_it_lost());
    cr_assert(all.states() > 100U);
}

Test(concurrent_succession_model,
    deciding_what_another_takeover_brought_is_found)
{
    rules kept;
    kept.decides_only_its_own = false;
    cr_assert(explorer(kept).finds_two_places());
}

Test(concurrent_succession_model, going_by_the_journal_alone_is_found)
{
    rules kept;
    kept.reads_owner_row = false;
    cr_assert(explorer(kept).finds_two_places());
}

Test(concurrent_succession_model, taking_from_one_that_was_succeeded_is_found)
{
    rules kept;
    kept.owner_row_checks_fences = false;
    cr_assert(explorer(kept).finds_two_places());
}
