/// The active scheduler of a cell: starts ready steps on workers, follows
/// them, and records how they end.
///
/// Begins from what the store and the workers say. Until every worker that an
/// earlier scheduler may have used has answered, or its lease is over, only
/// jobs that no earlier scheduler can have started are started.
#pragma once

#include "toucanlever/cell/advice_broker.hpp"
#include "toucanlever/cell/end_journal.hpp"
#include "toucanlever/cell/queue_directory.hpp"
#include "toucanlever/cell/record_follower.hpp"
#include "toucanlever/cell/row_cleaner.hpp"
#include "toucanlever/cell/step_placement.hpp"
#include "toucanlever/cell/work_board.hpp"
#include "toucanlever/cell/worker_lease.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace toucanlever
{

/// What a dispatcher works with; all outlive it.
struct dispatcher_parts
{
    event_loop& loop;
    record_store& store;
    worker_orders& orders;
    advice_broker& advice;
    queue_directory const& queues;
    /// The platform's list of workers is kept in this table.
    std::string worker_table;
    /// Reads a row of it; nothing for rows that name no worker.
    std::function<std::optional<worker_entry>(
        std::string const& id, std::string const& value)>
        decode_worker;
    /// False while starts are forbidden to this holder.
    std::function<bool()> may_start_work;
    /// How long a holder that lost the store may go on starting work.
    milliseconds permission{0};
    /// No lease may reach beyond it.
    std::function<time_point()> lease_limit;
    milliseconds keep_ended{120000};
    bool log_decisions = true;
};

/// One term of the active scheduler.
class dispatcher final : private worker_lease_listener
{
public:
    dispatcher(dispatcher_parts parts, holder_proof proof,
        std::function<void(std::string const& reason)> on_replaced);
    ~dispatcher() override;

    /// A job that the store holds; repeats are ignored.
    void accept(work_record record, std::int64_t version);
    void cancel(std::string const& job);

    /// Nothing for a job that is not known (yet).
    std::optional<work_state> state_of(std::string const& job);
    std::uint64_t waiting_jobs(std::string const& queue) const;

    /// True once all that the store holds has been read.
    bool is_loaded() const { return this->loaded; }

private:
    struct tracked_worker
    {
        // Unset until all that the store holds has been read.
        std::unique_ptr<worker_lease> watch;
        std::int64_t started_ms = 0;
    };

    // Beginning.
    void on_job_rows(std::vector<record> const& rows);
    void on_worker_rows(std::vector<record> const& rows, bool whole);
    void load_if_complete();
    void replay_journal();
    void update_worker(worker_entry const& entry);
    void begin_watch(tracked_worker& tracked, worker_entry const& entry);
    void unlist_worker(std::string const& id);
    void record_workers();
    void take_recorded(
        record_change const& change, change_result const& result);
    void check_reconciled();

    // Choosing.
    void plan_soon();
    void plan();
    bool may_start(board_job const& job) const;
    /// The most of each dimension that any usable worker has free.
    resources most_free() const;
    void plan_step(step_rank const& rank);
    placement_request make_request(
        board_job const& job, board_step const& step) const;
    bool can_get_tickets(board_job const& job, board_step const& step,
        std::vector<std::string> const& chosen);
    void keep_room(board_step const& step, placement_request const& request);
    bool is_kept(pool_worker const& worker) const
    {
        return worker.kept_in_round == this->round;
    }
    void reserve(board_job& job, board_step& step,
        std::vector<std::string> const& chosen, resources const& need);
    std::uint64_t next_run(board_step const& step, bool whole_gang) const;

    // The external policy.
    bool ask_unasked(
        board_job& job, board_step& step, placement_request const& request);
    bool ask(board_job& job, board_step& step,
        std::vector<std::string> const& workers);
    void take_advice(step_id const& id, std::vector<std::string> const& asked,
        advice_result const& result);
    void start_reserved(board_job& job, board_step& step);
    void drop_reserved(board_step& step, bool all);
    bool has_ticket(board_step const& step, std::string const& worker) const;

    // Orders.
    void send_start(board_job& job, board_step& step, std::uint32_t index);
    void on_started(task_id const& task, std::uint64_t run,
        std::string const& worker, order_result const& result);
    void on_start_refused(task_id const& task, std::uint64_t run,
        std::string const& worker, order_result const& result);
    void send_stop(std::string const& worker, task_id const& task);
    void on_stopped(task_id const& task, std::uint64_t run,
        std::string const& worker, order_result const& result);
    void stop_job(std::string const& job);
    void break_gang(step_id const& step);
    room_hold* find_hold(
        std::string const& worker, task_id const& task, std::uint64_t run);
    void free_task(std::string const& worker, task_id const& task);

    // Reports.
    void on_report(worker_lease& watch, watch_result const& report,
        time_point asked_at) override;
    void on_silent(worker_lease& watch, std::string const& problem) override;
    void on_lost(worker_lease& watch, std::string const& reason) override;
    void on_fenced(worker_lease& watch) override;
    void begin_new_life(tracked_worker& tracked, std::string const& id);
    void take_end(worker_lease& watch, ended_task const& end);
    void record_end(worker_lease& watch, ended_task const& end, bool job_ended);
    void reconcile(
        pool_worker& worker, watch_result const& report, time_point asked_at);
    void adopt(pool_worker& worker, running_task const& running);
    void lose_holds(std::string const& id, std::string const& reason);
    void sweep();

    dispatcher_parts parts;
    holder_proof proof;
    std::function<void(std::string const&)> on_replaced;
    time_point began;
    work_board board;
    worker_pool pool;
    end_journal journal;
    row_cleaner cleaner;
    std::map<std::string, tracked_worker> workers;
    std::unique_ptr<record_follower> job_follower;
    std::unique_ptr<record_follower> worker_follower;
    std::unique_ptr<record_scan> journal_scan;
    std::unique_ptr<record_scan> roster_scan;
    std::optional<std::vector<record>> journal_rows;
    std::optional<std::vector<record>> roster_rows;
    bool jobs_read = false;
    bool list_read = false;
    bool loaded = false;
    // Workers of earlier schedulers that have not answered.
    std::set<std::string> unreconciled;
    // Jobs whose cancellation was heard of before they were.
    std::set<std::string> cancelled_early;
    std::set<std::string> to_record;
    // Workers that hold nothing any more and are to leave the record.
    std::set<std::string> to_unrecord;
    bool recording = false;
    bool planned = false;
    // Counts the looks at all ready steps.
    std::uint64_t round = 0;
    event_loop::timer_id sweep_timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
