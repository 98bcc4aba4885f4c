/// Queries that wait for the outcome of a job.
#include "toucanlever/cell/waiting_queries.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

struct query_fixture
{
    void add(milliseconds wait)
    {
        this->queries.add("a", wait,
            [this](lookup_result const& result)
            { this->answers.push_back(result.state); });
    }

    void run_for(milliseconds duration)
    {
        this->time.advance(duration);
        this->loop.run_ready();
    }

    manual_clock time;
    event_loop loop{this->time};
    lookup_result found{lookup_outcome::found, work_state::running};
    std::vector<work_state> answers;
    waiting_queries queries{
        this->loop, [this](std::string const&) { return this->found; }};
};

} // namespace

// Guards against a query that outlives its wait, or the limit of waits.
Test(waiting_queries, answers_after_the_wait_and_after_a_second_at_most)
{
    query_fixture fixture;
    fixture.add(milliseconds(100));
    fixture.add(milliseconds(600000));
    cr_assert(fixture.answers.empty());
    fixture.run_for(milliseconds(110));
    cr_assert(fixture.answers == std::vector{work_state::running});
    fixture.run_for(milliseconds(900));
    cr_assert(fixture.answers.size() == 2U);
}

// Guards against waiting for what cannot change, and memory without a bound.
Test(waiting_queries, answers_at_once_when_waiting_is_of_no_use_or_too_costly)
{
    query_fixture fixture;
    fixture.add(milliseconds(0));
    fixture.found.outcome = lookup_outcome::no_such_job;
    fixture.add(milliseconds(100));
    fixture.found = {lookup_outcome::found, work_state::failed};
    fixture.add(milliseconds(100));
    cr_assert(fixture.answers.size() == 3U);
    fixture.found.state = work_state::queued;
    for (std::size_t i = 0; i <= waiting_queries::max_queries; ++i)
    {
        fixture.add(milliseconds(100));
    }
    cr_assert(fixture.answers.size() == 4U);
    cr_assert(fixture.queries.size() == waiting_queries::max_queries);
}

// Guards against a second answer of a query, by its timer.
Test(waiting_queries, answers_once_when_the_job_is_settled)
{
    query_fixture fixture;
    fixture.add(milliseconds(100));
    fixture.add(milliseconds(100));
    fixture.queries.on_settled("other");
    cr_assert(fixture.answers.empty());
    fixture.found.state = work_state::succeeded;
    fixture.queries.on_settled("a");
    fixture.run_for(milliseconds(200));
    cr_assert(fixture.answers == std::vector(2, work_state::succeeded));
}
