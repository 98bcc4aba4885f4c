/// Model checker for concurrent takeovers: explores every interleaving of one
/// scheduler that takes over from two others at the same time, while one of
/// them hands a job over to the other, which may start it. The rules are those
/// of docs/ARCHITECTURE.md; with any of them disabled, the exploration finds
/// the job running in two places.
#include <array>
#include <compare>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <set>

namespace
{

/// The first scheduler accepted the job; it may hand it over to the second.
constexpr int first = 0;
constexpr int second = 1;

/// Rules of the protocol; each can be disabled.
struct rules
{
    bool decides_only_its_own = true;
    bool reads_owner_row = true;
    bool owner_row_checks_fences = true;
};

/// One of the two schedulers that are taken over. It continues, fenced or not,
/// until one of its own writes fails, which covers a pause of any length.
struct predecessor
{
    bool considers_itself_owner = false;
    bool has_in_journal = false;
    /// Its worker runs the first attempt.
    bool runs = false;
    bool rejected_by_worker = false;

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

/// One takeover by the common successor.
struct model_takeover
{
    takeover_step step = takeover_step::idle;
    /// It found the job in the journal.
    bool listed = false;
    /// It added the live record.
    bool to_decide = false;

    auto operator<=>(model_takeover const&) const = default;
};

/// The successor's record of the job.
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
    explicit explorer(rules enabled)
        : enabled(enabled)
    {
        state begin;
        begin.all[first].considers_itself_owner = true;
        begin.all[first].has_in_journal = true;
        this->visit(begin);
    }

    bool finds_two_places() const { return this->two_places; }
    bool finds_it_lost() const { return this->job_is_lost; }
    std::size_t states() const { return this->seen.size(); }

private:
    void visit(state const& now)
    {
        if (!this->seen.insert(now).second)
        {
            return;
        }
        this->check_invariants(now);
        this->offer(now);
        this->accept_offer(now);
        for (int index : {first, second})
        {
            this->start(now, index);
            this->advance(now, index);
        }
    }

    void check_invariants(state const& now)
    {
        int places = now.record == record_kind::started_again;
        bool all_done = true;
        for (int index : {first, second})
        {
            places += now.all[index].runs;
            all_done =
                all_done && now.takeovers[index].step == takeover_step::done;
        }
        this->two_places = this->two_places || places > 1;
        bool decided = now.record == record_kind::running ||
                       now.record == record_kind::started_again;
        this->job_is_lost = this->job_is_lost || (all_done && !decided);
    }

    void offer(state now)
    {
        if (now.all[first].considers_itself_owner && !now.all[first].runs)
        {
            now.all[first].considers_itself_owner = false;
            now.offered = true;
            this->visit(now);
        }
    }

    /// One transaction writes the receiver's journal and the owner row.
    void accept_offer(state now)
    {
        bool fenced = now.takeovers[second].step != takeover_step::idle ||
                      (this->enabled.owner_row_checks_fences &&
                          now.takeovers[first].step != takeover_step::idle);
        if (now.offered && !fenced)
        {
            now.offered = false;
            now.owner_row = second;
            now.all[second].has_in_journal = true;
            now.all[second].considers_itself_owner = true;
            this->visit(now);
        }
    }

    void start(state now, int index)
    {
        predecessor& one = now.all[index];
        if (one.considers_itself_owner && !one.rejected_by_worker && !one.runs)
        {
            one.runs = true;
            this->visit(now);
        }
    }

    void advance(state now, int index)
    {
        model_takeover& work = now.takeovers[index];
        switch (work.step)
        {
        case takeover_step::idle:
            work.step = takeover_step::fenced;
            break;
        case takeover_step::fenced:
            work.step = takeover_step::read;
            this->adopt(now, index);
            break;
        case takeover_step::read:
            work.step = takeover_step::worker_answered;
            now.all[index].rejected_by_worker = true;
            if (now.all[index].runs && now.record == record_kind::live)
            {
                now.record = record_kind::running;
            }
            break;
        case takeover_step::worker_answered:
            work.step = takeover_step::done;
            this->decide(now, index);
            break;
        default:
            return;
        }
        this->visit(now);
    }

    /// A record of a job that was handed over is replaced by a live one.
    void adopt(state& now, int index) const
    {
        model_takeover& work = now.takeovers[index];
        work.listed = now.all[index].has_in_journal;
        bool live = !this->enabled.reads_owner_row || now.owner_row == index;
        bool replaces =
            now.record == record_kind::none || now.record == record_kind::moved;
        if (!work.listed || !replaces)
        {
            return;
        }
        now.record = live ? record_kind::live : record_kind::moved;
        work.to_decide = live;
    }

    void decide(state& now, int index) const
    {
        model_takeover const& work = now.takeovers[index];
        bool decides =
            this->enabled.decides_only_its_own ? work.to_decide : work.listed;
        if (decides && now.record == record_kind::live)
        {
            now.record = record_kind::started_again;
        }
    }

    rules enabled;
    std::set<state> seen;
    bool two_places = false;
    bool job_is_lost = false;
};

} // namespace

Test(concurrent_succession_model, no_interleaving_runs_the_job_in_two_places)
{
    explorer all(rules{});
    cr_assert(not all.finds_two_places());
    cr_assert(not all.finds_it_lost());
    // Guards against an exploration that ends early.
    cr_assert(all.states() > 100U);
}

Test(concurrent_succession_model,
    deciding_jobs_of_another_takeover_runs_them_in_two_places)
{
    rules enabled;
    enabled.decides_only_its_own = false;
    cr_assert(explorer(enabled).finds_two_places());
}

Test(concurrent_succession_model,
    ignoring_the_owner_row_runs_the_job_in_two_places)
{
    rules enabled;
    enabled.reads_owner_row = false;
    cr_assert(explorer(enabled).finds_two_places());
}

Test(concurrent_succession_model,
    accepting_jobs_of_a_fenced_scheduler_runs_them_in_two_places)
{
    rules enabled;
    enabled.owner_row_checks_fences = false;
    cr_assert(explorer(enabled).finds_two_places());
}
