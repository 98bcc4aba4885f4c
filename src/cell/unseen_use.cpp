#include "toucanlever/cell/unseen_use.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

constexpr milliseconds recompute_period{100};

} // namespace

unseen_use::unseen_use(dispatch_state const& state, worker_roster const& roster,
    std::function<bool(registry_job const&)> may_have_unseen_runs)
    : state(state)
    , roster(roster)
    , may_have_unseen_runs(std::move(may_have_unseen_runs))
{
}

resources unseen_use::of(std::string const& customer, time_point now)
{
    if (!this->computed_at || now - *this->computed_at >= recompute_period)
    {
        this->compute();
        this->computed_at = now;
    }
    resources use = this->unknown;
    auto found = this->tasks.find(customer);
    if (found == this->tasks.end())
    {
        return use;
    }
    resources const& need = found->second.need;
    use += {std::min(need.cpu_millis, this->unheard.cpu_millis) +
                found->second.idle_cpu_millis,
        std::min(need.memory_bytes, this->unheard.memory_bytes),
        std::min(need.accelerators, this->unheard.accelerators)};
    return use;
}

void unseen_use::compute()
{
    this->unheard = {};
    this->unknown = {};
    this->tasks.clear();
    for (auto const& [id, worker] : this->state.pool.all())
    {
        if (this->roster.is_unheard(id))
        {
            this->unheard += worker.entry.capacity;
        }
        if (worker.unknown_needs > 0)
        {
            this->unknown += worker.entry.capacity;
        }
    }
    if (this->unheard == resources{})
    {
        return;
    }
    for (auto const& [id, job] : this->state.registry.all())
    {
        if (!job->record.customer.name.empty() &&
            this->may_have_unseen_runs(*job))
        {
            this->add_tasks_of(*job);
        }
    }
}

void unseen_use::add_tasks_of(registry_job const& job)
{
    unseen_tasks& sum = this->tasks[job.record.customer.name];
    for (auto const& [occurrence, steps] : job.occurrences)
    {
        for (registry_step const& step : steps)
        {
            auto count = std::count_if(step.tasks.begin(), step.tasks.end(),
                [](registry_task const& task) { return task.is_waiting(); });
            resources const need = step.spec->capacity_need();
            sum.need += {need.cpu_millis * count, need.memory_bytes * count,
                need.accelerators * count};
            sum.idle_cpu_millis +=
                (step.spec->need.cpu_millis - need.cpu_millis) * count;
        }
    }
}

} // namespace toucanlever
