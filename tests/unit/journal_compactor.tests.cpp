#include "toucanlever/control/journal_compactor.hpp"

#include "fake_table.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <set>

using namespace toucanlever;

namespace
{

/// Jobs that a test accepts and removes. The durable journal must always
/// contain all retained jobs.
class retained_jobs final : public journal_entry_source
{
public:
    std::vector<journal_entry> entries_of_job(
        std::string const& job_id) const override
    {
        if (this->ids.count(job_id) == 0)
        {
            return {};
        }
        journal_entry entry;
        entry.job_id = job_id;
        return {entry};
    }

    std::size_t job_count() const override { return this->ids.size(); }

    std::set<std::string> ids;
};

class compactor_fixture
{
public:
    compactor_fixture() { this->table.set(journal::fence_row("a.s.1"), "{}"); }

    void advance(milliseconds span)
    {
        for (auto done = milliseconds(0); done < span; done += milliseconds(50))
        {
            this->time.advance(milliseconds(50));
            this->loop.run_ready();
        }
    }

    void accept(std::string const& id, bool kept = true)
    {
        journal_entry entry;
        entry.job_id = id;
        this->log.append(entry,
            [this, id, kept](append_result const&)
            {
                if (kept)
                {
                    this->jobs.ids.insert(id);
                }
            });
        this->advance(milliseconds(50));
    }

    /// Accepts jobs one after another, none of which is retained.
    void accept_and_remove(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            this->accept("done-" + std::to_string(this->next++), false);
        }
    }

    std::set<std::string> durable_subjects() const
    {
        std::set<std::string> found;
        for (auto const& row : this->table.rows)
        {
            if (row.first.rfind("journal/", 0) != 0)
            {
                continue;
            }
            for (auto const& entry : nlohmann::json::parse(row.second.value))
            {
                found.insert(entry.value("job_id", entry.value("worker", "")));
            }
        }
        return found;
    }

    bool all_retained_are_durable() const
    {
        auto durable = this->durable_subjects();
        return std::all_of(this->jobs.ids.begin(), this->jobs.ids.end(),
            [&durable](std::string const& id)
            { return durable.count(id) > 0; });
    }

    manual_clock time;
    event_loop loop{this->time};
    fake_table table;
    retained_jobs jobs;
    int next = 0;
    journal log{this->loop, this->table, "a.s.1", 1, journal_tuning{}, [] {}};
    journal_compactor compactor{this->loop, this->log, this->jobs};
};

} // namespace

Test(journal_compactor, keeps_the_journal_size_proportional_to_live_entries)
{
    compactor_fixture fixture;
    fixture.accept("kept");
    fixture.accept_and_remove(3000);
    fixture.advance(milliseconds(5000));

    cr_assert(lt(sz, fixture.table.rows.size(), 400));
    cr_assert(fixture.durable_subjects().count("kept") == 1U);
}

Test(journal_compactor, leaves_a_short_journal_alone)
{
    compactor_fixture fixture;
    fixture.accept_and_remove(100);
    fixture.advance(milliseconds(5000));

    cr_assert(eq(u64, fixture.log.committed_batches(), 100));
}

Test(journal_compactor, keeps_the_workers_on_which_tasks_may_have_started)
{
    compactor_fixture fixture;
    journal_entry seen;
    seen.event = journal_event::worker_seen;
    seen.worker = "w01";
    fixture.log.append(seen, [](append_result const&) {});
    fixture.accept_and_remove(3000);
    fixture.advance(milliseconds(5000));

    cr_assert(fixture.durable_subjects().count("w01") == 1U);
}

Test(journal_compactor,
    loses_no_retained_job_at_any_commit_while_replies_get_lost)
{
    compactor_fixture fixture;
    bool complete = true;
    int commits = 0;
    fixture.table.before_commit = [&](transaction const& work)
    {
        // Reading all rows is slow: check at each deletion and at every 20th
        // other commit.
        bool should_check = !work.deletes.empty() || ++commits % 20 == 0;
        complete =
            complete && (!should_check || fixture.all_retained_are_durable());
    };

    for (int round = 0; round < 40; ++round)
    {
        fixture.accept("kept-" + std::to_string(round));
        fixture.table.lose_answers = round % 3;
        fixture.accept_and_remove(50);
    }
    fixture.advance(milliseconds(60000));

    cr_assert(complete);
    cr_assert(fixture.all_retained_are_durable());
    cr_assert(lt(sz, fixture.table.rows.size(), 400));
}
