/// Estimates of the backlog, and rejections that follow from them.
#include "toucanlever/cell/admission_control.hpp"
#include "toucanlever/cell/backlog_forecast.hpp"
#include "toucanlever/cell/job_objective.hpp"
#include "toucanlever/cell/step_order.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#include <map>
#include <set>

using namespace toucanlever;

namespace
{

constexpr std::int64_t cores = 40;
constexpr std::int64_t core = 1000;
constexpr std::int64_t task_ms = 500;
time_point const start_time = time_point{} + milliseconds(100000);

queue_terms urgent_queue()
{
    queue_terms terms;
    terms.name = "urgent";
    terms.target_ms = 250;
    return terms;
}

queue_terms patient_queue()
{
    queue_terms terms;
    terms.name = "patient";
    terms.priority = 2;
    terms.target_ms = 3000;
    return terms;
}

work_record job_of(std::string const& id, queue_terms const& queue)
{
    work_record record;
    record.id = id;
    record.queue = queue;
    record.steps.resize(1);
    record.steps[0].need.cpu_millis = core;
    record.steps[0].estimated_ms = task_ms;
    return record;
}

/// What became of the jobs of a queue.
struct tally
{
    int in_time = 0;
    /// Accepted, and not ended while the job was of use.
    int in_vain = 0;
    int rejected = 0;
    int returned = 0;
};

/// A cell that can do 80 jobs a second, with more urgent ones than that and 50
/// patient ones: 40 cores, and jobs of one task of half a second. Callers
/// return as told, twice at most.
class overloaded_cell
{
public:
    overloaded_cell(bool rejects, std::int64_t urgent_interval_ms)
        : rejects(rejects)
        , urgent_interval_ms(urgent_interval_ms)
    {
    }

    void run(std::int64_t duration_ms)
    {
        for (; this->now_ms < duration_ms; this->now_ms += step_ms)
        {
            this->end_runs();
            if (this->now_ms % this->urgent_interval_ms == 0)
            {
                this->submit(urgent_queue(), 0);
            }
            if (this->now_ms % 20 == 0)
            {
                this->submit(patient_queue(), 0);
            }
            this->return_callers();
            this->start_runs();
            if (this->now_ms % 250 == 0)
            {
                this->update();
            }
        }
        for (auto const& [id, job] : this->registry.all())
        {
            std::int64_t age = this->now_ms - job->record.accepted_ms;
            bool in_vain =
                job->open() && age > objective_of(job->record).useful_ms();
            this->tallies[job->record.queue.name].in_vain += in_vain ? 1 : 0;
        }
    }

    std::map<std::string, tally> tallies;

private:
    static constexpr std::int64_t step_ms = 5;

    time_point now() const { return start_time + milliseconds(this->now_ms); }

    void submit(queue_terms const& queue, int attempts)
    {
        work_record record =
            job_of("job-" + std::to_string(this->next_job++), queue);
        record.accepted_ms = this->now_ms;
        admission_decision decision;
        if (this->rejects)
        {
            decision = this->admission.decide(record, false, this->now());
        }
        if (decision.why == rejection::none)
        {
            this->registry.add(record, 1, this->now_ms, this->now());
            return;
        }
        ++this->tallies[queue.name].rejected;
        if (attempts < 2)
        {
            this->returning.emplace(
                this->now_ms + decision.retry_after_s * 1000,
                std::pair(queue, attempts + 1));
        }
    }

    void return_callers()
    {
        while (!this->returning.empty() &&
               this->returning.begin()->first <= this->now_ms)
        {
            auto [queue, attempts] = this->returning.begin()->second;
            this->returning.erase(this->returning.begin());
            ++this->tallies[queue.name].returned;
            this->submit(queue, attempts);
        }
    }

    void start_runs()
    {
        // Placing a step removes its rank from the ready ones.
        std::vector<step_id> ids;
        for (step_rank const* rank :
            order_steps(this->registry.ready(), this->now_ms))
        {
            ids.push_back(rank->id);
        }
        for (step_id const& id : ids)
        {
            if (this->running.size() >= static_cast<std::size_t>(cores))
            {
                return;
            }
            this->registry.mark_placed({id, 0}, 1, "w");
            this->running.emplace(this->now_ms + task_ms, id);
        }
    }

