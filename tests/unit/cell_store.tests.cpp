/// Tests of the classes that read and write the record store: submission,
/// completion journal, removal of rows, following a table, leader election.
#include "toucanlever/cell/completion_journal.hpp"
#include "toucanlever/cell/job_acceptor.hpp"
#include "toucanlever/cell/leadership.hpp"
#include "toucanlever/cell/record_follower.hpp"
#include "toucanlever/cell/row_cleaner.hpp"

#include "cell/cell_tables.hpp"
#include "fake_record_store.hpp"

#include "toucanlever/wire/codec.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#include <utility>

using namespace toucanlever;

namespace
{

/// An event loop on a manual clock, and a store.
class store_fixture
{
public:
    /// Advances the clock by `span`, in steps, and runs what becomes due.
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
    no_heartbeat heartbeat;
};

work_record make_job(std::string const& id)
{
    work_record record;
    record.id = id;
    record.steps.resize(1);
    return record;
}

void ignore_row(std::string const&, std::set<std::string> const&) {}

run_completion make_completion(std::uint32_t index)
{
    return {{{"job", 0, 0}, index}, 1, run_outcome::succeeded};
}

/// One instance that takes part in the election.
class candidate final : public leadership_listener
{
public:
    candidate(
        store_fixture& fixture, std::string const& name, double cpu_share = 1.0)
        : election(fixture.loop, fixture.store,
              leader_row{name, name + ".1", "127.0.0.1:1", 0, false}, cpu_share,
              *this)
    {
    }

    void on_elected(leader_proof const& new_proof) override
    {
        this->proof = new_proof;
    }
    void on_deposed(std::string const&) override { ++this->deposed; }
    void on_leader(std::optional<leader_row> const& found) override
    {
        this->leader = found ? found->name : "";
    }

    bool is_leader_unreachable() const override
    {
        return this->leader_unreachable;
    }

    leader_proof proof;
    bool leader_unreachable = false;
    int deposed = 0;
    std::string leader;
    leadership election;
};

} // namespace

Test(job_acceptor, submissions_during_a_transaction_go_into_the_next)
{
    store_fixture fixture;
    job_acceptor acceptor(fixture.loop, fixture.store, "node");
    int stored = 0;
    for (int i = 0; i < 10; ++i)
    {
        acceptor.accept(make_job("job-" + std::to_string(i)),
            milliseconds(1000),
            [&stored](accept_result const& result)
            { stored += result.outcome == accept_outcome::stored ? 1 : 0; });
    }
    fixture.pass(milliseconds(100));
    cr_assert(stored == 10);
    cr_assert(fixture.store.count(tables::jobs) == 10U);
}

Test(job_acceptor, a_job_that_is_stored_already_is_stored_once_and_accepted)
{
    store_fixture fixture;
    job_acceptor acceptor(fixture.loop, fixture.store, "node");
    std::vector<std::int64_t> versions;
    for (int i = 0; i < 2; ++i)
    {
        acceptor.accept(make_job("a"), milliseconds(1000),
            [&versions](accept_result const& result)
            {
                cr_assert(result.outcome == accept_outcome::stored);
                versions.push_back(result.version);
            });
        fixture.pass(milliseconds(100));
    }
    cr_assert(versions.size() == 2U);
    // Only the submission that inserted the job gets a version.
    cr_assert(versions[0] > 0);
    cr_assert(versions[1] == 0);
}

Test(job_acceptor, a_refused_submission_is_reported_at_once)
{
    store_fixture fixture;
    fixture.store.rejecting = true;
    job_acceptor acceptor(fixture.loop, fixture.store, "node");
    auto outcome = accept_outcome::unknown;
    acceptor.accept(make_job("a"), milliseconds(5000),
        [&outcome](accept_result const& result) { outcome = result.outcome; });
    cr_assert(outcome == accept_outcome::not_stored);
    cr_assert(acceptor.is_store_unavailable());
}

