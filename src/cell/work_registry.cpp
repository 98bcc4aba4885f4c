#include "toucanlever/cell/work_registry.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

/// By step: the sum of the estimates along the longest dependency path that
/// starts with the step. Steps only wait for earlier ones.
std::vector<std::int64_t> remaining_paths_ms(work_record const& record)
{
    std::vector<std::int64_t> longest(record.steps.size(), 0);
    for (std::size_t i = record.steps.size(); i-- > 0;)
    {
        longest[i] += record.steps[i].estimated_ms;
        for (std::uint32_t earlier : record.steps[i].after)
        {
            longest[earlier] = std::max(longest[earlier], longest[i]);
        }
    }
    return longest;
}

constexpr std::int64_t permille = 1000;
/// By the platform's rule, a job is of use to its caller up to three times its
/// objective.
constexpr std::int64_t useful_factor = 3;
/// Crashes after which a task is given up if it was isolated in one of them.
/// Only those that `crash_evidence` finds to speak against it are recorded.
constexpr std::size_t max_crashes = 2;
/// A task that fails this soon after it could be started again is delayed
/// further.
constexpr std::chrono::seconds quick_failure{3};
/// The delay after the second failure; it doubles with each further one. By the
/// platform's rule no job waits for 3 s beside free capacity, and a delay that
/// is over is noticed within 300 ms.
constexpr milliseconds first_restart_delay{250};
constexpr milliseconds max_restart_delay{2000};

milliseconds restart_delay(std::uint32_t failures)
{
    if (failures < 2)
    {
        return milliseconds(0);
    }
    milliseconds delay = first_restart_delay;
    for (std::uint32_t i = 2; i < failures && delay < max_restart_delay; ++i)
    {
        delay *= 2;
    }
    return std::min(delay, max_restart_delay);
}

} // namespace

std::uint32_t registry_step::startable(time_point now) const
{
    if (!this->has_delayed_restart)
    {
        return this->waiting;
    }
    auto const startable = static_cast<std::uint32_t>(std::count_if(
        this->tasks.begin(), this->tasks.end(),
        [now](registry_task const& task) { return task.is_startable(now); }));
    return this->spec->gang && startable < this->waiting ? 0 : startable;
}

bool registry_step::has_crashed_repeatedly() const
{
    return std::any_of(this->crashes.begin(), this->crashes.end(),
        [](auto const& each) { return each.second.runs.size() > 1; });
}

bool work_registry::add(work_record record, std::int64_t version,
    std::int64_t wall_ms, time_point now, bool beyond_entitlement)
{
    std::string id = record.id;
    auto [place, inserted] = this->jobs.try_emplace(id);
    if (!inserted)
    {
        // Two instances may have stored the job, and an earlier scheduler may
        // have started it from the first record.
        registry_job& known = *place->second;
        known.version = std::min(known.version, version);
        return false;
    }
    place->second = std::make_unique<registry_job>();
    registry_job& job = *place->second;
    job.record = std::move(record);
    job.version = version;
    job.received = now;
    job.dependents.resize(job.record.steps.size());
    for (std::uint32_t i = 0; i < job.record.steps.size(); ++i)
    {
        for (std::uint32_t earlier : job.record.steps[i].after)
        {
            job.dependents[earlier].push_back(i);
        }
    }
    job.beyond_entitlement = beyond_entitlement;
    this->adjust_waiting_count(job, 1);
    if (job.record.repetitions == 0)
    {
        this->create_occurrence(job, 0, now);
        return true;
    }
    this->scheduled.insert({job.record.first_run_ms, id});
    this->create_due_occurrences(wall_ms, now);
    return true;
}

registry_job* work_registry::find(std::string const& job)
{
    auto found = this->jobs.find(job);
    return found == this->jobs.end() ? nullptr : found->second.get();
}

registry_step* work_registry::find(step_id const& step)
{
    registry_job* job = this->find(step.job);
    if (job == nullptr)
    {
        return nullptr;
    }
    auto found = job->occurrences.find(step.occurrence);
    if (found == job->occurrences.end() || step.step >= found->second.size())
    {
        return nullptr;
    }
    return &found->second[step.step];
}

