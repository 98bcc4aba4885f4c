/// What is written to the record store: submissions, ends, and who is active.
#include "toucanlever/cell/completion_journal.hpp"
#include "toucanlever/cell/job_acceptor.hpp"
#include "toucanlever/cell/leadership.hpp"
#include "toucanlever/cell/record_follower.hpp"
#include "toucanlever/cell/row_cleaner.hpp"

#include "cell/cell_tables.hpp"
#include "fake_record_store.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

/// A loop on a clock that stands still, and a store.
class store_bench
{
public:
    void pass(milliseconds span)
    {
        constexpr int steps = 20;
        for (int i = 0; i < steps; ++i)
        {
            this->time.advance(span / steps);
            this->loop.run_ready();
        }
    }

    manual_clock time;
    event_loop loop{this->time};
    fake_record_store store{this->loop};
    no_heartbeat beat;
};

work_record make_job(std::string const& id)
{
    work_record record;
    record.id = id;
    record.steps.resize(1);
    return record;
}

void ignore_row(std::string const&, std::set<std::string> const&) {}

run_completion make_end(std::uint32_t index)
{
    return {{{"job", 0, 0}, index}, 1, run_outcome::succeeded};
}

/// One instance in an election.
class candidate final : public leadership_listener
{
public:
    candidate(
        store_bench& bench, std::string const& name, double cpu_share = 1.0)
        : part(bench.loop, bench.store,
              leader_row{name, name + ".1", "127.0.0.1:1", 0, false}, cpu_share,
              *this)
    {
    }

    void on_elected(leader_proof const& won) override { this->proof = won; }
    void on_deposed(std::string const&) override { ++this->deposed; }
    void on_leader(std::optional<leader_row> const& found) override
    {
        this->leader = found ? found->name : "";
    }

    bool is_leader_unreachable() const override { return this->cut_off; }

    leader_proof proof;
    bool cut_off = false;
    int deposed = 0;
    std::string leader;
    leadership part;
};

} // namespace

Test(job_acceptor, what_arrives_during_a_transaction_goes_into_the_next)
{
    store_bench bench;
    job_acceptor acceptor(bench.loop, bench.store, "node");
    int stored = 0;
    for (int i = 0; i < 10; ++i)
    {
        acceptor.accept(make_job("job-" + std::to_string(i)),
            milliseconds(1000),
            [&stored](accept_result const& result)
            { stored += result.outcome == accept_outcome::stored ? 1 : 0; });
    }
    bench.pass(milliseconds(100));
    cr_assert(stored == 10);
    cr_assert(bench.store.count(tables::jobs) == 10U);
}

Test(job_acceptor, a_job_that_is_there_already_is_stored_once_and_accepted)
{
    store_bench bench;
    job_acceptor acceptor(bench.loop, bench.store, "node");
    std::vector<std::int64_t> versions;
    for (int i = 0; i < 2; ++i)
    {
        acceptor.accept(make_job("a"), milliseconds(1000),
            [&versions](accept_result const& result)
            {
                cr_assert(result.outcome == accept_outcome::stored);
                versions.push_back(result.version);
            });
        bench.pass(milliseconds(100));
    }
    cr_assert(versions.size() == 2U);
    // Only the submission that inserted it has something to announce.
    cr_assert(versions[0] > 0);
    cr_assert(versions[1] == 0);
}

Test(job_acceptor, a_refused_submission_is_told_so_at_once)
{
    store_bench bench;
    bench.store.rejecting = true;
    job_acceptor acceptor(bench.loop, bench.store, "node");
    auto outcome = accept_outcome::unknown;
    acceptor.accept(make_job("a"), milliseconds(5000),
        [&outcome](accept_result const& result) { outcome = result.outcome; });
    cr_assert(outcome == accept_outcome::not_stored);
    cr_assert(acceptor.is_store_unavailable());
}

Test(job_acceptor, a_lost_answer_is_never_called_not_stored)
{
    store_bench bench;
    bench.store.lose_answers = 1;
    job_acceptor acceptor(bench.loop, bench.store, "node");
    int stored = 0;
    acceptor.accept(make_job("a"), milliseconds(5000),
        [&stored](accept_result const& result)
        { stored += result.outcome == accept_outcome::stored ? 1 : 0; });
    bench.pass(milliseconds(500));
    cr_assert(stored == 1);
    cr_assert(bench.store.count(tables::jobs) == 1U);
}

