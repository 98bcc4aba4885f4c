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
    std::uint64_t fence = 0;
    std::int64_t lease_until_ms = 0;
    std::int64_t acknowledged = 0;
    std::int64_t last_number = 0;
    std::int64_t started_ms = 1;
    bool silent = false;
    /// Orders are carried out and not answered.
    int lose_answers = 0;
    /// Starts get no answer and wait to be carried out by `arrive`.
    bool delay_starts = false;
    std::vector<start_order> delayed;
    /// Runs that a stop has barred.
    std::map<task_id, std::uint64_t> barred;
    std::map<task_id, std::uint64_t> running;
    std::vector<ended_task> ended;
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
            worker.delayed.push_back(order);
            done({order_outcome::in_doubt, -1, "no answer"});
            return;
        }
        if (order.fence < worker.fence)
        {
            done({order_outcome::refused_fenced, this->clock(), {}});
            return;
        }
        this->carry_out(target.id, order);
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
            this->end(target.id, order.task, run_end::stopped);
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
        if (order.fence < worker.fence)
        {
            result.outcome = order_outcome::refused_fenced;
            done(result);
            return;
        }
        this->obey(worker, order.fence, order.lease_until_ms);
        worker.acknowledged = std::max(worker.acknowledged, order.acknowledged);
        std::erase_if(worker.ended, [&worker](ended_task const& end)
            { return end.number <= worker.acknowledged; });
        result.outcome = order_outcome::done;
        result.clock_ms = this->clock();
        result.started_ms = worker.started_ms;
        result.ended = worker.ended;
        for (auto const& [task, run] : worker.running)
        {
            result.running.push_back({task, run, {}, 0});
        }
        done(result);
    }

    /// Delayed starts are carried out after all.
    void arrive(std::string const& id)
    {
        std::vector<start_order> orders = std::move(this->workers[id].delayed);
        this->workers[id].delayed.clear();
        for (start_order const& order : orders)
        {
            if (order.run > this->workers[id].barred[order.task])
            {
                this->carry_out(id, order);
            }
        }
    }

    /// A task ends on a worker.
    void end(std::string const& id, task_id const& task, run_end how)
    {
        fake_cell_worker& worker = this->workers[id];
        auto found = worker.running.find(task);
        if (found == worker.running.end())
        {
            return;
        }
        worker.ended.push_back(
            {++worker.last_number, task, found->second, how, {}});
        worker.running.erase(found);
    }

    /// All that runs anywhere ends.
    void end_all(run_end how)
    {
        for (auto& [id, worker] : this->workers)
        {
            while (!worker.running.empty())
            {
                this->end(id, worker.running.begin()->first, how);
            }
        }
    }

    std::size_t running() const
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
    void carry_out(std::string const& id, start_order const& order)
    {
        fake_cell_worker& worker = this->workers[id];
        this->obey(worker, order.fence, order.lease_until_ms);
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

    void obey(fake_cell_worker& worker, std::uint64_t fence, std::int64_t until)
    {
        worker.fence = std::max(worker.fence, fence);
        worker.lease_until_ms = std::max(worker.lease_until_ms, until);
    }
};

} // namespace toucanlever
