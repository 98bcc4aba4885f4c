/// Workers in memory: they obey the highest fencing token, run what they are
/// told, and end it when the test says so. Any of them can fall silent.
#pragma once

#include "toucanlever/cell/worker_orders.hpp"
#include "toucanlever/core/event_loop.hpp"

#include <map>
#include <set>

namespace toucanlever
{

/// One worker's side.
struct fake_cell_worker
{
    std::uint64_t fencing_token = 0;
    std::int64_t lease_until_ms = 0;
    std::int64_t acknowledged = 0;
    std::int64_t last_number = 0;
    std::int64_t started_ms = 1;
    bool silent = false;
    /// Orders are carried out and not answered.
    int lose_answers = 0;
    /// Starts get no answer and wait to be carried out by `arrive`.
    bool delay_starts = false;
    std::vector<start_order> delayed_starts;
    /// Runs that a stop has barred.
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
        if (worker.delay_starts)
        {
            worker.delayed_starts.push_back(order);
            done({order_outcome::in_doubt, -1, "no answer"});
            return;
        }
        if (order.fencing_token < worker.fencing_token)
        {
            done({order_outcome::refused_fenced, this->clock(), {}});
            return;
        }
        this->apply_start(target.id, order);
        bool lost = worker.lose_answers > 0;
        worker.lose_answers -= lost ? 1 : 0;
        done({lost ? order_outcome::in_doubt : order_outcome::done,
            this->clock(), {}});
    }

    void stop(worker_target const& target, stop_order const& order,
        order_callback done) override
    {
        fake_cell_worker& worker = this->workers[target.id];
        if (worker.silent)
        {
            done({order_outcome::in_doubt, -1, "silent"});
            return;
        }
        worker.barred[order.task] =
            std::max(worker.barred[order.task], order.run);
        auto found = worker.running.find(order.task);
        if (found != worker.running.end() && found->second <= order.run)
        {
            this->end_run(target.id, order.task, run_outcome::stopped);
        }
        done({order_outcome::done, this->clock(), {}});
    }

    void watch(worker_target const& target, watch_order const& order,
        watch_callback done) override
    {
        fake_cell_worker& worker = this->workers[target.id];
        watch_result result;
        if (worker.silent)
        {
            done(result);
            return;
        }
        if (order.fencing_token < worker.fencing_token)
        {
            result.outcome = order_outcome::refused_fenced;
            done(result);
            return;
        }
        this->raise_token_and_lease(
            worker, order.fencing_token, order.lease_until_ms);
        worker.acknowledged = std::max(worker.acknowledged, order.acknowledged);
        std::erase_if(worker.completions, [&worker](completed_run const& end)
            { return end.number <= worker.acknowledged; });
        result.outcome = order_outcome::done;
        result.clock_ms = this->clock();
        result.started_ms = worker.started_ms;
        result.completions = worker.completions;
        for (auto const& [task, run] : worker.running)
        {
            result.running.push_back({task, run, {}, 0});
        }
        done(result);
    }

    /// Delayed starts are carried out after all.
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

    /// A task ends on a worker.
    void end_run(std::string const& id, task_id const& task, run_outcome how)
    {
        fake_cell_worker& worker = this->workers[id];
        auto found = worker.running.find(task);
        if (found == worker.running.end())
        {
            return;
        }
        worker.completions.push_back(
            {++worker.last_number, task, found->second, how, {}});
        worker.running.erase(found);
    }

    /// All that runs anywhere ends.
    void end_all_runs(run_outcome how)
    {
        for (auto& [id, worker] : this->workers)
        {
            while (!worker.running.empty())
            {
                this->end_run(id, worker.running.begin()->first, how);
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
    std::vector<std::pair<std::string, task_id>> all_starts;

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

    std::int64_t clock() const
    {
        return std::chrono::duration_cast<milliseconds>(
            this->loop.now().time_since_epoch())
            .count();
    }

    void raise_token_and_lease(
        fake_cell_worker& worker, std::uint64_t fence, std::int64_t until)
    {
        worker.fencing_token = std::max(worker.fencing_token, fence);
        worker.lease_until_ms = std::max(worker.lease_until_ms, until);
    }
};

} // namespace toucanlever
