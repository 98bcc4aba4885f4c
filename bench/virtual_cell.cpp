#include "virtual_cell.hpp"

#include "toucanlever/control/worker_health.hpp"

#include <algorithm>
#include <chrono>
#include <queue>
#include <set>
#include <unordered_map>

namespace bench
{
namespace
{

using namespace toucanlever;

// Run time of an attempt on a bad worker: it fails soon after its start.
constexpr std::int64_t failing_run_us = 10'000;
// Time to make a checkpoint before a job stops; restoring it takes as long
// again.
constexpr std::int64_t checkpoint_duration_us = 100'000;
constexpr std::int64_t sample_interval_us = 250'000;
// Shares are measured only after the peak has had this long to fill the cell.
constexpr std::int64_t peak_settle_us = 10'000'000;

/// Simulation event, ordered by time, then by sequence number.
struct event
{
    std::int64_t at_us = 0;
    std::uint64_t sequence = 0;
    enum class kind
    {
        arrival,
        completion,
        /// The job's checkpoint is complete and it releases its workers.
        checkpointed,
        cancel,
        sample,
        peak_start
    } type = kind::arrival;
    std::size_t job = 0;
    std::uint32_t attempt = 0;

    bool operator>(event const& other) const
    {
        return std::tie(this->at_us, this->sequence) >
               std::tie(other.at_us, other.sequence);
    }
};

struct job_run
{
    std::uint32_t attempt = 0;
    std::vector<worker_slot> slots;
    bool waiting = false;
    bool finished = false;
    bool started_once = false;
    bool will_fail = false;
    /// The next attempt restores a checkpoint first.
    bool resumes_from_checkpoint = false;
    /// When the current attempt starts its work, after any restore, and how
    /// much run time remains.
    std::int64_t work_starts_us = 0;
    std::int64_t remaining_us = 0;
};

class simulation
{
public:
    simulation(placement_policy& policy, trace const& workload)
        : policy(policy)
        , workload(workload)
        , runs(workload.jobs.size())
    {
        // Racks of 8 workers in one failure domain.
        for (std::size_t i = 0; i < workload.worker_capacities.size(); ++i)
        {
            this->cell.add("w" + std::to_string(i), "a",
                "rack-" + std::to_string(i / 8), workload.worker_capacities[i],
                workload.worker_capacities[i]);
        }
        for (std::size_t i = 0; i < workload.jobs.size(); ++i)
        {
            this->job_index[workload.jobs[i].job.id] = i;
            this->runs[i].remaining_us = workload.jobs[i].run_us;
            this->schedule(
                workload.jobs[i].job.queued_at_us, event::kind::arrival, i);
        }
        policy.set_weights(workload.ordinary_weights);
        this->schedule(workload.peak_start_us, event::kind::peak_start, 0);
        for (std::int64_t at = 0; at < workload.length_us;
             at += sample_interval_us)
        {
            this->schedule(at, event::kind::sample, 0);
        }
    }

    simulation_result run()
    {
        while (!this->events.empty() &&
               this->events.top().at_us <= this->workload.length_us)
        {
            event next = this->events.top();
            this->events.pop();
            this->now_us = next.at_us;
            this->handle(next);
            this->place_jobs();
        }
        this->result.unplaced = this->policy.size();
        this->result.packing = this->allocatable_sum > 0.0
                                   ? this->allocated_sum / this->allocatable_sum
                                   : 1.0;
        this->result.shares =
            share_ratios(this->allocated_cpu, this->entitled_cpu);
        this->result.worst_share = min_ratio(this->result.shares);
        this->result.worst_late_share = min_ratio(
            share_ratios(this->late_allocated_cpu, this->late_entitled_cpu));
        return std::move(this->result);
    }

private:
    void schedule(std::int64_t at, event::kind type, std::size_t job,
        std::uint32_t attempt = 0)
    {
        this->events.push(event{at, this->next_sequence++, type, job, attempt});
    }

    void handle(event const& next)
    {
        switch (next.type)
        {
        case event::kind::arrival:
            this->on_arrival(next.job);
            break;
        case event::kind::completion:
            this->on_completion(next);
            break;
        case event::kind::checkpointed:
            this->on_checkpointed(next);
            break;
        case event::kind::cancel:
            this->on_cancel(next.job);
            break;
        case event::kind::peak_start:
            this->policy.set_weights(this->workload.peak_weights);
            break;
        default:
            this->sample();
        }
    }