registry_task* work_registry::find(task_id const& task)
{
    registry_step* step = this->find(task.step);
    if (step == nullptr || task.index >= step->tasks.size())
    {
        return nullptr;
    }
    return &step->tasks[task.index];
}

std::int64_t work_registry::create_due_occurrences(
    std::int64_t wall_ms, time_point now)
{
    std::size_t created = 0;
    while (!this->scheduled.empty())
    {
        auto [due, id] = *this->scheduled.begin();
        if (due > wall_ms || created >= max_tasks_created)
        {
            return due;
        }
        this->scheduled.erase(this->scheduled.begin());
        registry_job* job = this->find(id);
        if (job == nullptr || !job->open())
        {
            continue;
        }
        auto next = static_cast<std::uint32_t>(job->occurrences.size());
        this->create_occurrence(*job, next, now);
        created += count_tasks(job->record);
        if (next + 1 < job->record.repetitions)
        {
            this->scheduled.insert({due + job->record.interval_ms, id});
        }
    }
    return 0;
}

void work_registry::create_occurrence(
    registry_job& job, std::uint32_t occurrence, time_point now)
{
    std::vector<registry_step>& steps = job.occurrences[occurrence];
    steps.reserve(job.record.steps.size());
    for (work_step const& spec : job.record.steps)
    {
        registry_step step;
        step.id = {job.record.id, occurrence,
            static_cast<std::uint32_t>(steps.size())};
        step.spec = &spec;
        step.job = &job;
        step.tasks.resize(spec.tasks);
        step.waiting = spec.tasks;
        steps.push_back(std::move(step));
    }
    set_ranks(job, steps);
    this->update_all_readiness(job, occurrence, now);
    std::vector<run_completion> const early = std::move(job.early_completions);
    job.early_completions.clear();
    for (run_completion const& entry : early)
    {
        this->replay(entry, now);
    }
}

void work_registry::replay(run_completion const& entry, time_point now)
{
    registry_job* job = this->find(entry.task.step.job);
    std::uint32_t const occurrence = entry.task.step.occurrence;
    bool is_early = job != nullptr && occurrence < job->record.repetitions &&
                    !job->occurrences.contains(occurrence);
    if (is_early)
    {
        job->early_completions.push_back(entry);
        return;
    }
    this->apply(entry, now);
}

void work_registry::apply(run_completion const& entry, time_point now)
{
    if (entry.outcome == run_outcome::worker_crashed)
    {
        this->record_crash(entry.task, entry.run, entry.isolated, now);
        return;
    }
    this->record_completion(entry.task, entry.run, entry.outcome, now);
}

void work_registry::set_ranks(
    registry_job const& job, std::vector<registry_step>& steps)
{
    work_record const& record = job.record;
    std::vector<std::int64_t> const remaining = remaining_paths_ms(record);
    std::int64_t critical = 0;
    for (std::int64_t path : remaining)
    {
        critical = std::max(critical, path);
    }
    std::int64_t objective = record.queue.target_ms +
                             critical * record.queue.slack_permille / permille;
    for (registry_step& step : steps)
    {
        std::int64_t due =
            record.repetitions > 0
                ? record.first_run_ms + record.interval_ms * step.id.occurrence
                : record.accepted_ms;
        std::int64_t path = remaining[step.id.step];
        step.rank = {record.queue.priority, due + objective - path, step.id,
            due + objective * useful_factor - path, step.spec->long_running,
            job.beyond_entitlement, &step};
    }
}

bool work_registry::is_ready(
    registry_job const& job, registry_step const& step) const
{
    if (!job.open() || step.waiting == 0 || step.done())
    {
        return false;
    }
    std::vector<registry_step> const& steps =
        job.occurrences.at(step.id.occurrence);
    return std::all_of(step.spec->after.begin(), step.spec->after.end(),
        [&steps](std::uint32_t earlier) { return steps[earlier].done(); });
}

