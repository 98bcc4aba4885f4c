/// Every interleaving of two schedulers, two workers and the table service
/// around one job: the owner is paused or cut off, its task's lease may run
/// out, a peer succeeds it, and answers of the store get lost. The model has
/// the rules of docs/ARCHITECTURE.md; each rule can be dropped to see the
/// exploration find two places at once.
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <functional>
#include <set>
#include <tuple>
#include <vector>

namespace
{

/// Rules that may be dropped.
struct rules
{
    bool attempts_are_journalled = true;
    bool workers_are_fenced = true;
    bool decision_awaits_all_workers = true;
};

/// A worker that may run one attempt of the job; 0 for none.
struct model_worker
{
    int runs_attempt = 0;
    bool bars_first = false;

    auto operator<=>(model_worker const&) const = default;
};

/// The owner that may be paused between any two of its steps.
enum class first_step
{
    follows,
    concluded_lapse,
    journal_in_doubt,
    may_start,
    start_sent,
    done
};

/// The peer that succeeds it.
enum class second_step
{
    idle,
    fenced_store,
    decided,
    start_sent,
    done
};

struct state
{
    bool fenced = false;
    int journalled_attempt = 1;
    model_worker one{1, false};
    model_worker two;
    first_step first = first_step::follows;
    second_step second = second_step::idle;
    int seen_attempt = 0;
    bool asked_one = false;
    bool asked_two = false;
    bool found = false;

    auto operator<=>(state const&) const = default;
};

class explorer
{
public:
    explicit explorer(rules kept)
        : kept(kept)
    {
    }

    /// True when some interleaving has the job in two places.
    bool finds_two_places()
    {
        this->visit(state{});
        return this->broken;
    }

    std::size_t states() const { return this->seen.size(); }

private:
    void visit(state const& now)
    {
        if (this->broken || !this->seen.insert(now).second)
        {
            return;
        }
        if (now.one.runs_attempt > 0 && now.two.runs_attempt > 0)
        {
            this->broken = true;
            return;
        }
        this->lapse(now);
        this->step_first(now);
        this->step_second(now);
    }

    /// A lease runs out only while nobody renews it: the first stops when it
    /// is paused, the second renews once it has asked the worker.
    void lapse(state now)
    {
        if (now.one.runs_attempt > 0 && !now.asked_one)
        {
            now.one.runs_attempt = 0;
            this->visit(now);
        }
    }

    void step_first(state now)
    {
        switch (now.first)
        {
        case first_step::follows:
            // Its clock says that its own lease is over: true unless another
            // renews by now.
            if (now.one.runs_attempt == 0 || now.asked_one)
            {
                now.first = first_step::concluded_lapse;
                this->visit(now);
            }
            return;
        case first_step::concluded_lapse:
        case first_step::journal_in_doubt:
            this->journal(now);
            return;
        case first_step::may_start:
            now.first = first_step::start_sent;
            this->visit(now);
            return;
        case first_step::start_sent:
            // The message arrives, however late.
            if (!now.two.bars_first)
            {
                now.two.runs_attempt = 2;
            }
            now.first = first_step::done;
            this->visit(now);
            return;
        default:
            return;
        }
    }

    void journal(state now)
    {
        if (!this->kept.attempts_are_journalled)
        {
            now.first = first_step::may_start;
            this->visit(now);
            return;
        }
        bool own_earlier_write = now.first == first_step::journal_in_doubt &&
                                 now.journalled_attempt == 2;
        if (now.fenced && !own_earlier_write)
        {
            now.first = first_step::done;
            this->visit(now);
            return;
        }
        now.journalled_attempt = 2;
        state lost = now;
        lost.first = first_step::journal_in_doubt;
        this->visit(lost);
        now.first = first_step::may_start;
        this->visit(now);
    }

    void step_second(state const& now)
    {
        if (now.second == second_step::idle)
        {
            state next = now;
            next.fenced = true;
            next.second = second_step::fenced_store;
            next.seen_attempt = now.journalled_attempt;
            this->visit(next);
            return;
        }
        if (now.second == second_step::fenced_store)
        {
            this->ask(now, true);
            this->ask(now, false);
            this->decide(now);
            return;
        }
        if (now.second == second_step::start_sent)
        {
            // On either worker.
            for (model_worker state::*chosen : {&state::one, &state::two})
            {
                state next = now;
                (next.*chosen).runs_attempt = next.seen_attempt + 1;
                next.second = second_step::done;
                this->visit(next);
            }
        }
    }

    void ask(state now, bool first_worker)
    {
        bool& asked = first_worker ? now.asked_one : now.asked_two;
        if (asked)
        {
            return;
        }
        asked = true;
        model_worker& worker = first_worker ? now.one : now.two;
        worker.bars_first = this->kept.workers_are_fenced;
        bool current = worker.runs_attempt == now.seen_attempt;
        now.found = now.found || current;
        if (!current)
        {
            // An attempt that was given up is stopped.
            worker.runs_attempt = 0;
        }
        this->visit(now);
    }

    void decide(state now)
    {
        bool all = now.asked_one && now.asked_two;
        if (!all && this->kept.decision_awaits_all_workers)
        {
            return;
        }
        now.second = now.found ? second_step::done : second_step::start_sent;
        this->visit(now);
    }

    rules kept;
    std::set<state> seen;
    bool broken = false;
};

} // namespace

Test(succession_model, no_interleaving_has_the_job_in_two_places)
{
    explorer all(rules{});
    cr_assert(not all.finds_two_places());
    cr_assert(all.states() > 30U);
}

Test(succession_model, without_journalled_attempts_there_is_one)
{
    rules kept;
    kept.attempts_are_journalled = false;
    cr_assert(explorer(kept).finds_two_places());
}

Test(succession_model, without_fences_at_the_workers_there_is_one)
{
    rules kept;
    kept.workers_are_fenced = false;
    cr_assert(explorer(kept).finds_two_places());
}

Test(succession_model, without_waiting_for_all_workers_there_is_one)
{
    rules kept;
    kept.decision_awaits_all_workers = false;
    cr_assert(explorer(kept).finds_two_places());
}
