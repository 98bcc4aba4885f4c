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

constexpr std::int64_t fail_after_us = 10'000;
// What a job spends on its worker when it is stopped at a checkpoint, and again
// when it goes on from there.
constexpr std::int64_t checkpoint_us = 100'000;
constexpr std::int64_t sample_us = 250'000;
// Shares are compared once the peak has filled the cell.
constexpr std::int64_t settle_us = 10'000'000;

/// Something that happens at a moment; ties go by number.
struct event
{
    std::int64_t at_us = 0;
    std::uint64_t number = 0;
    enum class kind
    {
        arrival,
        end,
        /// Its checkpoint is made: it leaves its worker.
        stopped,
        cancel,
        sample,
        preset
    } what = kind::arrival;
    std::size_t job = 0;
    std::uint32_t attempt = 0;

    bool operator>(event const& other) const
    {
        return std::tie(this->at_us, this->number) >
               std::tie(other.at_us, other.number);
    }
};

struct job_run
{
    std::uint32_t attempt = 0;
    std::vector<worker_slot> slots;
    bool waiting = false;
    bool over = false;
    bool started_once = false;
    bool failing = false;
    /// It goes on from a checkpoint.
    bool resumes = false;
    /// When the present attempt does its first work, and what it has to do.
    std::int64_t begins_us = 0;
    std::int64_t left_us = 0;
};

class simulation
{
public:
    simulation(placement_policy& policy, trace const& work)
        : policy(policy)
        , work(work)
        , runs(work.jobs.size())
    {
        for (std::size_t i = 0; i < work.workers.size(); ++i)
        {
            this->cell.add("w" + std::to_string(i), "a",
                "rack-" + std::to_string(i / 8), work.workers[i],
                work.workers[i]);
        }
        for (std::size_t i = 0; i < work.jobs.size(); ++i)
        {
            this->index[work.jobs[i].job.id] = i;
            this->runs[i].left_us = work.jobs[i].run_us;
            this->add(work.jobs[i].job.queued_at_us, event::kind::arrival, i);
        }
        policy.set_weights(work.ordinary);
        this->add(work.peak_us, event::kind::preset, 0);
        for (std::int64_t at = 0; at < work.length_us; at += sample_us)
        {
            this->add(at, event::kind::sample, 0);
        }
    }

    outcome run()
    {
        while (!this->events.empty() &&
               this->events.top().at_us <= this->work.length_us)
        {
            event next = this->events.top();
            this->events.pop();
            this->now_us = next.at_us;
            this->handle(next);
            this->place();
        }
        this->result.unplaced = this->policy.size();
        this->result.packing =
            this->could_give > 0.0 ? this->given / this->could_give : 1.0;
        this->result.shares = parts(this->had, this->due);
        this->result.worst_share = worst(this->result.shares);
        this->result.worst_late_share =
            worst(parts(this->late_had, this->late_due));
        return std::move(this->result);
    }

private:
    void add(std::int64_t at, event::kind what, std::size_t job,
        std::uint32_t attempt = 0)
    {
        this->events.push(event{at, this->next_number++, what, job, attempt});
    }

    void handle(event const& next)
    {
        switch (next.what)
        {
        case event::kind::arrival:
            this->arrive(next.job);
            break;
        case event::kind::end:
            this->end(next);
            break;
        case event::kind::stopped:
            this->leave_at_checkpoint(next);
            break;
        case event::kind::cancel:
            this->cancel(next.job);
            break;
        case event::kind::preset:
            this->policy.set_weights(this->work.peak);
            break;
        default:
            this->sample();
        }
    }

    void arrive(std::size_t job)
    {
        trace_job const& made = this->work.jobs[job];
        this->enqueue(job);
        if (made.cancel_us > 0)
        {
            this->add(made.cancel_us, event::kind::cancel, job);
        }
    }

    void enqueue(std::size_t job)
    {
        this->runs[job].waiting = true;
        this->waiting.insert(job);
        queued_job const& made = this->work.jobs[job].job;
        this->policy.enqueue(made);
        this->waiting_cpu[made.customer] += this->cpu_of(job);
        this->total_waiting += this->cpu_of(job);
    }

    void no_longer_waits(std::size_t job)
    {
        this->runs[job].waiting = false;
        this->waiting.erase(job);
        this->waiting_cpu[this->work.jobs[job].job.customer] -=
            this->cpu_of(job);
        this->total_waiting -= this->cpu_of(job);
    }

    std::int64_t cpu_of(std::size_t job) const
    {
        queued_job const& made = this->work.jobs[job].job;
        return made.need.cpu_millis * made.tasks;
    }

    void cancel(std::size_t job)
    {
        if (this->runs[job].waiting &&
            this->policy.remove(this->work.jobs[job].job.id))
        {
            this->no_longer_waits(job);
            this->runs[job].over = true;
        }
    }