void work_registry::update_readiness(
    registry_job& job, registry_step& step, time_point now)
{
    if (!this->is_ready(job, step))
    {
        this->ready_steps.erase(step.rank);
        return;
    }
    if (this->ready_steps.insert(step.rank).second)
    {
        step.ready_at = now;
    }
}

void work_registry::update_all_readiness(
    registry_job& job, std::uint32_t occurrence, time_point now)
{
    for (registry_step& step : job.occurrences.at(occurrence))
    {
        this->update_readiness(job, step, now);
    }
}

void work_registry::mark_placed(
    task_id const& task, std::uint64_t run, std::string const& worker)
{
    registry_step* step = this->find(task.step);
    registry_task& entry = step->tasks[task.index];
    if (entry.is_waiting())
    {
        --step->waiting;
    }
    entry.run = std::max(entry.run, run);
    entry.worker = worker;
    registry_job& job = *this->find(task.step.job);
    // Keeps the time at which the step first became ready.
    this->update_readiness(job, *step, step->ready_at);
}

void work_registry::mark_unplaced(task_id const& task)
{
    registry_step* step = this->find(task.step);
    if (step == nullptr || task.index >= step->tasks.size())
    {
        return;
    }
    registry_task& entry = step->tasks[task.index];
    if (entry.worker.empty() || entry.succeeded)
    {
        entry.worker.clear();
        return;
    }
    entry.worker.clear();
    ++step->waiting;
    step->planning.has_event = true;
    // Keeps the time at which the step first became ready.
    this->update_readiness(*this->find(task.step.job), *step, step->ready_at);
}

void work_registry::mark_failed_on(
    task_id const& task, std::string const& worker)
{
    if (registry_task* entry = this->find(task))
    {
        entry->last_failed_worker = worker;
        this->find(task.step)->has_failed_worker = true;
    }
}

void work_registry::delay_restart(task_id const& task, time_point now)
{
    registry_task* entry = this->find(task);
    if (entry == nullptr)
    {
        return;
    }
    bool const is_quick = now <= entry->restart_at + quick_failure;
    entry->quick_failures = is_quick ? entry->quick_failures + 1 : 1;
    entry->restart_at = now + restart_delay(entry->quick_failures);
    this->find(task.step)->has_delayed_restart = true;
}

completion_effect work_registry::record_completion(
    task_id const& task, std::uint64_t run, run_outcome outcome, time_point now)
{
    completion_effect effect;
    registry_step* step = this->find(task.step);
    if (step == nullptr || task.index >= step->tasks.size())
    {
        return effect;
    }
    registry_job& job = *this->find(task.step.job);
    registry_task& entry = step->tasks[task.index];
    if (entry.succeeded)
    {
        return effect;
    }
    effect.current = run >= entry.run;
    entry.run = std::max(entry.run, run);
    this->mark_started(job);
    // A long-running step ends only when its job is cancelled.
    if (!job.open() || step->spec->long_running)
    {
        return effect;
    }
    if (outcome == run_outcome::succeeded)
    {
        this->record_success(*step, entry);
        effect.step_done = step->done();
        this->update_readiness(job, *step, step->ready_at);
        if (effect.step_done)
        {
            std::vector<registry_step>& steps =
                job.occurrences.at(task.step.occurrence);
            for (std::uint32_t later : job.dependents[task.step.step])
            {
                this->update_readiness(job, steps[later], now);
            }
        }
        effect.job_ended = effect.step_done && this->finish_occurrence(job,
                                                   task.step.occurrence, now);
    }
    else if (outcome == run_outcome::failed &&
             this->record_failure(job, *step, entry, run))
    {
        this->end_job(job, work_state::failed, now);
        effect.job_ended = true;
    }
    return effect;
}

