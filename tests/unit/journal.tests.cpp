#include "toucanlever/control/journal.hpp"

#include "fake_table.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

/// A journal on a fake table service, with a manual clock.
class journal_fixture
{
public:
    journal_fixture()
    {
        this->table.set(journal::fence_row("a.s.1"), "{}");
        this->log = std::make_unique<journal>(this->loop, this->table, "a.s.1",
            1, journal_tuning{}, [this] { this->fenced = true; });
    }

    void advance(milliseconds span)
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
                this->job_of_append[id] = durable ? id : result.existing.job_id;
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
    std::map<std::string, std::string> job_of_append;
    bool fenced = false;
};

} // namespace

Test(journal, entries_under_load_share_one_transaction)
{
    journal_fixture fixture;
    for (int i = 0; i < 50; ++i)
    {
        fixture.accept("job-" + std::to_string(i));
    }
    fixture.advance(milliseconds(100));
    cr_assert(fixture.job_of_append.size() == 50U);
    cr_assert(fixture.batches() <= 2U);
}

Test(journal, a_lost_reply_is_resolved_by_a_retry_and_written_once)
{
    journal_fixture fixture;
    fixture.table.lose_answers = 3;
    fixture.accept("job-1");
    fixture.advance(milliseconds(30000));
    cr_assert(fixture.job_of_append["job-1"] == "job-1");
    cr_assert(fixture.batches() == 1U);
}

Test(journal, one_of_two_claims_of_a_key_wins_even_within_a_batch)
{
    journal_fixture fixture;
    fixture.accept("job-1", "slot-9");
    fixture.accept("job-2", "slot-9");
    fixture.advance(milliseconds(1000));
    cr_assert(fixture.job_of_append["job-1"] == "job-1");
    cr_assert(fixture.job_of_append["job-2"] == "job-1");
}

Test(journal, a_lost_reply_to_a_claim_does_not_look_like_a_duplicate)
{
    journal_fixture fixture;
    fixture.table.lose_answers = 1;
    fixture.accept("job-1", "slot-9");
    fixture.advance(milliseconds(30000));
    cr_assert(fixture.job_of_append["job-1"] == "job-1");
}

Test(journal, a_claimed_key_does_not_block_the_rest_of_its_batch)
{
    journal_fixture fixture;
    fixture.table.set(key_row("customer", "slot-9"), R"({"job_id":"other"})");
    fixture.accept("job-1");
    fixture.accept("job-2", "slot-9");
    fixture.accept("job-3");
    fixture.advance(milliseconds(1000));
    cr_assert(fixture.job_of_append["job-1"] == "job-1");
    cr_assert(fixture.job_of_append["job-2"] == "other");
    cr_assert(fixture.job_of_append["job-3"] == "job-3");
}

Test(journal, a_fenced_incarnation_appends_nothing_more)
{
    journal_fixture fixture;
    fixture.table.set(journal::fence_row("a.s.1"), R"({"state":"fenced"})");
    fixture.accept("job-1");
    fixture.advance(milliseconds(1000));
    cr_assert(fixture.fenced);
    cr_assert(fixture.job_of_append.empty());
    cr_assert(fixture.batches() == 0U);
}

Test(journal, an_outage_causes_backoff_and_order_is_kept)
{
    journal_fixture fixture;
    fixture.table.drop_requests = 1000;
    fixture.accept("job-1");
    fixture.advance(milliseconds(20000));
    cr_assert(fixture.log->is_store_unresponsive());
    cr_assert(fixture.table.attempts < 100);
    fixture.table.drop_requests = 0;
    fixture.accept("job-2");
    fixture.advance(milliseconds(5000));
    cr_assert(fixture.job_of_append.size() == 2U);
}
