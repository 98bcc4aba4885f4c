/// The jobs that a scheduler finds when its term begins.
#include "toucanlever/cell/job_snapshot.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

/// Reads rows whose value begins with the time of their job's acceptance.
class snapshot_fixture
{
public:
    void read(std::vector<record> rows)
    {
        this->snapshot = std::make_unique<job_snapshot>(
            this->loop, std::move(rows),
            [this](record const& row)
            {
                this->decoded_in_turn += row.value.size();
                work_record job;
                job.id = row.at.key;
                job.accepted_ms = std::atoll(row.value.c_str());
                job.steps.resize(this->steps_of_job);
                return job.id == "ignored" ? std::nullopt : std::optional(job);
            },
            [this](work_record const& job, std::int64_t version)
            {
                this->added_in_turn += job.steps.size();
                this->added.emplace_back(job.id, version);
            },
            [this] { ++this->done; });
        this->snapshot->start();
    }

    /// Runs the loop until the jobs were added; returns the number of turns.
    int run()
    {
        int turns = 0;
        while (this->done == 0)
        {
            this->most_decoded =
                std::max(this->most_decoded, this->decoded_in_turn);
            this->most_added = std::max(this->most_added, this->added_in_turn);
            this->decoded_in_turn = 0;
            this->added_in_turn = 0;
            this->time.advance(milliseconds(1));
            this->loop.run_ready();
            ++turns;
        }
        return turns;
    }

    manual_clock time;
    event_loop loop{this->time};
    std::unique_ptr<job_snapshot> snapshot;
    std::size_t steps_of_job = 1;
    std::size_t decoded_in_turn = 0;
    std::size_t added_in_turn = 0;
    std::size_t most_decoded = 0;
    std::size_t most_added = 0;
    std::vector<std::pair<std::string, std::int64_t>> added;
    int done = 0;
};

} // namespace

// Guards against entitlements that are measured in the order of the keys, and
// against a pause where there is little to read.
Test(job_snapshot, a_few_jobs_are_added_at_once_in_the_order_of_acceptance)
{
    snapshot_fixture fixture;
    fixture.read({{{"jobs", "p", "b"}, "30", 7, false},
        {{"jobs", "p", "ignored"}, "10", 8, false},
        {{"jobs", "p", "c"}, "20", 9, false}});
    std::vector<std::pair<std::string, std::int64_t>> const expected{
        {"c", 9}, {"b", 7}};
    cr_assert(fixture.added == expected);
    cr_assert(fixture.done == 1);
}

// Guards against a leader that stands still while it reads many or large jobs.
Test(job_snapshot, many_jobs_are_read_in_parts_of_limited_size)
{
    snapshot_fixture fixture;
    fixture.steps_of_job = 300;
    constexpr std::size_t jobs = 40;
    constexpr std::size_t row_bytes = 30000;
    std::vector<record> rows;
    for (std::size_t i = 0; i < jobs; ++i)
    {
        std::string value = std::to_string(jobs - i) + ' ';
        value.resize(row_bytes, 'x');
        rows.push_back(
            {{"jobs", "p", "job" + std::to_string(i)}, value, 1, false});
    }
    fixture.read(std::move(rows));
    cr_assert(fixture.done == 0);
    int const turns = fixture.run();
    cr_assert(turns >= 20, "%d", turns);
    cr_assert(fixture.most_decoded <= job_snapshot::bytes_per_part + row_bytes);
    cr_assert(fixture.most_added <= job_snapshot::steps_per_part + 300);
    cr_assert(fixture.done == 1);
    cr_assert(fixture.added.size() == jobs);
    cr_assert(fixture.added.front().first == "job39");
    cr_assert(fixture.added.back().first == "job0");
}

// Guards against a former leader that goes on reading.
Test(job_snapshot, nothing_is_read_after_its_destruction)
{
    snapshot_fixture fixture;
    std::vector<record> rows;
    for (int i = 0; i < 3; ++i)
    {
        rows.push_back({{"jobs", "p", "job" + std::to_string(i)},
            std::string(job_snapshot::bytes_per_part, '1'), 1, false});
    }
    fixture.read(std::move(rows));
    fixture.snapshot.reset();
    std::size_t const decoded = fixture.decoded_in_turn;
    fixture.time.advance(milliseconds(10));
    fixture.loop.run_ready();
    cr_assert(fixture.decoded_in_turn == decoded);
    cr_assert(fixture.added.empty());
}
