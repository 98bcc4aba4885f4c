/// In-memory workers: they accept orders of the highest fencing token, start
/// the runs that are ordered, and end them when the test says so. Any of them
/// can be made unresponsive.
#pragma once

#include "toucanlever/cell/worker_orders.hpp"
#include "toucanlever/core/event_loop.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>

namespace toucanlever
{

/// A watch that is carried out later.
struct delayed_watch
{
    watch_order order;
    /// Empty when the caller was told that the reply is lost.
    worker_orders::watch_callback done;
};

/// The state of one worker.
struct fake_cell_worker
{
    std::uint64_t fencing_token = 0;
    std::int64_t lease_until_ms = 0;
    std::int64_t acknowledged = 0;
    std::int64_t last_number = 0;
    std::int64_t started_ms = 1;
    /// When its clock began to count.
    time_point clock_started_at{};
    bool silent = false;
    /// The progress of all its runs, in percent.
    int progress = 0;
    /// As many watches fail at once and have no effect.
    int lost_connections = 0;
    /// Watches are answered by another incarnation at its address.
    bool replaced = false;
    /// How many of the next starts are carried out without a reply.
    int lose_replies = 0;
    /// Starts get no reply and are queued until `deliver_delayed_starts`.
    bool delay_starts = false;
    /// The same, but the callers wait for the replies without end.
    bool withhold_replies = false;
    /// How the next start is refused.
    std::optional<order_outcome> refuse_next;
    /// Stops are not carried out, and get no reply.
    bool lose_stops = false;
    int stops = 0;
    /// Runs that are stopped go on until the test ends them.
    bool slow_stops = false;
    /// Watches get no reply and are queued until `deliver_delayed_watches`.
    bool delay_watches = false;
    /// The same, but the callers wait for the replies without end.
    bool withhold_watches = false;
    /// A reply lists at most this many completions.
    std::size_t max_listed = 500;
    /// Watches are carried out at once; their replies arrive with
    /// `deliver_withheld_answers`.
    bool withhold_answers = false;
    std::vector<start_order> delayed_starts;
    std::vector<delayed_watch> delayed_watches;
    std::vector<std::function<void()>> withheld_answers;
    /// By task: the highest run that a stop has barred from starting.
    std::map<task_id, std::uint64_t> barred;
    std::map<task_id, std::uint64_t> running;
    std::vector<completed_run> completions;
    std::vector<start_order> starts;
};

class fake_workers final : public worker_orders
{
public:
    explicit fake_workers(event_loop& loop)
        : loop(loop)
    {
    }

    void start(worker_target const& target, start_order const& order,
        order_callback done) override
    {
        fake_cell_worker& worker = this->workers[target.id];
        if (worker.silent)
        {
            done({order_outcome::in_doubt, -1, "silent"});
            return;
        }
        if (this->refused_jobs.contains(order.task.step.job))
        {
            ++this->refused_starts;
            this->loop.post(
                [done, clock_ms = this->clock_of(worker)] {
                    done({order_outcome::not_done, clock_ms, {}});
                });
            return;
        }
        if (worker.refuse_next)
        {
            order_outcome refusal = *worker.refuse_next;
            worker.refuse_next.reset();
            done({refusal, this->clock_of(worker), {}});
            return;
        }
        if (worker.delay_starts)
        {
            worker.delayed_starts.push_back(order);
            done({order_outcome::in_doubt, -1, "no answer"});
            return;
        }
        if (worker.withhold_replies)
        {
            worker.delayed_starts.push_back(order);
            return;
        }
        if (order.fencing_token < worker.fencing_token)
        {
            done({order_outcome::refused_fenced, this->clock_of(worker), {}});
            return;
        }
        this->apply_start(target.id, order);
        if (this->on_started)
        {
            this->on_started(worker);
        }
        bool lose_reply = worker.lose_replies > 0;
        worker.lose_replies -= lose_reply ? 1 : 0;
        done({lose_reply ? order_outcome::in_doubt : order_outcome::done,
            this->clock_of(worker), {}});
    }

    void stop(worker_target const& target, stop_order const& order,
        order_callback done) override
    {
        fake_cell_worker& worker = this->workers[target.id];
        ++worker.stops;
        if (worker.silent || worker.lose_stops)
        {
            done({order_outcome::in_doubt, -1, "silent"});
            return;
        }
        worker.barred[order.task] =
            std::max(worker.barred[order.task], order.run);
        auto found = worker.running.find(order.task);
        if (found != worker.running.end() && found->second <= order.run &&
            !worker.slow_stops)
        {
            this->end_run(target.id, order.task, run_outcome::stopped);
        }
        done({order_outcome::done, this->clock_of(worker), {}});
    }