    /// Takes a running job off its workers.
    void vacate(std::size_t job)
    {
        job_run& run = this->runs[job];
        queued_job const& made = this->work.jobs[job].job;
        for (worker_slot slot : run.slots)
        {
            this->cell.release(slot, made.need);
            this->policy.remove_usage(made.customer, made.need);
        }
        this->policy.untrack(made.id);
        this->running_cpu[made.customer] -= this->cpu_of(job);
        run.slots.clear();
        ++run.attempt;
    }

    void stop(std::size_t job)
    {
        this->add(this->now_us + checkpoint_us, event::kind::stopped, job,
            this->runs[job].attempt);
        ++this->result.preemptions;
        this->result.spent_on_checkpoints +=
            2.0 * static_cast<double>(checkpoint_us) *
            static_cast<double>(this->cpu_of(job));
    }

    void leave_at_checkpoint(event const& next)
    {
        job_run& run = this->runs[next.job];
        if (run.attempt != next.attempt || run.slots.empty())
        {
            return;
        }
        std::int64_t worked = this->now_us - checkpoint_us - run.begins_us;
        run.left_us -= std::max<std::int64_t>(worked, 0);
        run.resumes = true;
        this->vacate(next.job);
        this->enqueue(next.job);
    }

    void end(event const& next)
    {
        job_run& run = this->runs[next.job];
        if (run.attempt != next.attempt || run.slots.empty())
        {
            return;
        }
        worker_slot first = run.slots.front();
        std::string worker = this->cell.at(first).id;
        bool failed = run.failing;
        this->vacate(next.job);
        if (!failed)
        {
            run.over = true;
            this->health.record_success(worker);
            return;
        }
        this->health.record_failure(worker, this->work.jobs[next.job].job.id);
        if (this->health.is_suspected(worker))
        {
            // The probe is left out: the worker stays bad in this trace.
            this->cell.hold_back(first, true);
        }
        this->enqueue(next.job);
    }

