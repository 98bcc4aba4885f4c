#include "toucanlever/cell/placement_log.hpp"

#include "toucanlever/cell/placement_summary.hpp"
#include "toucanlever/core/log.hpp"
#include "toucanlever/core/metrics.hpp"

namespace toucanlever
{
namespace
{

constexpr milliseconds summary_period{1000};
/// Bounds the log while a whole queue is late.
constexpr std::uint32_t step_lines_per_summary = 20;
/// Steps whose needs are compared with the workers' free capacity, in planning
/// order: the rest would not be started before them.
constexpr std::size_t max_needs = 200;

} // namespace

placement_log::placement_log(dispatch_state& state)
    : state(state)
    , step_lines_left(step_lines_per_summary)
{
}

void placement_log::begin_pass(std::uint64_t number)
{
    this->pass = number;
    this->reasons = {};
    this->needs.clear();
}

void placement_log::note_step(
    registry_step& step, wait_reason reason, bool late)
{
    this->note_waiting(step, reason);
    if (!late || step.logged_reason == reason || this->step_lines_left == 0)
    {
        return;
    }
    --this->step_lines_left;
    step.logged_reason = reason;
    auto waited = std::chrono::duration_cast<milliseconds>(
        this->state.dependencies.loop.now() - step.ready_at);
    log_line("step-late")
        .with("step", to_string(step.id))
        .with("reason", name_of(reason))
        .with("waiting", step.waiting)
        .with("waited_ms", waited.count())
        .with("cpu_millis", step.spec->capacity_need().cpu_millis)
        .with("asked", step.advice.queried.size())
        .with("approved", step.advice.approved.size());
}

void placement_log::note_skipped(registry_step const& step)
{
    this->note_waiting(step, step.planning.reason);
}

void placement_log::note_waiting(registry_step const& step, wait_reason reason)
{
    this->reasons.add(reason);
    if (this->needs.size() < max_needs)
    {
        this->needs.push_back(step.spec->capacity_need());
    }
}

void placement_log::write_summary()
{
    time_point now = this->state.dependencies.loop.now();
    if (now < this->next_summary_at || this->state.registry.all().empty())
    {
        return;
    }
    this->next_summary_at = now + summary_period;
    this->step_lines_left = step_lines_per_summary;
    capacity_by_state capacity(this->state.pool, this->needs, this->pass, now);
    log_line line("placement");
    line.with("steps", this->state.registry.ready().size());
    for (auto const& row : enum_table<wait_reason>::rows)
    {
        if (std::size_t steps = this->reasons.of(row.value))
        {
            line.with("wait_" + std::string(row.name), steps);
        }
    }
    line.with("cpu", capacity.total());
    for (auto const& row : enum_table<capacity_state>::rows)
    {
        line.with(row.name, capacity.of(row.value));
        metrics().set(
            "cell_cpu_" + std::string(row.name), capacity.of(row.value));
    }
    advice_totals const& advice = this->state.advice;
    line.with("advice_calls", advice.calls - this->advice_before.calls)
        .with("advice_asked",
            advice.workers_asked - this->advice_before.workers_asked)
        .with("advice_approved",
            advice.workers_approved - this->advice_before.workers_approved)
        .with("advice_starts", advice.starts - this->advice_before.starts);
    this->advice_before = advice;
}

} // namespace toucanlever