Test(job_acceptor, what_stays_in_doubt_until_its_end_is_unknown)
{
    store_bench bench;
    bench.store.unavailable = true;
    job_acceptor acceptor(bench.loop, bench.store, "node");
    auto outcome = accept_outcome::stored;
    acceptor.accept(make_job("a"), milliseconds(800),
        [&outcome](accept_result const& result) { outcome = result.outcome; });
    bench.pass(milliseconds(2000));
    cr_assert(outcome == accept_outcome::unknown);
    // A repeat must not be told that the job never runs.
    cr_assert(acceptor.is_in_doubt("a"));
    cr_assert_not(acceptor.is_in_doubt("b"));
}

Test(completion_journal, ends_under_load_share_one_transaction)
{
    store_bench bench;
    std::int64_t version = bench.store.set(tables::leader_row_key(), "h");
    completion_journal journal(
        bench.loop, bench.store, {1, version}, bench.beat, [] {}, ignore_row);
    int durable = 0;
    for (std::uint32_t i = 0; i < 50; ++i)
    {
        journal.append(make_end(i), [&durable] { ++durable; });
    }
    bench.pass(milliseconds(100));
    cr_assert(durable == 50);
    cr_assert(bench.store.count(tables::journal) == 1U);
}

Test(completion_journal, a_lost_answer_is_recognised_and_written_once)
{
    store_bench bench;
    std::int64_t version = bench.store.set(tables::leader_row_key(), "h");
    completion_journal journal(
        bench.loop, bench.store, {1, version}, bench.beat, [] {}, ignore_row);
    bench.store.lose_answers = 1;
    int durable = 0;
    journal.append(make_end(0), [&durable] { ++durable; });
    bench.pass(milliseconds(1000));
    cr_assert(durable == 1);
    cr_assert(bench.store.count(tables::journal) == 1U);
}

Test(completion_journal, a_replaced_scheduler_records_nothing)
{
    store_bench bench;
    std::int64_t version = bench.store.set(tables::leader_row_key(), "h");
    bool replaced = false;
    completion_journal journal(
        bench.loop, bench.store, {1, version}, bench.beat,
        [&replaced] { replaced = true; }, ignore_row);
    bench.store.set(tables::leader_row_key(), "another");
    int durable = 0;
    journal.append(make_end(0), [&durable] { ++durable; });
    bench.pass(milliseconds(1000));
    cr_assert(replaced);
    cr_assert(durable == 0);
    cr_assert(bench.store.count(tables::journal) == 0U);
}

Test(row_cleaner, a_jobs_own_rows_go_before_what_proves_its_end)
{
    store_bench bench;
    record_key const job = tables::job_row_key("node", "a");
    record_key const again = tables::job_row_key("other", "a");
    record_key const cancel = tables::cancel_row_key("node", "a");
    record_key const row{tables::journal, tables::scheduler_part, "1.1"};
    for (record_key const& at : {job, again, cancel, row})
    {
        bench.store.set(at, "v");
    }
    row_cleaner cleaner(bench.loop, bench.store);
    cleaner.note_job_row("a", job);
    cleaner.note_job_row("a", again);
    cleaner.note_cancel_row("a", cancel);
    cleaner.note_journal_row("1.1", {"a", "b"});
    cleaner.note_job_row("b", tables::job_row_key("node", "b"));
    cleaner.forget("a");
    bench.store.unavailable = true;
    bench.pass(milliseconds(1000));
    bench.store.unavailable = false;
    for (int i = 0; i < 40; ++i)
    {
        bench.pass(milliseconds(50));
        bool own = bench.store.find(job) != nullptr ||
                   bench.store.find(again) != nullptr;
        cr_assert(bench.store.find(cancel) != nullptr || !own);
    }
    cr_assert(bench.store.find(job) == nullptr);
    cr_assert(bench.store.find(again) == nullptr);
    cr_assert(bench.store.find(cancel) == nullptr);
    // Another job of the row has not been forgotten.
    cr_assert(bench.store.find(row) != nullptr);
    cleaner.forget("b");
    bench.pass(milliseconds(1000));
    cr_assert(bench.store.find(row) == nullptr);
}