    void on_arrival(std::size_t job)
    {
        trace_job const& spec = this->workload.jobs[job];
        this->enqueue(job);
        if (spec.cancel_us > 0)
        {
            this->schedule(spec.cancel_us, event::kind::cancel, job);
        }
    }

    void enqueue(std::size_t job)
    {
        this->runs[job].waiting = true;
        this->waiting.insert(job);
        queued_job const& spec = this->workload.jobs[job].job;
        this->policy.enqueue(spec);
        this->waiting_cpu[spec.customer] += this->cpu_millis_of(job);
        this->total_waiting += this->cpu_millis_of(job);
    }

    void mark_not_waiting(std::size_t job)
    {
        this->runs[job].waiting = false;
        this->waiting.erase(job);
        this->waiting_cpu[this->workload.jobs[job].job.customer] -=
            this->cpu_millis_of(job);
        this->total_waiting -= this->cpu_millis_of(job);
    }

    std::int64_t cpu_millis_of(std::size_t job) const
    {
        queued_job const& spec = this->workload.jobs[job].job;
        return spec.need.cpu_millis * spec.tasks;
    }

    void on_cancel(std::size_t job)
    {
        if (this->runs[job].waiting &&
            this->policy.remove(this->workload.jobs[job].job.id))
        {
            this->mark_not_waiting(job);
            this->runs[job].finished = true;
        }
    }

    /// Releases the capacity of a running job and invalidates its pending
    /// events.
    void release_workers(std::size_t job)
    {
        job_run& run = this->runs[job];
        queued_job const& spec = this->workload.jobs[job].job;
        for (worker_slot slot : run.slots)
        {
            this->cell.release(slot, spec.need);
            this->policy.remove_usage(spec.customer, spec.need);
        }
        this->policy.untrack(spec.id);
        this->running_cpu[spec.customer] -= this->cpu_millis_of(job);
        run.slots.clear();
        ++run.attempt;
    }

    void begin_checkpoint(std::size_t job)
    {
        this->schedule(this->now_us + checkpoint_duration_us,
            event::kind::checkpointed, job, this->runs[job].attempt);
        ++this->result.preemptions;
        this->result.checkpoint_overhead +=
            2.0 * static_cast<double>(checkpoint_duration_us) *
            static_cast<double>(this->cpu_millis_of(job));
    }

    void on_checkpointed(event const& next)
    {
        job_run& run = this->runs[next.job];
        if (run.attempt != next.attempt || run.slots.empty())
        {
            return;
        }
        std::int64_t worked =
            this->now_us - checkpoint_duration_us - run.work_starts_us;
        run.remaining_us -= std::max<std::int64_t>(worked, 0);
        run.resumes_from_checkpoint = true;
        this->release_workers(next.job);
        this->enqueue(next.job);
    }

    void on_completion(event const& next)
    {
        job_run& run = this->runs[next.job];
        if (run.attempt != next.attempt || run.slots.empty())
        {
            return;
        }
        worker_slot first = run.slots.front();
        std::string worker = this->cell.at(first).id;
        bool failed = run.will_fail;
        this->release_workers(next.job);
        if (!failed)
        {
            run.finished = true;
            this->health.record_success(worker);
            return;
        }
        this->health.record_failure(
            worker, this->workload.jobs[next.job].job.id);
        if (this->health.is_suspected(worker))
        {
            // The scheduler would probe the worker later. Bad workers never
            // recover in this simulation, so there is no probe.
            this->cell.hold_back(first, true);
        }
        this->enqueue(next.job);
    }

    void place_jobs()
    {
        for (;;)
        {
            auto begin = std::chrono::steady_clock::now();
            auto decision = this->policy.place_next(this->cell, this->now_us);
            auto spent = std::chrono::steady_clock::now() - begin;
            if (!decision)
            {
                if (!this->preempt_jobs())
                {
                    return;
                }
                continue;
            }
            this->result.decision_ns.push_back(
                std::chrono::nanoseconds(spent).count());
            this->result.examined.push_back(decision->examined);
            this->start(*decision);
        }
    }