    void place()
    {
        for (;;)
        {
            auto begin = std::chrono::steady_clock::now();
            auto decision = this->policy.place_next(this->cell, this->now_us);
            auto spent = std::chrono::steady_clock::now() - begin;
            if (!decision)
            {
                if (!this->make_room())
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

    bool make_room()
    {
        auto victims = this->policy.preempt(this->cell, this->now_us);
        for (std::string const& id : victims)
        {
            this->stop(this->index.at(id));
        }
        return !victims.empty();
    }

    void start(placement_decision const& decision)
    {
        std::size_t job = this->index.at(decision.job.id);
        job_run& run = this->runs[job];
        queued_job const& made = this->work.jobs[job].job;
        this->no_longer_waits(job);
        run.slots = decision.slots;
        for (std::size_t i = 0; i < decision.slots.size(); ++i)
        {
            this->policy.add_usage(made.customer, made.need);
        }
        this->running_cpu[made.customer] += this->cpu_of(job);
        if (made.kind == job_kind::batch && !made.urgent)
        {
            this->policy.track(
                running_job{made.id, made.customer, made.need, this->now_us},
                run.slots.front());
        }
        ++this->result.placed;
        if (!run.started_once)
        {
            run.started_once = true;
            this->record_wait(made);
        }
        run.failing = std::any_of(run.slots.begin(), run.slots.end(),
            [this](worker_slot slot) { return slot < this->work.bad_workers; });
        run.begins_us = this->now_us + (run.resumes ? checkpoint_us : 0);
        std::int64_t length = run.failing
                                  ? fail_after_us
                                  : run.begins_us - this->now_us + run.left_us;
        this->add(this->now_us + length, event::kind::end, job, run.attempt);
    }

    void record_wait(queued_job const& job)
    {
        std::int64_t waited = this->now_us - job.queued_at_us;
        std::string kind =
            job.urgent ? "urgent" : std::string(name_of(job.kind));
        this->result.waits_us[kind].push_back(waited);
        if (job.urgent && job.queued_at_us >= this->work.peak_us)
        {
            this->result.peak_urgent_waits_us.push_back(waited);
        }
    }

    /// What could be given: no more than there is, and no more than is
    /// wanted. Bad workers that are held back cannot be given.
    void sample()
    {
        if (this->total_waiting <= 0)
        {
            return;
        }
        resources whole = this->cell.total_capacity();
        double lost = 0.0;
        for (worker_slot slot = 0; slot < this->work.bad_workers; ++slot)
        {
            lost +=
                static_cast<double>(this->cell.at(slot).capacity.cpu_millis);
        }
        double capacity = static_cast<double>(whole.cpu_millis) - lost;
        double running = 0.0;
        for (auto const& entry : this->running_cpu)
        {
            running += static_cast<double>(entry.second);
        }
        double wanted = running + static_cast<double>(this->total_waiting);
        this->given += running;
        this->result.given_work += running * static_cast<double>(sample_us);
        this->could_give += std::min(capacity, wanted);
        bool settled = this->now_us >= this->work.peak_us + settle_us;
        if (settled)
        {
            this->sample_shares(running);
        }
    }

    /// Entitlements are parts of what is given now, among customers that
    /// want something; nobody is entitled to more than it wants.
    void sample_shares(double running)
    {
        this->sample_late_shares(running);
        std::map<std::string, double> wants;
        for (auto const& entry : this->work.peak)
        {
            double want = static_cast<double>(this->running_cpu[entry.first] +
                                              this->waiting_cpu[entry.first]);
            if (want > 0.0)
            {
                wants[entry.first] = want;
            }
        }
        auto entitled = this->fill(wants, running);
        for (auto const& entry : wants)
        {
            if (this->waiting_cpu[entry.first] > 0)
            {
                this->had[entry.first] +=
                    static_cast<double>(this->running_cpu[entry.first]);
                this->due[entry.first] += entitled[entry.first];
            }
        }
    }

    /// The same without jobs that wait for less than a checkpoint takes: until
    /// then nobody can have made room for them.
    void sample_late_shares(double running)
    {
        std::map<std::string, double> wants;
        std::set<std::string> waits;
        for (auto const& entry : this->running_cpu)
        {
            if (entry.second > 0)
            {
                wants[entry.first] = static_cast<double>(entry.second);
            }
        }
        for (std::size_t job : this->waiting)
        {
            queued_job const& made = this->work.jobs[job].job;
            if (this->now_us - made.queued_at_us > checkpoint_us)
            {
                wants[made.customer] += static_cast<double>(this->cpu_of(job));
                waits.insert(made.customer);
            }
        }
        auto entitled = this->fill(wants, running);
        for (std::string const& customer : waits)
        {
            this->late_had[customer] +=
                static_cast<double>(this->running_cpu[customer]);
            this->late_due[customer] += entitled[customer];
        }
    }

    /// Water-filling by weight.
    std::map<std::string, double> fill(
        std::map<std::string, double> wants, double amount) const
    {
        std::map<std::string, double> filled;
        while (!wants.empty())
        {
            double weights = 0.0;
            for (auto const& entry : wants)
            {
                weights += static_cast<double>(this->work.peak.at(entry.first));
            }
            double level = amount / weights;
            auto small = std::find_if(wants.begin(), wants.end(),
                [this, level](auto const& entry)
                {
                    return entry.second <=
                           level * static_cast<double>(
                                       this->work.peak.at(entry.first));
                });
            if (small == wants.end())
            {
                for (auto const& entry : wants)
                {
                    filled[entry.first] =
                        level *
                        static_cast<double>(this->work.peak.at(entry.first));
                }
                return filled;
            }
            filled[small->first] = small->second;
            amount -= small->second;
            wants.erase(small);
        }
        return filled;
    }

    static std::map<std::string, double> parts(
        std::map<std::string, double> const& had,
        std::map<std::string, double> const& due)
    {
        std::map<std::string, double> all;
        for (auto const& entry : due)
        {
            if (entry.second > 0.0)
            {
                all[entry.first] = had.at(entry.first) / entry.second;
            }
        }
        return all;
    }

    static double worst(std::map<std::string, double> const& shares)
    {
        double least = 1.0;
        for (auto const& entry : shares)
        {
            least = std::min(least, entry.second);
        }
        return least;
    }

    placement_policy& policy;
    trace const& work;
    cell_view cell;
    worker_health health;
    std::vector<job_run> runs;
    std::unordered_map<std::string, std::size_t> index;
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    std::uint64_t next_number = 0;
    std::int64_t now_us = 0;
    std::map<std::string, std::int64_t> waiting_cpu;
    std::map<std::string, std::int64_t> running_cpu;
    std::int64_t total_waiting = 0;
    double given = 0.0;
    double could_give = 0.0;
    std::map<std::string, double> had;
    std::map<std::string, double> due;
    std::map<std::string, double> late_had;
    std::map<std::string, double> late_due;
    std::set<std::size_t> waiting;
    outcome result;
};

} // namespace

outcome run(placement_policy& policy, trace const& work)
{
    return simulation(policy, work).run();
}

std::int64_t quantile(std::vector<std::int64_t> list, double part)
{
    if (list.empty())
    {
        return 0;
    }
    std::sort(list.begin(), list.end());
    auto at = static_cast<std::size_t>(part * static_cast<double>(list.size()));
    return list[std::min(at, list.size() - 1)];
}

} // namespace bench