Test(record_follower, reads_all_pages_then_follows_and_reads_again_when_lost)
{
    store_bench bench;
    bench.store.page_size = 3;
    for (char key = 'a'; key < 'k'; ++key)
    {
        bench.store.set({"t", "p", std::string(1, key)}, "v");
    }
    std::vector<std::size_t> whole;
    std::size_t changes = 0;
    record_follower follower(bench.loop, bench.store, {"t", {}, {}, {}},
        [&](std::vector<record> const& rows, bool complete)
        {
            complete ? whole.push_back(rows.size())
                     : static_cast<void>(changes += rows.size());
        });
    bench.pass(milliseconds(100));
    cr_assert(whole.size() == 1U);
    cr_assert(whole[0] == 10U);
    bench.store.set({"t", "q", "new"}, "v");
    bench.pass(milliseconds(100));
    cr_assert(changes == 1U);
    bench.store.history_lost = true;
    bench.store.set({"t", "q", "newer"}, "v");
    bench.pass(milliseconds(100));
    cr_assert(whole.size() == 2U);
    cr_assert(whole[1] == 12U);
}

Test(leadership, one_of_several_instances_is_elected)
{
    store_bench bench;
    candidate a(bench, "a");
    candidate b(bench, "b");
    candidate c(bench, "c");
    bench.pass(milliseconds(2000));
    int holders = (a.part.is_leader() ? 1 : 0) + (b.part.is_leader() ? 1 : 0) +
                  (c.part.is_leader() ? 1 : 0);
    cr_assert(holders == 1);
}

Test(leadership, the_largest_instance_is_elected)
{
    store_bench bench;
    candidate small(bench, "small", 0.12);
    candidate large(bench, "large", 0.5);
    bench.pass(milliseconds(2000));
    cr_assert(large.part.is_leader());
}

Test(leadership, a_holder_without_the_store_stops_starting_work_first)
{
    store_bench bench;
    candidate a(bench, "a");
    bench.pass(milliseconds(1000));
    cr_assert(a.part.may_start_work());
    bench.store.unavailable = true;
    bench.pass(milliseconds(1600));
    // Others take the row 1,700 ms after its last beat at the earliest.
    cr_assert_not(a.part.may_start_work());
}

Test(leadership, a_slow_store_leaves_a_holder_its_permission)
{
    // Of a part of the store, which makes one transaction after the other,
    // the journal alone takes all that there is.
    store_bench bench;
    candidate a(bench, "a");
    bench.pass(milliseconds(1000));
    candidate b(bench, "b");
    completion_journal journal(
        bench.loop, bench.store, a.proof, a.part, [] {}, ignore_row);
    bench.store.transaction_time = milliseconds(500);
    for (std::uint32_t i = 0; i < 400; ++i)
    {
        journal.append(make_end(i), [] {});
        bench.pass(milliseconds(20));
        cr_assert(a.part.may_start_work());
    }
    cr_assert(a.part.is_leader());
    cr_assert_not(b.part.is_leader());
}

Test(leadership, the_row_is_taken_when_the_beat_stands_still)
{
    store_bench bench;
    auto a = std::make_unique<candidate>(bench, "a");
    bench.pass(milliseconds(1000));
    cr_assert(a->proof.fencing_token == 1U);
    candidate b(bench, "b");
    bench.pass(milliseconds(1000));
    cr_assert_not(b.part.is_leader());
    a.reset();
    bench.pass(milliseconds(4000));
    cr_assert(b.part.is_leader());
    cr_assert(b.proof.fencing_token == 2U);
}

Test(leadership, an_unreachable_holder_is_followed_sooner)
{
    store_bench bench;
    auto a = std::make_unique<candidate>(bench, "a");
    bench.pass(milliseconds(1000));
    candidate b(bench, "b");
    b.cut_off = true;
    bench.pass(milliseconds(1500));
    // Its beats are seen, so it holds the row rightly.
    cr_assert_not(b.part.is_leader());
    a.reset();
    bench.pass(milliseconds(1400));
    cr_assert(b.part.is_leader());
}

Test(leadership, a_holder_that_resigns_is_followed_at_once)
{
    store_bench bench;
    candidate a(bench, "a");
    bench.pass(milliseconds(1000));
    candidate b(bench, "b");
    bench.pass(milliseconds(500));
    a.part.resign([] {});
    bench.pass(milliseconds(600));
    cr_assert(b.part.is_leader());
    cr_assert_not(a.part.is_leader());
    cr_assert(a.deposed == 1);
}

Test(leadership, a_holder_finds_out_that_it_was_replaced)
{
    store_bench bench;
    candidate a(bench, "a");
    bench.pass(milliseconds(1000));
    leader_row other{"z", "z.1", "127.0.0.1:2", 9, false};
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, other);
    bench.store.set(
        tables::leader_row_key(), std::string(buffer.data(), buffer.size()));
    bench.pass(milliseconds(500));
    cr_assert_not(a.part.is_leader());
    cr_assert(a.leader == "z");
}
