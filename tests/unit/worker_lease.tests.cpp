#include "toucanlever/cell/worker_lease.hpp"

#include "fake_workers.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

/// The lease of one worker, on a manual clock.
class lease_fixture final : public worker_lease_listener
{
public:
    lease_fixture()
        : lease(
              loop, workers, {"w", "127.0.0.1:1"}, fences,
              [this] { return this->limit; }, *this)
    {
    }

    void run_for(milliseconds duration)
    {
        constexpr milliseconds step{10};
        for (milliseconds elapsed{0}; elapsed < duration; elapsed += step)
        {
            this->time.advance(step);
            this->loop.run_ready();
        }
    }

    fake_cell_worker& worker() { return this->workers.workers["w"]; }

    void on_report(
        worker_lease& source, watch_result const& report, time_point) override
    {
        ++this->reports;
        for (completed_run const& completion : report.completions)
        {
            if (completion.number > source.last_completion_number())
            {
                source.note_completion(completion.number);
                ++this->completions;
            }
        }
    }

    void on_unresponsive(worker_lease&, std::string const&) override
    {
        ++this->unresponsive_polls;
    }

    void on_lost(worker_lease&, loss_cause, std::string const&) override
    {
        this->lost_at = this->loop.now();
        ++this->losses;
    }

    void on_fenced(worker_lease&) override { ++this->fenced; }

    manual_clock time;
    event_loop loop{this->time};
    fake_workers workers{this->loop};
    order_fences fences{1};
    time_point limit = time_point::max();
    int reports = 0;
    int completions = 0;
    int unresponsive_polls = 0;
    int fenced = 0;
    int losses = 0;
    time_point lost_at{};
    worker_lease lease;
};

constexpr milliseconds second{1000};

} // namespace

Test(worker_lease, renews_while_the_worker_answers)
{
    lease_fixture fixture;
    fixture.run_for(3 * second);
    auto now = std::chrono::duration_cast<milliseconds>(
        fixture.loop.now().time_since_epoch());
    cr_assert(fixture.worker().lease_until_ms > (now + second).count());
}

Test(worker_lease,
    an_unresponsive_worker_is_lost_only_when_its_lease_has_expired)
{
    lease_fixture fixture;
    fixture.run_for(second);
    std::int64_t until = fixture.worker().lease_until_ms;
    fixture.worker().silent = true;
    fixture.run_for(10 * second);
    cr_assert(fixture.unresponsive_polls > 0);
    auto lost = std::chrono::duration_cast<milliseconds>(
        fixture.lost_at.time_since_epoch());
    cr_assert(lost.count() >= until);
    // Allows for a clock that is 2% slow and the delay between two polls.
    cr_assert(lost.count() < until + 400);
}

// Guards against a run on a boot that nobody has heard of, whose lease each
// poll extends to the platform's limit.
Test(worker_lease, a_poll_after_an_unanswered_one_carries_no_lease)
{
    lease_fixture fixture;
    fixture.run_for(second);
    fixture.worker().delay_watches = true;
    fixture.run_for(3 * second);
    std::vector<delayed_watch> const& watches =
        fixture.worker().delayed_watches;
    cr_assert(watches.size() > 2U);
    cr_assert(watches.front().order.lease_until_ms > 0);
    for (std::size_t i = 1; i < watches.size(); ++i)
    {
        cr_assert(watches[i].order.lease_until_ms == 0);
    }
    fixture.worker().delay_watches = false;
    fixture.run_for(second);
    auto now = std::chrono::duration_cast<milliseconds>(
        fixture.loop.now().time_since_epoch());
    cr_assert(fixture.worker().lease_until_ms > (now + 3 * second).count());
}

Test(worker_lease, a_worker_that_never_answered_is_lost_after_an_earlier_lease)
{
    lease_fixture fixture;
    fixture.worker().silent = true;
    fixture.run_for(8 * second);
    cr_assert(fixture.lost_at == time_point{});
    fixture.run_for(2 * second);
    cr_assert(fixture.lost_at != time_point{});
}

Test(worker_lease, no_lease_reaches_beyond_the_limit)
{
    lease_fixture fixture;
    fixture.run_for(second);
    fixture.limit = fixture.loop.now() + second;
    auto limit = std::chrono::duration_cast<milliseconds>(
        fixture.limit.time_since_epoch());
    std::int64_t granted = fixture.worker().lease_until_ms;
    fixture.run_for(5 * second);
    std::int64_t until = fixture.worker().lease_until_ms;
    cr_assert(until <= std::max<std::int64_t>(granted, limit.count()));
}

Test(worker_lease, a_completion_is_acknowledged_only_when_it_is_settled)
{
    lease_fixture fixture;
    fixture.run_for(second);
    for (std::uint32_t i = 0; i < 2; ++i)
    {
        task_id const task{{"j", 0, 0}, i};
        fixture.worker().running[task] = 1;
        fixture.workers.end_run("w", task, run_outcome::succeeded);
    }
    fixture.run_for(second);
    cr_assert(fixture.completions == 2);
    // Settling the second completion alone does not acknowledge the first.
    fixture.lease.settle_completion(2);
    fixture.run_for(second);
    cr_assert(fixture.worker().acknowledged == 0);
    fixture.lease.settle_completion(1);
    fixture.run_for(second);
    cr_assert(fixture.worker().acknowledged == 2);
}

Test(worker_lease, notices_a_later_scheduler)
{
    lease_fixture fixture;
    fixture.run_for(second);
    fixture.worker().fencing_token = order_fences(2).current();
    fixture.run_for(second);
    cr_assert(fixture.fenced > 0);
}

Test(
    worker_lease, another_incarnation_is_reported_once_until_the_worker_answers)
{
    lease_fixture fixture;
    fixture.run_for(second);
    fixture.worker().replaced = true;
    fixture.run_for(3 * second);
    cr_assert(fixture.losses == 1);
    fixture.worker().replaced = false;
    fixture.run_for(second);
    fixture.worker().replaced = true;
    fixture.run_for(second);
    cr_assert(fixture.losses == 2);
}

// Guards against workers that get no work each time that a connection breaks.
Test(worker_lease, a_lost_connection_alone_makes_no_worker_unresponsive)
{
    lease_fixture fixture;
    fixture.run_for(second);
    fixture.worker().lost_connections = 1;
    int const reports = fixture.reports;
    fixture.run_for(3 * second);
    cr_assert(fixture.worker().lost_connections == 0);
    cr_assert(fixture.unresponsive_polls == 0);
    cr_assert(fixture.reports > reports);
    fixture.worker().lost_connections = 2;
    fixture.run_for(3 * second);
    cr_assert(fixture.unresponsive_polls == 1);
}

// Guards against a task that a replaced leader starts again, while the worker
// still runs it under a lease of the successor.
Test(worker_lease, a_lease_has_not_expired_before_the_leader_is_confirmed)
{
    lease_fixture fixture;
    fixture.run_for(second);
    // The last heartbeat is confirmed now.
    fixture.limit = fixture.loop.now() + worker_lease::lease_after_heartbeat;
    fixture.worker().silent = true;
    fixture.run_for(10 * second);
    cr_assert(fixture.losses == 0);
    fixture.limit = fixture.loop.now() + worker_lease::lease_after_heartbeat;
    fixture.run_for(second);
    cr_assert(fixture.losses == 1);
}