    void watch(worker_target const& target, watch_order const& order,
        watch_callback done) override
    {
        fake_cell_worker& worker = this->workers[target.id];
        watch_result result;
        if (worker.silent || worker.lost_connections > 0)
        {
            worker.lost_connections -= worker.lost_connections > 0 ? 1 : 0;
            done(result);
            return;
        }
        if (worker.replaced)
        {
            result.outcome = order_outcome::other_incarnation;
            done(result);
            return;
        }
        if (worker.delay_watches || worker.withhold_watches)
        {
            bool replies_later = worker.withhold_watches;
            worker.delayed_watches.push_back(
                {order, replies_later ? done : watch_callback{}});
            if (!replies_later)
            {
                done(result);
            }
            return;
        }
        if (order.fencing_token < worker.fencing_token)
        {
            result.outcome = order_outcome::refused_fenced;
            done(result);
            return;
        }
        this->apply_watch(worker, order);
        result.outcome = order_outcome::done;
        result.clock_ms = this->clock_of(worker);
        result.started_ms = worker.started_ms;
        result.completions = worker.completions;
        result.all_completions = result.completions.size() < worker.max_listed;
        result.completions.resize(
            std::min(result.completions.size(), worker.max_listed));
        for (auto const& [task, run] : worker.running)
        {
            result.running.push_back({task, run, {}, worker.progress});
        }
        if (worker.withhold_answers)
        {
            worker.withheld_answers.push_back([done, result] { done(result); });
            return;
        }
        done(result);
    }

    /// Delivers the replies of watches that were carried out before.
    void deliver_withheld_answers(std::string const& id)
    {
        this->workers[id].withhold_answers = false;
        std::vector<std::function<void()>> const answers =
            std::move(this->workers[id].withheld_answers);
        this->workers[id].withheld_answers.clear();
        for (auto const& answer : answers)
        {
            answer();
        }
    }

    /// Carries out the delayed starts of a worker, except those of barred runs.
    void deliver_delayed_starts(std::string const& id)
    {
        std::vector<start_order> orders =
            std::move(this->workers[id].delayed_starts);
        this->workers[id].delayed_starts.clear();
        for (start_order const& order : orders)
        {
            if (order.run > this->workers[id].barred[order.task])
            {
                this->apply_start(id, order);
            }
        }
    }

    /// Carries out the delayed watches of a worker; their replies are lost.
    void deliver_delayed_watches(std::string const& id)
    {
        std::vector<delayed_watch> watches =
            std::move(this->workers[id].delayed_watches);
        this->workers[id].delayed_watches.clear();
        for (delayed_watch const& watch : watches)
        {
            if (watch.order.fencing_token >= this->workers[id].fencing_token)
            {
                this->apply_watch(this->workers[id], watch.order);
            }
        }
        for (delayed_watch const& watch : watches)
        {
            if (watch.done)
            {
                watch.done({});
            }
        }
    }

    /// Carries out the delayed watches of a worker and replies to those that it
    /// refuses because of their fencing token.
    void deliver_delayed_watches_with_refusals(std::string const& id)
    {
        std::vector<delayed_watch> watches =
            std::move(this->workers[id].delayed_watches);
        this->workers[id].delayed_watches.clear();
        for (delayed_watch const& watch : watches)
        {
            watch_result result;
            if (watch.order.fencing_token < this->workers[id].fencing_token)
            {
                result.outcome = order_outcome::refused_fenced;
            }
            else
            {
                this->apply_watch(this->workers[id], watch.order);
            }
            if (watch.done)
            {
                watch.done(result);
            }
        }
    }

    /// Ends the run of a task on a worker; does nothing when none is running.
    void end_run(
        std::string const& id, task_id const& task, run_outcome outcome)
    {
        fake_cell_worker& worker = this->workers[id];
        auto found = worker.running.find(task);
        if (found == worker.running.end())
        {
            return;
        }
        worker.completions.push_back(
            {++worker.last_number, task, found->second, outcome, {}});
        worker.running.erase(found);
    }

    /// Ends all runs on all workers.
    void end_all_runs(run_outcome outcome)
    {
        for (auto& [id, worker] : this->workers)
        {
            while (!worker.running.empty())
            {
                this->end_run(id, worker.running.begin()->first, outcome);
            }
        }
    }

    std::size_t running_count() const
    {
        std::size_t count = 0;
        for (auto const& [id, worker] : this->workers)
        {
            count += worker.running.size();
        }
        return count;
    }

    event_loop& loop;
    std::map<std::string, fake_cell_worker> workers;
    /// Every worker refuses the starts of these jobs.
    std::set<std::string> refused_jobs;
    int refused_starts = 0;
    std::vector<std::pair<std::string, task_id>> all_starts;
    /// Called after each start that a worker carries out, before its reply.
    std::function<void(fake_cell_worker&)> on_started;

private:
    void apply_start(std::string const& id, start_order const& order)
    {
        fake_cell_worker& worker = this->workers[id];
        this->raise_token_and_lease(
            worker, order.fencing_token, order.lease_until_ms);
        worker.starts.push_back(order);
        worker.running[order.task] = order.run;
        this->all_starts.push_back({id, order.task});
    }

    void apply_watch(fake_cell_worker& worker, watch_order const& order)
    {
        this->raise_token_and_lease(
            worker, order.fencing_token, order.lease_until_ms);
        worker.acknowledged = std::max(worker.acknowledged, order.acknowledged);
        std::erase_if(worker.completions,
            [&order](completed_run const& completion)
            { return completion.number <= order.acknowledged; });
    }

    std::int64_t clock_of(fake_cell_worker const& worker) const
    {
        return std::chrono::duration_cast<milliseconds>(
            this->loop.now() - worker.clock_started_at)
            .count();
    }

    void raise_token_and_lease(fake_cell_worker& worker,
        std::uint64_t fencing_token, std::int64_t lease_until_ms)
    {
        worker.fencing_token = std::max(worker.fencing_token, fencing_token);
        worker.lease_until_ms = std::max(worker.lease_until_ms, lease_until_ms);
    }
};

} // namespace toucanlever
