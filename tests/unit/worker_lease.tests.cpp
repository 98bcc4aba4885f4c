#include "toucanlever/cell/worker_lease.hpp"

#include "fake_workers.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

/// One worker that is followed, on a clock that stands still.
class lease_bench final : public worker_lease_listener
{
public:
    lease_bench()
        : lease(
              loop, workers, {"w", "127.0.0.1:1"}, 1,
              [this] { return this->limit; }, *this)
    {
    }

    void pass(milliseconds span)
    {
        constexpr milliseconds step{10};
        for (milliseconds done{0}; done < span; done += step)
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
        for (completed_run const& end : report.completions)
        {
            if (end.number > source.last_completion_number())
            {
                source.note_completion(end.number);
                ++this->ends;
            }
        }
    }

    void on_unresponsive(worker_lease&, std::string const&) override
    {
        ++this->silences;
    }

    void on_lost(worker_lease&, std::string const&) override
    {
        this->lost_at = this->loop.now();
    }

    void on_fenced(worker_lease&) override { ++this->fenced; }

    manual_clock time;
    event_loop loop{this->time};
    fake_workers workers{this->loop};
    time_point limit = time_point::max();
    int reports = 0;
    int ends = 0;
    int silences = 0;
    int fenced = 0;
    time_point lost_at{};
    worker_lease lease;
};

constexpr milliseconds second{1000};

} // namespace

Test(worker_lease, renews_while_the_worker_answers)
{
    lease_bench bench;
    bench.pass(3 * second);
    auto now = std::chrono::duration_cast<milliseconds>(
        bench.loop.now().time_since_epoch());
    cr_assert(bench.worker().lease_until_ms > (now + second).count());
}

Test(worker_lease, a_silent_worker_is_lost_only_when_its_lease_is_over)
{
    lease_bench bench;
    bench.pass(second);
    std::int64_t until = bench.worker().lease_until_ms;
    bench.worker().silent = true;
    bench.pass(10 * second);
    cr_assert(bench.silences > 0);
    auto lost = std::chrono::duration_cast<milliseconds>(
        bench.lost_at.time_since_epoch());
    cr_assert(lost.count() >= until);
    // A clock that is 2% slow, and the time between two attempts.
    cr_assert(lost.count() < until + 400);
}

Test(worker_lease, a_worker_never_heard_is_lost_after_an_earlier_lease)
{
    lease_bench bench;
    bench.worker().silent = true;
    bench.pass(8 * second);
    cr_assert(bench.lost_at == time_point{});
    bench.pass(2 * second);
    cr_assert(bench.lost_at != time_point{});
}

Test(worker_lease, no_lease_reaches_beyond_the_limit)
{
    lease_bench bench;
    bench.pass(second);
    bench.limit = bench.loop.now() + second;
    auto limit = std::chrono::duration_cast<milliseconds>(
        bench.limit.time_since_epoch());
    std::int64_t granted = bench.worker().lease_until_ms;
    bench.pass(5 * second);
    std::int64_t until = bench.worker().lease_until_ms;
    cr_assert(until <= std::max<std::int64_t>(granted, limit.count()));
}

Test(worker_lease, an_end_is_acknowledged_only_when_it_is_settled)
{
    lease_bench bench;
    bench.pass(second);
    for (std::uint32_t i = 0; i < 2; ++i)
    {
        task_id const task{{"j", 0, 0}, i};
        bench.worker().running[task] = 1;
        bench.workers.end_run("w", task, run_outcome::succeeded);
    }
    bench.pass(second);
    cr_assert(bench.ends == 2);
    // The second one alone says nothing about the first.
    bench.lease.settle_completion(2);
    bench.pass(second);
    cr_assert(bench.worker().acknowledged == 0);
    bench.lease.settle_completion(1);
    bench.pass(second);
    cr_assert(bench.worker().acknowledged == 2);
}

Test(worker_lease, notices_a_later_scheduler)
{
    lease_bench bench;
    bench.pass(second);
    bench.worker().fencing_token = 2;
    bench.pass(second);
    cr_assert(bench.fenced > 0);
}
