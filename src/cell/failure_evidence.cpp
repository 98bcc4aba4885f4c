#include "toucanlever/cell/failure_evidence.hpp"

#include "toucanlever/core/log.hpp"
#include "toucanlever/core/metrics.hpp"

#include <algorithm>
#include <chrono>

namespace toucanlever
{
namespace
{

/// A worker is quarantined after this many counted failures. A few in a hundred
/// runs fail by their own fault, so three consecutive failures of different
/// jobs are rare on a healthy worker.
constexpr std::uint32_t quarantine_after_failures = 3;
constexpr std::chrono::seconds quarantine_duration{2};
/// Each further failure doubles the duration, up to this many times.
constexpr std::uint32_t max_quarantine_doublings = 2;
/// At most one worker in this many of a service is in quarantine.
constexpr std::size_t workers_per_quarantined = 2;
/// A step is at fault itself when it fails on at least this many workers, and
/// on as many as a quarter of its tasks, up to a limit: the first tasks of a
/// wide step that end may be those on a few defective workers.
constexpr std::size_t min_failing_workers = 2;
constexpr std::size_t tasks_per_failing_worker = 4;
constexpr std::size_t max_failing_workers = 5;

bool is_at_fault(registry_step const& step)
{
    // Each run of a gang fails on one worker only.
    std::size_t const needed =
        step.spec->gang
            ? min_failing_workers
            : std::clamp(step.tasks.size() / tasks_per_failing_worker,
                  min_failing_workers, max_failing_workers);
    return step.succeeded == 0 && step.failing_workers.size() >= needed;
}

/// How much so many failures of a step count against one worker.
std::uint32_t weight_of(registry_step const& step, std::uint32_t failures)
{
    if (step.succeeded > 0)
    {
        return failures;
    }
    return is_at_fault(step) ? 0 : 1;
}

} // namespace

failure_evidence::failure_evidence(work_registry& registry, worker_pool& pool)
    : registry(registry)
    , pool(pool)
{
}

void failure_evidence::record_success(
    std::string const& worker, step_id const& step, time_point now)
{
    if (pool_worker* target = this->pool.find(worker))
    {
        target->failures.clear();
        target->counted_failures = 0;
    }
    registry_step const* found = this->registry.find(step);
    bool const is_first =
        found != nullptr && (found->spec->gang || found->succeeded == 1);
    if (is_first)
    {
        this->assess_failing_workers(*found, now);
    }
}

void failure_evidence::record_failure(
    std::string const& worker, step_id const& step, time_point now)
{
    pool_worker* target = this->pool.find(worker);
    registry_step* failed = this->registry.find(step);
    if (target == nullptr || failed == nullptr)
    {
        return;
    }
    ++target->failures[step];
    bool const was_at_fault = is_at_fault(*failed);
    failed->failing_workers.insert(worker);
    if (is_at_fault(*failed) != was_at_fault)
    {
        log_line("step-at-fault")
            .with("step", to_string(step))
            .with("workers", failed->failing_workers.size());
        this->assess_failing_workers(*failed, now);
        return;
    }
    this->assess(*target, now);
}

void failure_evidence::assess(pool_worker& worker, time_point now)
{
    // Old jobs, which the registry has forgotten, are no evidence any more.
    std::erase_if(worker.failures, [this](auto const& each)
        { return this->registry.find(each.first) == nullptr; });
    std::uint32_t counted = 0;
    for (auto const& [step, failures] : worker.failures)
    {
        counted += weight_of(*this->registry.find(step), failures);
    }
    std::uint32_t const before = worker.counted_failures;
    worker.counted_failures = counted;
    if (counted < quarantine_after_failures)
    {
        if (counted < before)
        {
            worker.quarantined_until = {};
        }
        return;
    }
    if (counted > before && this->may_quarantine(worker, now))
    {
        auto doublings = std::min(
            counted - quarantine_after_failures, max_quarantine_doublings);
        milliseconds const duration = quarantine_duration * (1U << doublings);
        worker.quarantined_until = now + duration;
        log_line("worker-quarantined")
            .with("worker", worker.entry.id)
            .with("failures", counted)
            .with("for_ms", duration.count());
        metrics().count("worker_quarantines");
    }
}

void failure_evidence::assess_failing_workers(
    registry_step const& step, time_point now)
{
    for (std::string const& id : step.failing_workers)
    {
        if (pool_worker* worker = this->pool.find(id))
        {
            this->assess(*worker, now);
        }
    }
}

bool failure_evidence::may_quarantine(
    pool_worker const& worker, time_point now) const
{
    std::size_t workers = 0;
    std::size_t quarantined = 1;
    for (auto const& [id, other] : this->pool.all())
    {
        if (other.unlisted || other.entry.service != worker.entry.service)
        {
            continue;
        }
        ++workers;
        quarantined +=
            &other != &worker && now < other.quarantined_until ? 1 : 0;
    }
    return quarantined == 1 || quarantined * workers_per_quarantined <= workers;
}

} // namespace toucanlever
