#include "toucanlever/control/journal.hpp"

#include "fake_table.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

/// A journal over the fake table, on a clock that stands still.
class journal_bench
{
public:
    journal_bench()
    {
        this->table.set(journal::fence_row("a.s.1"), "{}");
        this->log = std::make_unique<journal>(this->loop, this->table, "a.s.1",
            1, journal_tuning{}, [this] { this->fenced = true; });
    }

    void pass(milliseconds span)
    {
        for (int i = 0; i < 20; ++i)
        {
            this->time.advance(span / 20);
            this->loop.run_ready();
        }
    }

    void accept(std::string const& id, std::string const& key = {})
    {
        journal_entry entry;
        entry.job_id = id;
        key_claim claim;
        claim.row = key.empty() ? "" : key_row("customer", key);
        claim.record.job_id = id;
        this->log->append_with_key(entry, claim,
            [this, id](append_result const& result)
            {
                bool durable = result.outcome == append_outcome::durable;
                this->told[id] = durable ? id : result.existing.job_id;
            });
    }

    std::size_t batches() const
    {
        std::size_t count = 0;
        for (auto const& entry : this->table.rows)
        {
            count += entry.first.rfind("journal/", 0) == 0;
        }
        return count;
    }

    manual_clock time;
    event_loop loop{this->time};
    fake_table table;
    std::unique_ptr<journal> log;
    std::map<std::string, std::string> told;
    bool fenced = false;
};

} // namespace

Test(journal, entries_under_load_share_one_transaction)
{
    journal_bench bench;
    for (int i = 0; i < 50; ++i)
    {
        bench.accept("job-" + std::to_string(i));
    }
    bench.pass(milliseconds(100));
    cr_assert(bench.told.size() == 50U);
    cr_assert(bench.batches() <= 2U);
}

Test(journal, a_lost_answer_is_settled_by_asking_again_and_written_once)
{
    journal_bench bench;
    bench.table.lose_answers = 3;
    bench.accept("job-1");
    bench.pass(milliseconds(30000));
    cr_assert(bench.told["job-1"] == "job-1");
    cr_assert(bench.batches() == 1U);
}

Test(journal, one_of_two_claims_of_a_key_wins_even_within_a_batch)
{
    journal_bench bench;
    bench.accept("job-1", "slot-9");
    bench.accept("job-2", "slot-9");
    bench.pass(milliseconds(1000));
    cr_assert(bench.told["job-1"] == "job-1");
    cr_assert(bench.told["job-2"] == "job-1");
}

Test(journal, a_lost_answer_to_a_claim_does_not_look_like_a_duplicate)
{
    journal_bench bench;
    bench.table.lose_answers = 1;
    bench.accept("job-1", "slot-9");
    bench.pass(milliseconds(30000));
    cr_assert(bench.told["job-1"] == "job-1");
}

Test(journal, a_taken_key_does_not_hold_up_the_rest_of_its_batch)
{
    journal_bench bench;
    bench.table.set(key_row("customer", "slot-9"), R"({"job_id":"other"})");
    bench.accept("job-1");
    bench.accept("job-2", "slot-9");
    bench.accept("job-3");
    bench.pass(milliseconds(1000));
    cr_assert(bench.told["job-1"] == "job-1");
    cr_assert(bench.told["job-2"] == "other");
    cr_assert(bench.told["job-3"] == "job-3");
}

Test(journal, a_fenced_incarnation_appends_nothing_more)
{
    journal_bench bench;
    bench.table.set(journal::fence_row("a.s.1"), R"({"state":"fenced"})");
    bench.accept("job-1");
    bench.pass(milliseconds(1000));
    cr_assert(bench.fenced);
    cr_assert(bench.told.empty());
    cr_assert(bench.batches() == 0U);
}

Test(journal, an_outage_is_met_with_backoff_and_order_is_kept)
{
    journal_bench bench;
    bench.table.drop_requests = 1000;
    bench.accept("job-1");
    bench.pass(milliseconds(20000));
    cr_assert(bench.log->is_store_unresponsive());
    cr_assert(bench.table.attempts < 100);
    bench.table.drop_requests = 0;
    bench.accept("job-2");
    bench.pass(milliseconds(5000));
    cr_assert(bench.told.size() == 2U);
}
