/// The jobs that this scheduler answers for: acceptance, attempts, ends,
/// cancellation and answers.
///
/// What a caller is told as final is durable first. A further attempt, too,
/// is durable before it starts: a scheduler that was succeeded without
/// knowing it can therefore never run a job a second time.
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
    std::uint32_t max_attempts = 4;
    std::int64_t max_queued = 200000;
    /// How long an ended job can be asked for.
    std::chrono::seconds ended_retention{3600};
};

/// See the head of this file.
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

    void accept(submit_request const& request, submit_callback done);

    /// Accepts a job without a key while the table service does not answer:
    /// `done` is called once a worker runs it and thereby holds its record.
    void accept_attached(submit_request const& request, submit_callback done);

    /// Answers when the job has ended or `wait_ms` is over.
    void query(job_request const& request, view_callback done);

    /// Answers when the job has ended, or is not to be stopped any more.
    void cancel(job_request const& request, view_callback done);

    /// The capacities a job may count on, for refusing impossible ones.
    void set_capacities(std::vector<resources> shapes);

    /// A job that was found at a succession; `served_before` are this
    /// incarnation and those it had succeeded already. Not yet placed. True
    /// when that succession has to decide the job.
    bool adopt(job_record job, std::set<std::string> const& served_before);

    /// A job that only a worker's report knows of; false when the report
    /// has no record, or the job is known.
    bool adopt_record(task_report const& report);

    /// A task of an adopted job runs, or ended, on this worker.
    void adopt_task(worker_session& worker, task_report const& report);

    /// Adopted jobs in no worker's report may be decided now: queued again,
    /// or ended as unknown when `certain` is false and they are not
    /// idempotent.
    void resolve_unreported(std::set<std::string> const& ids, bool certain);

    /// The records' side of handing jobs over.
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
    /// Null as well when the asking customer may not see it.
    job_record* find_visible(job_request const& request);
    /// Answers and returns true when the job cannot be accepted.
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