    void end_runs()
    {
        while (!this->running.empty() &&
               this->running.begin()->first <= this->now_ms)
        {
            step_id id = this->running.begin()->second;
            this->running.erase(this->running.begin());
            this->registry.record_completion(
                {id, 0}, 1, run_outcome::succeeded, this->now());
            work_record const& record = this->registry.find(id.job)->record;
            this->forecast.note_completed(
                record.queue.priority, 1, core, task_ms);
            job_objective const times = objective_of(record);
            std::int64_t took = this->now_ms - record.accepted_ms;
            tally& counts = this->tallies[record.queue.name];
            counts.in_time += took <= times.objective_ms ? 1 : 0;
            counts.in_vain += took > times.useful_ms() ? 1 : 0;
        }
    }

    void update()
    {
        std::vector<waiting_work> waiting;
        for (step_rank const& rank : this->registry.ready())
        {
            start_prospect prospect = prospect_of(rank, this->now_ms);
            if (prospect != start_prospect::useless)
            {
                waiting.push_back({rank.priority, rank.latest_start_ms,
                    prospect == start_prospect::in_time, 1, core, task_ms});
            }
        }
        std::int64_t free =
            (cores - static_cast<std::int64_t>(this->running.size())) * core;
        this->forecast.update(waiting, {cores * core, free},
            {{"urgent", 0, 250}, {"patient", 2, 3000}}, this->now_ms,
            this->now());
        this->admission.set_estimates(this->forecast.estimates(), this->now());
    }

    bool rejects;
    std::int64_t urgent_interval_ms;
    std::int64_t now_ms = 0;
    int next_job = 0;
    work_registry registry;
    backlog_forecast forecast;
    admission_control admission;
    std::multimap<std::int64_t, step_id> running;
    std::multimap<std::int64_t, std::pair<queue_terms, int>> returning;
};

void log_tallies(overloaded_cell const& cell)
{
    for (auto const& [name, counts] : cell.tallies)
    {
        cr_log_info("%s: in time %d, in vain %d, rejected %d, returned %d",
            name.c_str(), counts.in_time, counts.in_vain, counts.rejected,
            counts.returned);
    }
}

} // namespace

// Guards against patient jobs that are accepted in vain behind urgent ones, and
// against rejections that cost jobs that would be in time.
Test(admission_control, patient_jobs_are_rejected_and_urgent_ones_stay_in_time)
{
    overloaded_cell plain(false, 10);
    overloaded_cell guarded(true, 10);
    plain.run(20000);
    guarded.run(20000);
    log_tallies(plain);
    log_tallies(guarded);
    tally const& urgent = guarded.tallies["urgent"];
    tally const& patient = guarded.tallies["patient"];
    cr_assert(urgent.in_time >= plain.tallies["urgent"].in_time);
    cr_assert(patient.in_time >= plain.tallies["patient"].in_time);
    cr_assert(patient.rejected > 0);
    cr_assert(patient.returned > 0);
    cr_assert(patient.in_vain * 2 <= plain.tallies["patient"].in_vain);
}

// Guards against urgent jobs that wait in vain when there are far more of them
// than the cell can do.
Test(admission_control, urgent_jobs_are_rejected_when_most_would_be_useless)
{
    overloaded_cell plain(false, 5);
    overloaded_cell guarded(true, 5);
    plain.run(20000);
    guarded.run(20000);
    log_tallies(plain);
    log_tallies(guarded);
    tally const& urgent = guarded.tallies["urgent"];
    // A percent of the urgent jobs may give way to patient ones that are in
    // time; none may be lost on the whole.
    cr_assert(urgent.in_time * 100 >= plain.tallies["urgent"].in_time * 99);
    cr_assert(
        urgent.in_time + guarded.tallies["patient"].in_time >=
        plain.tallies["urgent"].in_time + plain.tallies["patient"].in_time);
    cr_assert(urgent.rejected > 0);
    cr_assert(urgent.returned > 0);
    cr_assert(urgent.in_vain < plain.tallies["urgent"].in_vain);
}

