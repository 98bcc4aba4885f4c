#include "toucanlever/cell/job_snapshot.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

/// Long enough for the event loop to handle what is due, such as a heartbeat.
constexpr milliseconds pause{1};

} // namespace

void sort_by_acceptance(versioned_jobs& jobs)
{
    std::stable_sort(jobs.begin(), jobs.end(),
        [](auto const& left, auto const& right)
        { return left.first.accepted_ms < right.first.accepted_ms; });
}

job_snapshot::job_snapshot(event_loop& loop, std::vector<record> rows,
    decoder decode, adder add, std::function<void()> done)
    : loop(loop)
    , rows(std::move(rows))
    , decode(std::move(decode))
    , add(std::move(add))
    , done(std::move(done))
{
}

job_snapshot::~job_snapshot()
{
    this->loop.cancel(this->timer);
}

void job_snapshot::continue_with(void (job_snapshot::*step)())
{
    this->timer = this->loop.after(pause, [this, step] { (this->*step)(); });
}

void job_snapshot::decode_part()
{
    std::size_t bytes = 0;
    while (this->next_row < this->rows.size() && bytes < bytes_per_part)
    {
        record const& row = this->rows[this->next_row];
        if (auto job = this->decode(row))
        {
            this->jobs.emplace_back(std::move(*job), row.version);
        }
        bytes += row.value.size();
        ++this->next_row;
    }
    if (this->next_row < this->rows.size())
    {
        this->continue_with(&job_snapshot::decode_part);
        return;
    }
    this->rows.clear();
    sort_by_acceptance(this->jobs);
    if (bytes >= bytes_per_part)
    {
        this->continue_with(&job_snapshot::add_part);
        return;
    }
    this->add_part();
}

void job_snapshot::add_part()
{
    std::size_t steps = 0;
    while (this->next_job < this->jobs.size() && steps < steps_per_part)
    {
        auto& [job, version] = this->jobs[this->next_job];
        steps += job.steps.size();
        ++this->next_job;
        this->add(std::move(job), version);
    }
    if (this->next_job < this->jobs.size())
    {
        this->continue_with(&job_snapshot::add_part);
        return;
    }
    this->jobs.clear();
    this->done();
}

} // namespace toucanlever
