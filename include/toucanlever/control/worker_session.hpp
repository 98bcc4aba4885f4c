/// One scheduler's session with one worker: the control lease, and the tasks
/// of this scheduler's jobs there.
///
/// Expiry is derived only from this process's clock and from when the worker's
/// answers arrived. The worker issues a token before the answer with it
/// arrives, and a request that echoes the token extends leases only from the
/// time of issue. So no task of this scheduler runs there later than the last
/// answer plus a task lease.
#pragma once

#include "toucanlever/control/scheduler_settings.hpp"
#include "toucanlever/core/event_loop.hpp"
#include "toucanlever/platform/instance.hpp"
#include "toucanlever/platform/worker_service.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace toucanlever
{

class worker_session;

/// What is known of a task on its worker.
enum class task_phase
{
    /// A start was sent and is not confirmed.
    starting,
    running,
    /// The worker reported its completion; kept until acknowledged.
    ended
};

/// One of this scheduler's tasks on the worker.
struct tracked_task
{
    std::string id;
    std::string job_id;
    std::uint32_t attempt = 0;
    std::uint32_t index = 0;
    resources need;
    task_phase phase = task_phase::starting;
    /// The worker refuses a start that arrives later than this.
    time_point startable_until{};
    /// When the phase became running.
    time_point confirmed_at{};
};

/// A requested stop; repeated until the task is over, as any message may be
/// lost.
struct pending_stop
{
    stop_kind how = stop_kind::at_once;
    time_point sent_at{};
};

/// Why a task counts as over without a report from its worker.
enum class task_loss
{
    /// Its lease expired before the worker answered again.
    lapsed,
    /// The worker restarted as another incarnation or was removed by the
    /// platform.
    worker_gone
};

/// Receives the events of a worker session.
class worker_events
{
public:
    virtual ~worker_events() = default;
    virtual void on_control_gained(worker_session& worker) = 0;
    virtual void on_control_lost(worker_session& worker) = 0;
    virtual void on_free_changed(worker_session& worker) = 0;
    virtual void on_task_running(
        worker_session& worker, tracked_task const& task) = 0;
    /// Called once; the worker keeps the report until `ack`.
    virtual void on_task_ended(
        worker_session& worker, task_report const& report) = 0;
    virtual void on_task_lost(
        worker_session& worker, tracked_task const& task, task_loss loss) = 0;
    /// The task provably never started.
    virtual void on_task_refused(worker_session& worker,
        tracked_task const& task, std::string const& reason) = 0;
    /// Makes the worker incarnation durable, then calls `recorded`. The session
    /// sends no start before that.
    virtual void record_worker(std::string const& worker,
        std::string const& incarnation, std::function<void()> recorded) = 0;
};

/// Acquires and renews control, sends starts and stops, and receives the
/// worker's reports by `follow`, a long poll.
class worker_session
{
public:
    worker_session(event_loop& loop, worker_service& service,
        instance const& info, lease_timing const& leases, std::string owner,
        worker_events& events);
    ~worker_session();

    /// Acquires and keeps control while true; releases it when set to false.
    void set_control_wanted(bool is_wanted);

    /// True while starts may be sent.
    bool holds_control() const;

    /// Capacity that this scheduler may still allocate there.
    resources free() const;
    resources const& capacity() const { return this->total_capacity; }
    instance const& info() const { return this->instance_info; }

    /// Updates the platform's description of the worker, such as `leaving`.
    void update_info(instance const& info) { this->instance_info = info; }

    /// Sends a start; the outcome is reported through the events.
    void start(task_start task);
    /// Sends a stop, and repeats it until the task is over.
    void stop(std::string const& task_id, stop_kind how = stop_kind::at_once);

    /// Tracks a running task learned from a fence call, which made this
    /// scheduler its owner on the worker.
    void adopt(task_report const& report);

    /// Acknowledges a report: the task's completion is durable.
    void ack(std::string const& task_id);

    /// To be called when the platform has removed the worker.
    void on_removed();

    bool has_tasks() const { return !this->tasks.empty(); }
    std::vector<tracked_task> task_list() const;
    std::string const& incarnation() const { return this->seen_incarnation; }
    std::int64_t epoch() const { return this->control_epoch; }

private:
    enum class control_phase
    {
        idle,
        acquiring,
        recording,
        held
    };

    void tick();
    void acquire();
    void on_acquired(control_grant const& grant);
    void renew();
    void on_renewed(control_grant const& grant, time_point sent);
    void lose_control(std::string const& reason);
    void update_incarnation(std::string const& incarnation);
    void send_start(task_start task);
    void on_started(task_start const& task, start_result const& result);
    void follow();
    void on_followed(follow_result const& result, time_point sent);
    void handle_report(task_report const& report);
    void resolve_unreported(follow_result const& result, time_point sent);
    void repeat_stops();
    void expire_tasks();
    void mark_lost(std::string const& task_id, task_loss loss);
    void remove_task(std::string const& task_id);
    void store_token(std::int64_t token);

    event_loop& loop;
    worker_service& service;
    instance instance_info;
    lease_timing leases;
    std::string owner;
    worker_events& events;

    control_phase phase = control_phase::idle;
    bool control_wanted = false;
    bool renewal_in_flight = false;
    std::int64_t control_epoch = 0;
    std::int64_t token = 0;
    // When the last granted acquire or renew request was sent: the control
    // lease lasts at least until this time plus its length.
    time_point token_requested_at{};
    // When the last answer with a token arrived: no task of this scheduler
    // runs later than this time plus a task lease.
    time_point token_received_at{};
    time_point next_acquire{};
    std::string seen_incarnation;
    std::string recorded_incarnation;
    resources total_capacity;
    resources used_by_others;

    std::map<std::string, tracked_task> tasks;
    // Invariant: the sum of `need` over the starting and running tasks.
    resources used_by_own;
    // By task id, for starting and running tasks only.
    std::map<std::string, pending_stop> pending_stops;
    std::vector<std::string> pending_acks;
    // Invariant: all changes up to this version were received from worker
    // incarnation `version_incarnation`; 0 requests a full report.
    std::int64_t version = 0;
    std::string version_incarnation;
    bool follow_in_flight = false;
    time_point next_follow{};
    event_loop::timer_id timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
