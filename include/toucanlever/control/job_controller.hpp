/// The lifecycle of the jobs that this scheduler is responsible for:
/// acceptance, attempts, completion, cancellation and queries.
///
/// A final state is durable before a caller learns of it. A further attempt
/// is durable before it starts, so that a scheduler that has a successor but
/// has not learned of it never runs a job a second time.
#pragma once

#include "toucanlever/control/admission.hpp"
#include "toucanlever/control/attached_callers.hpp"
#include "toucanlever/control/job_offers.hpp"
#include "toucanlever/control/job_record.hpp"
#include "toucanlever/control/job_table.hpp"
#include "toucanlever/control/job_waiters.hpp"
#include "toucanlever/control/journal.hpp"
#include "toucanlever/control/placement_controller.hpp"
#include "toucanlever/control/worker_health.hpp"
#include "toucanlever/control/worker_registry.hpp"
#include "toucanlever/wire/messages.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace toucanlever
{

/// Limits on jobs.
struct job_limits
{
    /// Failed tasks after which a job is not retried. Tasks that were lost,
    /// stopped or refused do not count.
    std::uint32_t max_attempts = 4;
    /// Open jobs of all customers together, queued or running.
    std::int64_t max_open_jobs = 200000;
    /// How long an ended job can still be queried.
    std::chrono::seconds ended_retention{3600};
};

/// Owns the job table and reacts to what happens on the workers.
class job_controller final : public worker_events
{
public:
    using submit_callback = attached_callers::callback;
    using view_callback =
        std::function<void(std::optional<error>, job_view const&)>;

    job_controller(event_loop& loop, std::string incarnation, journal& log,
        worker_registry& workers, worker_health& health,
        placement_controller& placement,
        configuration_controller& configuration, job_limits limits);
    ~job_controller() override;

    /// Makes the job durable and queues it, then calls `done`. A repeated
    /// request with the same idempotency key returns the first one's job.
    void accept(submit_request const& request, submit_callback done);

    /// Accepts a job without an idempotency key while the table service is
    /// unavailable: `done` is called when a worker runs the job and so holds
    /// its record, or with an `error` when no worker has free capacity in time.
    void accept_attached(submit_request const& request, submit_callback done);

    /// Answers when the job has ended or moved, or `wait_ms` has passed.
    void query(job_request const& request, view_callback done);

    /// Stops the job unless it has ended or moved, then answers as `query`
    /// does.
    void cancel(job_request const& request, view_callback done);

    /// Sets the worker capacities that new jobs are checked against.
    void set_capacities(std::vector<resources> capacities);

    /// Adds a job found at a succession, not yet placed. `served_before` are
    /// this incarnation and those it had already succeeded. Returns true when
    /// that succession has to decide what becomes of the job.
    bool adopt(job_record job, std::set<std::string> const& served_before);

    /// Adds a job from the record in a worker's report. Returns false when
    /// the report has no record or the job is already known.
    bool adopt_record(task_report const& report);

    /// Assigns a reported task, running or ended, to its adopted job.
    void adopt_task(worker_session& worker, task_report const& report);

    /// Decides what becomes of adopted jobs that no worker reported. They are
    /// queued again, unless they are not idempotent and
    /// `certainly_not_started` is false: then they end as unknown. Tasks of
    /// reported jobs that no worker reported count as lost.
    void resolve_unreported(
        std::set<std::string> const& ids, bool certainly_not_started);

    /// Tracks the records of jobs that are handed over to peers.
    job_offers& offers() { return this->offer_handler; }

    job_table const& records() const { return this->jobs; }
    std::string explain(std::string const& job_id) const;

    void on_control_gained(worker_session& worker) override;
    void on_control_lost(worker_session& worker) override;
    void on_free_changed(worker_session& worker) override;
    void on_task_running(
        worker_session& worker, tracked_task const& task) override;
    void on_task_ended(
        worker_session& worker, task_report const& report) override;
    void on_task_lost(worker_session& worker, tracked_task const& task,
        task_loss loss) override;
    void on_task_refused(worker_session& worker, tracked_task const& task,
        std::string const& reason) override;
    void record_worker(std::string const& worker,
        std::string const& incarnation,
        std::function<void()> recorded) override;

private:
    /// Null when the job is unknown or belongs to another customer.
    job_record* find_visible(job_request const& request);
    /// Calls `done` with the error and returns true when the job cannot be
    /// accepted.
    bool refuse(job_spec const& spec, submit_callback const& done) const;
    bool withdraw(std::string const& id);
    job_record& insert_accepted(
        std::string const& id, job_spec const& spec, time_point arrived);
    void enqueue(job_record& job);
    void place(placement_decision const& decision,
        std::vector<std::string> const& chosen);
    void start_task(
        job_record& job, std::uint32_t index, std::string const& worker_id);
    job_task* find_task(job_record& job, std::string const& task_id);
    void finish_task(job_record& job, job_task& task, task_status status);
    void conclude_attempt(job_record& job);
    void retry(job_record& job, std::string const& reason);
    void record_end(
        job_record& job, job_state state, std::string const& reason);
    void on_end_recorded(std::string const& id);
    void ack_tasks(job_record& job);
    void stop_running_tasks(
        job_record& job, stop_kind how = stop_kind::at_once);
    void mark_unreported_lost(job_record& job);
    void run_maintenance();
    void count_failure(job_record& job, std::string const& worker);
    void preempt_job(std::string const& id);
    void enqueue_later(std::string const& id, milliseconds delay);
    std::optional<job_view> view(std::string const& job_id);

    event_loop& loop;
    std::string incarnation;
    journal& log;
    worker_registry& workers;
    worker_health& health;
    placement_controller& placement;
    job_limits limits;
    job_waiters waiters;
    std::uint64_t next_sequence = 1;
    job_table jobs;
    admission admission_check;
    job_offers offer_handler;
    attached_callers attached_submitters;
    event_loop::timer_id timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
