/// The active scheduler of a cell: starts ready steps on workers, follows
/// them, and records how they end.
///
/// Begins from what the store and the workers say. Until every worker that an
/// earlier scheduler may have used has answered, or its lease is over, only
/// jobs that no earlier scheduler can have started are started.
#pragma once

#include "toucanlever/cell/record_follower.hpp"
#include "toucanlever/cell/row_cleaner.hpp"
#include "toucanlever/cell/step_planner.hpp"
#include "toucanlever/cell/worker_reports.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace toucanlever
{

/// One term of the active scheduler.
class dispatcher
{
public:
    dispatcher(dispatcher_dependencies parts, leader_proof proof,
        std::function<void(std::string const& reason)> on_replaced);
    ~dispatcher();

    /// A job that the store holds; repeats are ignored.
    void accept(work_record record, std::int64_t version);
    void cancel(std::string const& job);

    /// `no_such_job` only when all that was stored lately has been read.
    lookup_result look_up(std::string const& job);
    std::uint64_t waiting_jobs(std::string const& queue) const;

    /// True once all that the store holds has been read.
    bool is_loaded() const { return this->loaded; }

private:
    void on_job_rows(std::vector<record> const& rows);
    void load_if_complete();
    void replay_journal();
    void sweep();

    dispatch_state state;
    row_cleaner cleaner;
    completion_journal journal;
    worker_roster roster;
    task_orders orders;
    reserved_task_starter starts;
    step_planner planner;
    worker_reports reports;
    std::unique_ptr<record_follower> job_follower;
    std::unique_ptr<record_scan> journal_scan;
    std::optional<std::vector<record>> journal_rows;
    bool jobs_read = false;
    bool loaded = false;
    // Jobs whose cancellation was heard of before they were.
    std::set<std::string> pending_cancellations;
    event_loop::timer_id sweep_timer = 0;
};

} // namespace toucanlever