Test(job_acceptor, a_job_larger_than_a_batch_is_sent_once)
{
    store_fixture fixture;
    fixture.store.transaction_time = milliseconds(10);
    job_acceptor acceptor(fixture.loop, fixture.store, "node");
    work_record large = make_job("a");
    large.payload.assign(600'000, 'x');
    auto outcome = accept_outcome::unknown;
    acceptor.accept(large, milliseconds(1000),
        [&outcome](accept_result const& result) { outcome = result.outcome; });
    fixture.pass(milliseconds(1000));
    cr_assert(outcome == accept_outcome::stored);
    cr_assert(fixture.store.attempts == 1);
}

Test(job_acceptor, a_lost_answer_is_never_reported_as_not_stored)
{
    store_fixture fixture;
    fixture.store.lose_answers = 1;
    job_acceptor acceptor(fixture.loop, fixture.store, "node");
    int stored = 0;
    acceptor.accept(make_job("a"), milliseconds(5000),
        [&stored](accept_result const& result)
        { stored += result.outcome == accept_outcome::stored ? 1 : 0; });
    fixture.pass(milliseconds(500));
    cr_assert(stored == 1);
    cr_assert(fixture.store.count(tables::jobs) == 1U);
}

Test(job_acceptor, a_submission_in_doubt_at_its_deadline_is_unknown)
{
    store_fixture fixture;
    fixture.store.unavailable = true;
    job_acceptor acceptor(fixture.loop, fixture.store, "node");
    auto outcome = accept_outcome::stored;
    acceptor.accept(make_job("a"), milliseconds(800),
        [&outcome](accept_result const& result) { outcome = result.outcome; });
    fixture.pass(milliseconds(2000));
    cr_assert(outcome == accept_outcome::unknown);
    // A repeated submission must not get the answer that the job never runs.
    cr_assert(acceptor.is_in_doubt("a"));
    cr_assert_not(acceptor.is_in_doubt("b"));
}

Test(completion_journal, completions_under_load_share_one_transaction)
{
    store_fixture fixture;
    std::int64_t version = fixture.store.set(tables::leader_row_key(), "h");
    completion_journal journal(
        fixture.loop, fixture.store, {1, version}, fixture.heartbeat, [] {},
        ignore_row);
    int durable = 0;
    for (std::uint32_t i = 0; i < 50; ++i)
    {
        journal.append(make_completion(i), [&durable] { ++durable; });
    }
    fixture.pass(milliseconds(100));
    cr_assert(durable == 50);
    cr_assert(fixture.store.count(tables::journal) == 1U);
}

Test(completion_journal,
    an_entry_with_a_lost_answer_is_recognised_and_written_once)
{
    store_fixture fixture;
    std::int64_t version = fixture.store.set(tables::leader_row_key(), "h");
    completion_journal journal(
        fixture.loop, fixture.store, {1, version}, fixture.heartbeat, [] {},
        ignore_row);
    fixture.store.lose_answers = 1;
    int durable = 0;
    journal.append(make_completion(0), [&durable] { ++durable; });
    fixture.pass(milliseconds(1000));
    cr_assert(durable == 1);
    cr_assert(fixture.store.count(tables::journal) == 1U);
}

Test(completion_journal, rows_of_earlier_versions_are_read)
{
    // Three fields, without the one that crashes use.
    std::tuple entry{task_id{{"a", 0, 0}, 1}, 7, run_outcome::succeeded};
    auto entries = completion_journal::decode(pack(std::vector{entry}));
    cr_assert(entries.size() == 1U);
    cr_assert(entries[0].run == 7U);
    cr_assert(entries[0].outcome == run_outcome::succeeded);
    cr_assert_not(entries[0].isolated);
}

Test(completion_journal, a_replaced_scheduler_records_nothing)
{
    store_fixture fixture;
    std::int64_t version = fixture.store.set(tables::leader_row_key(), "h");
    bool replaced = false;
    completion_journal journal(
        fixture.loop, fixture.store, {1, version}, fixture.heartbeat,
        [&replaced] { replaced = true; }, ignore_row);
    fixture.store.set(tables::leader_row_key(), "another");
    int durable = 0;
    journal.append(make_completion(0), [&durable] { ++durable; });
    fixture.pass(milliseconds(1000));
    cr_assert(replaced);
    cr_assert(durable == 0);
    cr_assert(fixture.store.count(tables::journal) == 0U);
}

Test(row_cleaner, a_jobs_own_rows_are_removed_before_its_other_rows)
{
    store_fixture fixture;
    record_key const job = tables::job_row_key("node", "a");
    record_key const duplicate = tables::job_row_key("other", "a");
    record_key const cancel = tables::cancel_row_key("node", "a");
    record_key const journal_row{
        tables::journal, tables::scheduler_part, "1.1"};
    for (record_key const& at : {job, duplicate, cancel, journal_row})
    {
        fixture.store.set(at, "v");
    }
    row_cleaner cleaner(fixture.loop, fixture.store, leader_proof{}, [] {});
    cleaner.note_job_row("a", job);
    cleaner.note_job_row("a", duplicate);
    cleaner.note_cancel_row("a", cancel);
    cleaner.note_journal_row("1.1", {"a", "b"});
    cleaner.note_job_row("b", tables::job_row_key("node", "b"));
    cleaner.forget("a");
    fixture.store.unavailable = true;
    fixture.pass(milliseconds(1000));
    fixture.store.unavailable = false;
    for (int i = 0; i < 40; ++i)
    {
        fixture.pass(milliseconds(50));
        bool has_own_rows = fixture.store.find(job) != nullptr ||
                            fixture.store.find(duplicate) != nullptr;
        cr_assert(fixture.store.find(cancel) != nullptr || !has_own_rows);
    }
    cr_assert(fixture.store.find(job) == nullptr);
    cr_assert(fixture.store.find(duplicate) == nullptr);
    cr_assert(fixture.store.find(cancel) == nullptr);
    // The row has entries of another job, which is not forgotten yet.
    cr_assert(fixture.store.find(journal_row) != nullptr);
    cleaner.forget("b");
    fixture.pass(milliseconds(1000));
    cr_assert(fixture.store.find(journal_row) == nullptr);
}

// Guards against rows that pile up, and that can be read again, while jobs end
// faster than rows are removed.
Test(row_cleaner, rows_are_removed_as_fast_as_jobs_end)
{
    constexpr int jobs_per_second = 200;
    store_fixture fixture;
    row_cleaner cleaner(fixture.loop, fixture.store, leader_proof{}, [] {});
    for (int second = 0; second < 10; ++second)
    {
        for (int i = 0; i < jobs_per_second; ++i)
        {
            std::string const job = std::to_string(second * 1000 + i);
            // As many instances as on a site have accepted the jobs.
            record_key const row =
                tables::job_row_key("node-" + std::to_string(i % 6), job);
            std::string const journal_key = "1." + job;
            fixture.store.set(row, "v");
            fixture.store.set(
                {tables::journal, tables::scheduler_part, journal_key}, "v");
            cleaner.note_job_row(job, row);
            cleaner.note_journal_row(journal_key, {job});
            cleaner.forget(job);
        }
        fixture.pass(milliseconds(1000));
        cr_assert(cleaner.backlog() < jobs_per_second);
    }
    fixture.pass(milliseconds(1000));
    cr_assert(fixture.store.count(tables::jobs) == 0U);
    cr_assert(fixture.store.count(tables::journal) == 0U);
}

// Guards against a process that ends in the cleaner.
Test(row_cleaner, a_job_that_is_forgotten_twice_is_removed_once)
{
    store_fixture fixture;
    record_key const row = tables::job_row_key("node", "a");
    fixture.store.set(row, "v");
    row_cleaner cleaner(fixture.loop, fixture.store, leader_proof{}, [] {});
    cleaner.note_job_row("a", row);
    cleaner.forget("a");
    cleaner.forget("a");
    fixture.pass(milliseconds(1000));
    cr_assert(fixture.store.count(tables::jobs) == 0U);
    cr_assert(cleaner.backlog() == 0U);
}

Test(row_cleaner, a_job_is_remembered_until_its_removal_has_been_read)
{
    store_fixture fixture;
    record_key const row = tables::job_row_key("node", "a");
    std::int64_t const stored = fixture.store.set(row, "v");
    row_cleaner cleaner(fixture.loop, fixture.store, leader_proof{}, [] {});
    cleaner.note_job_row("a", row);
    cleaner.forget("a");
    cr_assert(cleaner.is_forgotten("a"));
    fixture.pass(milliseconds(1000));
    cr_assert(fixture.store.find(row) == nullptr);
    cleaner.note_jobs_read(stored);
    cr_assert(cleaner.is_forgotten("a"));
    // A read that began before the removal returns the row.
    cleaner.note_job_row("a", row);
    cleaner.note_jobs_read(fixture.store.version);
    cr_assert(cleaner.is_forgotten("a"));
    fixture.pass(milliseconds(1000));
    cleaner.note_jobs_read(fixture.store.version);
    cr_assert_not(cleaner.is_forgotten("a"));
}

// Guards against a successor that reads a job's row before it is removed and
// the journal after it was.
Test(row_cleaner, a_replaced_scheduler_removes_no_journal_row)
{
    store_fixture fixture;
    std::int64_t const elected =
        fixture.store.set(tables::leader_row_key(), "holder");
    record_key const row = tables::job_row_key("node", "a");
    record_key const journal_row{
        tables::journal, tables::scheduler_part, "1.1"};
    fixture.store.set(row, "v");
    fixture.store.set(journal_row, "v");
    int replaced = 0;
    row_cleaner cleaner(fixture.loop, fixture.store, leader_proof{1, elected},
        [&replaced] { ++replaced; });
    cleaner.note_job_row("a", row);
    cleaner.note_journal_row("1.1", {"a"});
    cleaner.forget("a");
    fixture.store.set(tables::leader_row_key(), "another");
    fixture.pass(milliseconds(3000));
    cr_assert(fixture.store.find(journal_row) != nullptr);
    cr_assert(replaced == 1);
}

namespace
{

/// Follows table "t" and keeps the keys of its snapshot.
class collecting_follower
{
public:
    explicit collecting_follower(store_fixture& fixture)
        : follower(fixture.loop, fixture.store, {"t", {}, {}, {}},
              [this](std::vector<record> const& rows, bool complete)
              {
                  for (record const& row : rows)
                  {
                      if (complete)
                      {
                          this->snapshot.insert(row.at.key);
                      }
                  }
              })
    {
    }

    std::set<std::string> snapshot;
    record_follower follower;
};

} // namespace

// Guards against a successor that finds a job without its cancellation.
Test(record_follower, a_snapshot_shows_all_rows_as_of_one_version)
{
    store_fixture fixture;
    fixture.store.page_size = 1;
    record_key const job{"t", "p", "a"};
    record_key const cancel{"t", "p", "a.cancel"};
    fixture.store.set(job, "v");
    fixture.store.set(cancel, "v");
    bool removed = false;
    fixture.store.on_read = [&](std::string const& from)
    {
        if (from.starts_with("a") && !std::exchange(removed, true))
        {
            auto ignore = [](change_result const&) {};
            fixture.store.commit({{}, {}, {job}}, milliseconds(0), ignore);
            fixture.store.commit({{}, {}, {cancel}}, milliseconds(0), ignore);
        }
    };
    collecting_follower collected(fixture);
    fixture.pass(milliseconds(100));
    cr_assert(removed);
    cr_assert(collected.follower.has_snapshot());
    cr_assert(collected.snapshot.empty());
}

Test(record_follower, a_part_that_gets_its_first_row_during_a_snapshot_is_read)
{
    store_fixture fixture;
    fixture.store.set({"t", "p", "a"}, "v");
    bool added = false;
    fixture.store.on_read = [&](std::string const& from)
    {
        // The parts have been listed when the first one is read.
        if (from.empty() && !std::exchange(added, true))
        {
            fixture.store.set({"t", "q", "b"}, "v");
        }
    };
    collecting_follower collected(fixture);
    fixture.pass(milliseconds(100));
    std::set<std::string> const expected{"a", "b"};
    cr_assert(added);
    cr_assert(collected.snapshot == expected);
}

Test(record_follower, reads_all_pages_then_follows_and_reads_again_when_lost)
{
    store_fixture fixture;
    fixture.store.page_size = 3;
    for (char key = 'a'; key < 'k'; ++key)
    {
        fixture.store.set({"t", "p", std::string(1, key)}, "v");
    }
    std::vector<std::size_t> whole;
    std::size_t changes = 0;
    record_follower follower(fixture.loop, fixture.store, {"t", {}, {}, {}},
        [&](std::vector<record> const& rows, bool complete)
        {
            complete ? whole.push_back(rows.size())
                     : static_cast<void>(changes += rows.size());
        });
    fixture.pass(milliseconds(100));
    cr_assert(whole.size() == 1U);
    cr_assert(whole[0] == 10U);
    fixture.store.set({"t", "q", "new"}, "v");
    fixture.pass(milliseconds(100));
    cr_assert(changes == 1U);
    fixture.store.history_lost = true;
    fixture.store.set({"t", "q", "newer"}, "v");
    fixture.pass(milliseconds(100));
    cr_assert(whole.size() == 2U);
    cr_assert(whole[1] == 12U);
}

Test(leadership, one_of_several_instances_is_elected)
{
    store_fixture fixture;
    candidate a(fixture, "a");
    candidate b(fixture, "b");
    candidate c(fixture, "c");
    fixture.pass(milliseconds(2000));
    int leaders = (a.election.is_leader() ? 1 : 0) +
                  (b.election.is_leader() ? 1 : 0) +
                  (c.election.is_leader() ? 1 : 0);
    cr_assert(leaders == 1);
}

Test(leadership, the_largest_instance_is_elected)
{
    store_fixture fixture;
    candidate small(fixture, "small", 0.12);
    candidate large(fixture, "large", 0.5);
    fixture.pass(milliseconds(2000));
    cr_assert(large.election.is_leader());
}

Test(leadership, a_leader_without_the_store_stops_starting_work_first)
{
    store_fixture fixture;
    candidate a(fixture, "a");
    fixture.pass(milliseconds(1000));
    cr_assert(a.election.may_start_work());
    fixture.store.unavailable = true;
    fixture.pass(milliseconds(1600));
    // Others claim the leader row 1,700 ms after the last heartbeat at the
    // earliest; the leader stops starting work before that.
    cr_assert_not(a.election.may_start_work());
}

Test(leadership, a_leader_keeps_its_lease_with_a_slow_store)
{
    // The store runs the transactions of a part one after the other, and the
    // journal alone uses up the whole rate of that part.
    store_fixture fixture;
    candidate a(fixture, "a");
    fixture.pass(milliseconds(1000));
    candidate b(fixture, "b");
    completion_journal journal(
        fixture.loop, fixture.store, a.proof, a.election, [] {}, ignore_row);
    fixture.store.transaction_time = milliseconds(500);
    for (std::uint32_t i = 0; i < 400; ++i)
    {
        journal.append(make_completion(i), [] {});
        fixture.pass(milliseconds(20));
        cr_assert(a.election.may_start_work());
    }
    cr_assert(a.election.is_leader());
    cr_assert_not(b.election.is_leader());
}

Test(leadership, the_row_is_taken_when_the_heartbeat_is_no_longer_renewed)
{
    store_fixture fixture;
    auto a = std::make_unique<candidate>(fixture, "a");
    fixture.pass(milliseconds(1000));
    cr_assert(a->proof.fencing_token == 1U);
    candidate b(fixture, "b");
    fixture.pass(milliseconds(1000));
    cr_assert_not(b.election.is_leader());
    a.reset();
    fixture.pass(milliseconds(4000));
    cr_assert(b.election.is_leader());
    cr_assert(b.proof.fencing_token == 2U);
}

Test(leadership, an_unreachable_leader_is_replaced_sooner)
{
    store_fixture fixture;
    auto a = std::make_unique<candidate>(fixture, "a");
    fixture.pass(milliseconds(1000));
    candidate b(fixture, "b");
    b.leader_unreachable = true;
    fixture.pass(milliseconds(1500));
    // The leader's heartbeats still arrive in the store, so it stays leader.
    cr_assert_not(b.election.is_leader());
    a.reset();
    fixture.pass(milliseconds(1400));
    cr_assert(b.election.is_leader());
}

Test(leadership, a_leader_that_resigns_is_replaced_at_once)
{
    store_fixture fixture;
    candidate a(fixture, "a");
    fixture.pass(milliseconds(1000));
    candidate b(fixture, "b");
    fixture.pass(milliseconds(500));
    a.election.resign([] {});
    fixture.pass(milliseconds(600));
    cr_assert(b.election.is_leader());
    cr_assert_not(a.election.is_leader());
    cr_assert(a.deposed == 1);
}

Test(leadership, a_leader_finds_out_that_it_was_replaced)
{
    store_fixture fixture;
    candidate a(fixture, "a");
    fixture.pass(milliseconds(1000));
    leader_row other{"z", "z.1", "127.0.0.1:2", 9, false};
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, other);
    fixture.store.set(
        tables::leader_row_key(), std::string(buffer.data(), buffer.size()));
    fixture.pass(milliseconds(500));
    cr_assert_not(a.election.is_leader());
    cr_assert(a.leader == "z");
}