    bool preempt_jobs()
    {
        auto victims = this->policy.preempt(this->cell, this->now_us);
        for (std::string const& id : victims)
        {
            this->begin_checkpoint(this->job_index.at(id));
        }
        return !victims.empty();
    }

    void start(placement_decision const& decision)
    {
        std::size_t job = this->job_index.at(decision.job.id);
        job_run& run = this->runs[job];
        queued_job const& spec = this->workload.jobs[job].job;
        this->mark_not_waiting(job);
        run.slots = decision.slots;
        for (std::size_t i = 0; i < decision.slots.size(); ++i)
        {
            this->policy.add_usage(spec.customer, spec.need);
        }
        this->running_cpu[spec.customer] += this->cpu_millis_of(job);
        if (spec.kind == job_kind::batch && !spec.urgent)
        {
            this->policy.track(
                running_job{spec.id, spec.customer, spec.need, this->now_us},
                run.slots.front());
        }
        ++this->result.placed;
        if (!run.started_once)
        {
            run.started_once = true;
            this->record_wait(spec);
        }
        run.will_fail = std::any_of(run.slots.begin(), run.slots.end(),
            [this](worker_slot slot)
            { return slot < this->workload.bad_workers; });
        run.work_starts_us =
            this->now_us +
            (run.resumes_from_checkpoint ? checkpoint_duration_us : 0);
        std::int64_t length =
            run.will_fail
                ? failing_run_us
                : run.work_starts_us - this->now_us + run.remaining_us;
        this->schedule(
            this->now_us + length, event::kind::completion, job, run.attempt);
    }

    void record_wait(queued_job const& job)
    {
        std::int64_t waited = this->now_us - job.queued_at_us;
        std::string kind =
            job.urgent ? "urgent" : std::string(name_of(job.kind));
        this->result.waits_us[kind].push_back(waited);
        if (job.urgent && job.queued_at_us >= this->workload.peak_start_us)
        {
            this->result.peak_urgent_waits_us.push_back(waited);
        }
    }

    /// Samples packing while jobs wait. The allocatable amount is the smaller
    /// of demand and capacity; bad workers do not count as capacity, because
    /// no job may be placed on them once they are held back.
    void sample()
    {
        if (this->total_waiting <= 0)
        {
            return;
        }
        resources total = this->cell.total_capacity();
        double bad_capacity = 0.0;
        for (worker_slot slot = 0; slot < this->workload.bad_workers; ++slot)
        {
            bad_capacity +=
                static_cast<double>(this->cell.at(slot).capacity.cpu_millis);
        }
        double capacity = static_cast<double>(total.cpu_millis) - bad_capacity;
        double running = 0.0;
        for (auto const& entry : this->running_cpu)
        {
            running += static_cast<double>(entry.second);
        }
        double total_demand =
            running + static_cast<double>(this->total_waiting);
        this->allocated_sum += running;
        this->result.allocated_work +=
            running * static_cast<double>(sample_interval_us);
        this->allocatable_sum += std::min(capacity, total_demand);
        bool settled =
            this->now_us >= this->workload.peak_start_us + peak_settle_us;
        if (settled)
        {
            this->sample_shares(running);
        }
    }

    /// Samples the allocation and the entitlement of each customer with
    /// waiting jobs. The entitlements distribute the running capacity by weight
    /// among the customers with demand, each limited to its demand.
    void sample_shares(double running)
    {
        this->sample_late_shares(running);
        std::map<std::string, double> demands;
        for (auto const& entry : this->workload.peak_weights)
        {
            double demand = static_cast<double>(this->running_cpu[entry.first] +
                                                this->waiting_cpu[entry.first]);
            if (demand > 0.0)
            {
                demands[entry.first] = demand;
            }
        }
        auto entitled = this->distribute_by_weight(demands, running);
        for (auto const& entry : demands)
        {
            if (this->waiting_cpu[entry.first] > 0)
            {
                this->allocated_cpu[entry.first] +=
                    static_cast<double>(this->running_cpu[entry.first]);
                this->entitled_cpu[entry.first] += entitled[entry.first];
            }
        }
    }