completion_effect work_registry::record_crash(
    task_id const& task, std::uint64_t run, bool isolated, time_point now)
{
    completion_effect effect;
    registry_step* step = this->find(task.step);
    if (step == nullptr || task.index >= step->tasks.size())
    {
        return effect;
    }
    registry_job& job = *this->find(task.step.job);
    registry_task& entry = step->tasks[task.index];
    if (entry.succeeded)
    {
        return effect;
    }
    effect.current = run >= entry.run;
    entry.run = std::max(entry.run, run);
    this->mark_started(job);
    if (!job.open())
    {
        return effect;
    }
    crash_history& history = step->crashes[step->spec->gang ? 0 : task.index];
    history.runs.insert(run);
    history.isolated = history.isolated || isolated;
    if (history.isolated && history.runs.size() >= max_crashes)
    {
        this->end_job(job, work_state::failed, now);
        effect.job_ended = true;
    }
    return effect;
}

void work_registry::record_success(registry_step& step, registry_task& task)
{
    // The success of one task of a gang is the success of all its tasks.
    for (registry_task& other : step.tasks)
    {
        bool included = step.spec->gang || &other == &task;
        if (included && !other.succeeded)
        {
            step.waiting -= other.is_waiting() ? 1 : 0;
            other.succeeded = true;
            ++step.succeeded;
        }
    }
}

bool work_registry::record_failure(registry_job const& job, registry_step& step,
    registry_task& task, std::uint64_t run)
{
    std::set<std::uint64_t>& failed =
        step.spec->gang ? step.failed_runs : task.failed_runs;
    failed.insert(run);
    return failed.size() >= job.record.queue.max_attempts;
}

bool work_registry::finish_occurrence(
    registry_job& job, std::uint32_t occurrence, time_point now)
{
    std::vector<registry_step> const& steps = job.occurrences.at(occurrence);
    bool all = std::all_of(steps.begin(), steps.end(),
        [](registry_step const& one) { return one.done(); });
    if (!all)
    {
        return false;
    }
    ++job.finished_occurrences;
    auto wanted = std::max<std::uint32_t>(job.record.repetitions, 1);
    if (job.finished_occurrences < wanted)
    {
        return false;
    }
    this->end_job(job, work_state::succeeded, now);
    return true;
}

void work_registry::end_job(registry_job& job, work_state state, time_point now)
{
    if (!job.started)
    {
        this->adjust_waiting_count(job, -1);
    }
    job.state = state;
    job.ended_at = now;
    for (auto const& [occurrence, steps] : job.occurrences)
    {
        this->update_all_readiness(job, occurrence, now);
    }
}

bool work_registry::cancel(std::string const& job, time_point now)
{
    registry_job* found = this->find(job);
    if (found == nullptr || !found->open())
    {
        return false;
    }
    this->end_job(*found, work_state::cancelled, now);
    return true;
}

void work_registry::mark_started(registry_job& job)
{
    if (job.started)
    {
        return;
    }
    if (job.open())
    {
        this->adjust_waiting_count(job, -1);
    }
    job.started = true;
}

void work_registry::adjust_waiting_count(
    registry_job const& job, std::int64_t change)
{
    if (job.record.repetitions == 0)
    {
        this->waiting[job.record.queue.name] += change;
    }
}

std::int64_t work_registry::waiting_jobs(std::string const& queue) const
{
    auto found = this->waiting.find(queue);
    return found == this->waiting.end() ? 0 : found->second;
}

std::vector<std::string> work_registry::remove_ended(time_point before)
{
    std::vector<std::string> removed;
    for (auto entry = this->jobs.begin(); entry != this->jobs.end();)
    {
        registry_job const& job = *entry->second;
        if (job.open() || !job.durable || job.ended_at > before)
        {
            ++entry;
            continue;
        }
        bool has_allocation = false;
        for (auto const& [occurrence, steps] : job.occurrences)
        {
            for (registry_step const& step : steps)
            {
                has_allocation =
                    has_allocation ||
                    std::any_of(step.tasks.begin(), step.tasks.end(),
                        [](registry_task const& task)
                        { return !task.worker.empty(); });
            }
        }
        if (has_allocation)
        {
            ++entry;
            continue;
        }
        removed.push_back(entry->first);
        entry = this->jobs.erase(entry);
    }
    return removed;
}

} // namespace toucanlever
