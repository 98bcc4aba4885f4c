#include "toucanlever/control/journal_compactor.hpp"

#include "fake_table.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <set>

using namespace toucanlever;

namespace
{

/// Jobs that a test accepts and forgets; what is durable must always name all
/// that are kept.
class kept_jobs final : public journal_entry_source
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

class cleaner_bench
{
public:
    cleaner_bench() { this->table.set(journal::fence_row("a.s.1"), "{}"); }

    void pass(milliseconds span)
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
        this->pass(milliseconds(50));
    }

    /// One job after another, each forgotten at once.
    void churn(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            this->accept("done-" + std::to_string(this->next++), false);
        }
    }

    std::set<std::string> durable_jobs() const
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

    bool all_kept_are_durable() const
    {
        auto durable = this->durable_jobs();
        return std::all_of(this->jobs.ids.begin(), this->jobs.ids.end(),
            [&durable](std::string const& id)
            { return durable.count(id) > 0; });
    }

    manual_clock time;
    event_loop loop{this->time};
    fake_table table;
    kept_jobs jobs;
    int next = 0;
    journal log{this->loop, this->table, "a.s.1", 1, journal_tuning{}, [] {}};
    journal_compactor cleaner{this->loop, this->log, this->jobs};
};

} // namespace

Test(journal_compactor, keeps_the_journal_in_proportion_to_what_counts)
{
    cleaner_bench bench;
    bench.accept("kept");
    bench.churn(3000);
    bench.pass(milliseconds(5000));

    cr_assert(lt(sz, bench.table.rows.size(), 400));
    cr_assert(bench.durable_jobs().count("kept") == 1U);
}

Test(journal_compactor, leaves_a_short_journal_alone)
{
    cleaner_bench bench;
    bench.churn(100);
    bench.pass(milliseconds(5000));

    cr_assert(eq(u64, bench.log.committed_batches(), 100));
}

Test(journal_compactor, keeps_the_workers_on_which_tasks_may_have_started)
{
    cleaner_bench bench;
    journal_entry seen;
    seen.event = journal_event::worker_seen;
    seen.worker = "w01";
    bench.log.append(seen, [](append_result const&) {});
    bench.churn(3000);
    bench.pass(milliseconds(5000));

    cr_assert(bench.durable_jobs().count("w01") == 1U);
}

Test(journal_compactor, loses_no_kept_job_at_any_commit_while_answers_get_lost)
{
    cleaner_bench bench;
    bool complete = true;
    int commits = 0;
    bench.table.before_commit = [&](transaction const& work)
    {
        // Reading all rows takes time: at each deletion and now and then.
        bool look = !work.deletes.empty() || ++commits % 20 == 0;
        complete = complete && (!look || bench.all_kept_are_durable());
    };

    for (int round = 0; round < 40; ++round)
    {
        bench.accept("kept-" + std::to_string(round));
        bench.table.lose_answers = round % 3;
        bench.churn(50);
    }
    bench.pass(milliseconds(60000));

    cr_assert(complete);
    cr_assert(bench.all_kept_are_durable());
    cr_assert(lt(sz, bench.table.rows.size(), 400));
}