    /// As sample_shares(), without jobs that have waited for no longer than a
    /// checkpoint takes: capacity cannot be freed for them any sooner.
    void sample_late_shares(double running)
    {
        std::map<std::string, double> demands;
        std::set<std::string> waiting_customers;
        for (auto const& entry : this->running_cpu)
        {
            if (entry.second > 0)
            {
                demands[entry.first] = static_cast<double>(entry.second);
            }
        }
        for (std::size_t job : this->waiting)
        {
            queued_job const& spec = this->workload.jobs[job].job;
            if (this->now_us - spec.queued_at_us > checkpoint_duration_us)
            {
                demands[spec.customer] +=
                    static_cast<double>(this->cpu_millis_of(job));
                waiting_customers.insert(spec.customer);
            }
        }
        auto entitled = this->distribute_by_weight(demands, running);
        for (std::string const& customer : waiting_customers)
        {
            this->late_allocated_cpu[customer] +=
                static_cast<double>(this->running_cpu[customer]);
            this->late_entitled_cpu[customer] += entitled[customer];
        }
    }

    /// Distributes `amount` by weight, each customer limited to its demand
    /// (water-filling).
    std::map<std::string, double> distribute_by_weight(
        std::map<std::string, double> demands, double amount) const
    {
        std::map<std::string, double> entitlements;
        while (!demands.empty())
        {
            double weights = 0.0;
            for (auto const& entry : demands)
            {
                weights += static_cast<double>(
                    this->workload.peak_weights.at(entry.first));
            }
            double level = amount / weights;
            auto satisfied = std::find_if(demands.begin(), demands.end(),
                [this, level](auto const& entry)
                {
                    return entry.second <=
                           level *
                               static_cast<double>(
                                   this->workload.peak_weights.at(entry.first));
                });
            if (satisfied == demands.end())
            {
                for (auto const& entry : demands)
                {
                    entitlements[entry.first] =
                        level *
                        static_cast<double>(
                            this->workload.peak_weights.at(entry.first));
                }
                return entitlements;
            }
            entitlements[satisfied->first] = satisfied->second;
            amount -= satisfied->second;
            demands.erase(satisfied);
        }
        return entitlements;
    }

    static std::map<std::string, double> share_ratios(
        std::map<std::string, double> const& allocated_cpu,
        std::map<std::string, double> const& entitled_cpu)
    {
        std::map<std::string, double> ratios;
        for (auto const& entry : entitled_cpu)
        {
            if (entry.second > 0.0)
            {
                ratios[entry.first] =
                    allocated_cpu.at(entry.first) / entry.second;
            }
        }
        return ratios;
    }

    static double min_ratio(std::map<std::string, double> const& shares)
    {
        double lowest = 1.0;
        for (auto const& entry : shares)
        {
            lowest = std::min(lowest, entry.second);
        }
        return lowest;
    }

    placement_policy& policy;
    trace const& workload;
    cell_view cell;
    worker_health health;
    std::vector<job_run> runs;
    std::unordered_map<std::string, std::size_t> job_index;
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    std::uint64_t next_sequence = 0;
    std::int64_t now_us = 0;
    // Processors in millicores; the maps are by customer.
    std::map<std::string, std::int64_t> waiting_cpu;
    std::map<std::string, std::int64_t> running_cpu;
    std::int64_t total_waiting = 0;
    // Sums over the samples, in millicores.
    double allocated_sum = 0.0;
    double allocatable_sum = 0.0;
    std::map<std::string, double> allocated_cpu;
    std::map<std::string, double> entitled_cpu;
    std::map<std::string, double> late_allocated_cpu;
    std::map<std::string, double> late_entitled_cpu;
    std::set<std::size_t> waiting;
    simulation_result result;
};

} // namespace

simulation_result simulate(placement_policy& policy, trace const& workload)
{
    return simulation(policy, workload).run();
}

std::int64_t quantile(std::vector<std::int64_t> values, double fraction)
{
    if (values.empty())
    {
        return 0;
    }
    std::sort(values.begin(), values.end());
    auto at =
        static_cast<std::size_t>(fraction * static_cast<double>(values.size()));
    return values[std::min(at, values.size() - 1)];
}

} // namespace bench