// Guards against rejections by an instance that is cut off from the leader.
Test(admission_control, an_estimate_that_is_too_old_rejects_nothing)
{
    admission_control admission;
    work_record const record = job_of("a", urgent_queue());
    admission.set_estimates({{"urgent", 60000}}, start_time);
    auto decide = [&](milliseconds age, bool in_doubt)
    { return admission.decide(record, in_doubt, start_time + age).why; };
    cr_assert(decide(milliseconds(1500), false) == rejection::backlog);
    cr_assert(decide(milliseconds(1501), false) == rejection::none);
    // A job that may be stored must not be reported as not run.
    cr_assert(decide(milliseconds(100), true) == rejection::none);
}

// Guards against a false estimate that rejects all and is never found out, and
// against callers that return all at once or too late.
Test(admission_control, one_rejection_in_sixteen_is_a_probe)
{
    admission_control admission;
    admission.set_estimates({{"urgent", 5000}, {"patient", 60000}}, start_time);
    int probes = 0;
    std::set<std::int64_t> urgent_returns;
    std::set<std::int64_t> patient_returns;
    for (int i = 0; i < 160; ++i)
    {
        bool is_urgent = i % 2 == 0;
        admission_decision decision =
            admission.decide(job_of("job-" + std::to_string(i),
                                 is_urgent ? urgent_queue() : patient_queue()),
                false, start_time);
        if (decision.is_probe)
        {
            ++probes;
            cr_assert(decision.why == rejection::none);
            continue;
        }
        (is_urgent ? urgent_returns : patient_returns)
            .insert(decision.retry_after_s);
    }
    cr_assert(probes == 10);
    // The estimate exceeds the objective by 4.25 s; a quarter is added.
    std::set<std::int64_t> const expected{4, 5};
    cr_assert(urgent_returns == expected);
    cr_assert(patient_returns.lower_bound(8) == patient_returns.begin());
    cr_assert(patient_returns.upper_bound(16) == patient_returns.end());
    cr_assert(patient_returns.size() > 5U);
}

// Guards against rejections of customers within their weight, and of any while
// jobs of the queue are in time.
Test(admission_control, a_customer_beyond_its_weight_is_rejected_when_late)
{
    admission_control admission;
    work_record record = job_of("a", urgent_queue());
    record.customer = {"c", 2, {}};
    admission.set_estimates({{"urgent", 750}}, start_time);
    auto decide = [&](milliseconds at)
    { return admission.decide(record, false, start_time + at).why; };
    for (int i = 0; i < 5; ++i)
    {
        cr_assert(decide(milliseconds(0)) == rejection::none);
    }
    admission.set_estimates({{"urgent", 751}}, start_time);
    cr_assert(decide(milliseconds(10)) == rejection::beyond_entitlement);
    cr_assert(decide(milliseconds(1020)) == rejection::none);
    cr_assert(decide(milliseconds(1030)) == rejection::none);
    cr_assert(decide(milliseconds(1040)) == rejection::beyond_entitlement);
}

// Guards against an estimate that counts work which starts after a new job, or
// at once, and against one that takes an idle cell for a slow one.
Test(backlog_forecast, counts_only_work_that_comes_before_a_new_job)
{
    backlog_forecast forecast;
    std::vector<forecast_queue> const queues{
        {"urgent", 0, 250}, {"patient", 2, 3000}};
    using wait_pair = std::pair<std::int64_t, std::int64_t>;
    auto waits = [&](std::vector<waiting_work> const& waiting,
                     std::int64_t free, std::int64_t at_ms)
    {
        forecast.update(waiting, {cores * core, free}, queues, 0,
            start_time + milliseconds(at_ms));
        return wait_pair(forecast.estimates().at(0).wait_ms,
            forecast.estimates().at(1).wait_ms);
    };
    waiting_work const first{0, 100, true, 1, cores * core, 200};
    waiting_work const later{0, 900, true, 1, cores * core, 200};
    cr_assert(waits({}, 0, 0) == wait_pair(0, 0));
    cr_assert(waits({first, later}, 0, 250) == wait_pair(200, 400));
    forecast.note_completed(0, 1, cores * core, 250);
    // Half of the work fits into the free capacity.
    cr_assert(waits({first}, cores * core / 2, 500).first == 100);
    cr_assert(waits({first}, cores * core, 750).first == 0);
    // Without completions while work waits, the rate falls to a tenth.
    for (int i = 4; i < 40; ++i)
    {
        waits({first}, 0, i * 250);
    }
    cr_assert(forecast.rate() == cores * core / 10);
}
