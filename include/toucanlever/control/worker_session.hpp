/// One scheduler's dealings with one worker: the control lease, and the tasks
/// that this scheduler's jobs have there.
///
/// All conclusions rest on this process's own clock and on when the worker's
/// answers were received. A token was issued before its answer arrived, and
/// whatever echoes it extends leases no further than from its issue, so
/// nothing of ours runs there later than the last answer plus a task lease.
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

/// How sure it is that a task is on its worker.
enum class task_phase
{
    /// A start was sent and is not confirmed.
    starting,
    running,
    /// The worker reported its end; kept until acknowledged.
    ended
};

/// One task of this scheduler's on the worker.
struct tracked_task
{
    std::string id;
    std::string job_id;
    std::uint32_t attempt = 0;
    std::uint32_t index = 0;
    resources need;
    task_phase phase = task_phase::starting;
    /// A start that arrives later than this is refused by the worker.
    time_point startable_until{};
    /// When the phase became running.
    time_point confirmed_at{};
};

/// A stop that was asked for; repeated until the task is over, since each
/// message may get lost.
struct pending_stop
{
    stop_kind how = stop_kind::at_once;
    time_point sent_at{};
};

/// Why a task is over without the worker's report.
enum class task_loss
{
    /// Its lease ran out before the worker answered again.
    lapsed,
    /// The worker came back as a new incarnation, or the platform took it
    /// off its list.
    worker_gone
};

/// Receives what happens on a worker.
class worker_events
{
public:
    virtual ~worker_events() = default;
    virtual void on_control_gained(worker_session& worker) = 0;
    virtual void on_control_lost(worker_session& worker) = 0;
    virtual void on_free_changed(worker_session& worker) = 0;
    virtual void on_task_running(
        worker_session& worker, tracked_task const& task) = 0;
    /// Comes once; the worker keeps the report until `ack`.
    virtual void on_task_ended(
        worker_session& worker, task_report const& report) = 0;
    virtual void on_task_lost(
        worker_session& worker, tracked_task const& task, task_loss loss) = 0;
    /// The task provably never started.
    virtual void on_task_refused(worker_session& worker,
        tracked_task const& task, std::string const& reason) = 0;
    /// Starts wait until `recorded` is called.
    virtual void record_worker(std::string const& worker,
        std::string const& incarnation, std::function<void()> recorded) = 0;
};

/// See the head of this file.
class worker_session
{
public:
    worker_session(event_loop& loop, worker_service& service,
        instance const& info, lease_timing const& leases, std::string owner,
        worker_events& events);
    ~worker_session();

    /// Whether control is to be sought and kept, or given up.
    void set_control_wanted(bool wanted);

    /// True while starts may be sent.
    bool holds_control() const;

    /// What this scheduler may still give there.
    resources free() const;
    resources const& capacity() const { return this->total_capacity; }
    instance const& info() const { return this->instance_info; }

    /// Updates what the platform's list says, `leaving` above all.
    void update_info(instance const& info) { this->instance_info = info; }

    /// Sends a start; its fate comes through the events.
    void start(task_start task);
    void stop(std::string const& task_id, stop_kind how = stop_kind::at_once);

    /// A task known from a fence call; the worker now counts it as ours.
    void adopt(task_report const& report);

    /// The end of a task is durable.
    void ack(std::string const& task_id);

    /// The platform took the worker off its list.
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
    // The request that brought the token was sent then: the control lease
    // lasts at least this long plus its length.
    time_point token_requested_at{};
    // The last answer with a token arrived then: nothing of ours outlasts
    // this plus a task lease.
    time_point token_received_at{};
    time_point next_acquire{};
    std::string seen_incarnation;
    std::string recorded_incarnation;
    resources total_capacity;
    resources used_by_others;

    std::map<std::string, tracked_task> tasks;
    // Invariant: the sum of the needs of starting and running tasks.
    resources used_by_own;
    // By task; of running and starting ones only.
    std::map<std::string, pending_stop> pending_stops;
    std::vector<std::string> pending_acks;
    // Invariant: all changes up to this version were reported, by the worker
    // incarnation beside it; 0 asks for everything.
    std::int64_t version = 0;
    std::string version_incarnation;
    bool follow_in_flight = false;
    time_point next_follow{};
    event_loop::timer_id timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
