#include "toucanlever/control/worker_session.hpp"

#include "toucanlever/core/log.hpp"

namespace toucanlever
{
namespace
{

constexpr milliseconds retry_start{300};
constexpr milliseconds retry_follow{300};
constexpr milliseconds retry_acquire{400};
constexpr milliseconds retry_stop{1000};
// A control lease is renewed this often within its length.
constexpr int renewals_per_lease = 5;
// A follow call waits this part of a task lease for news.
constexpr int follows_per_lease = 5;
constexpr milliseconds longest_follow{2000};

} // namespace

worker_session::worker_session(event_loop& loop, worker_service& service,
    instance const& info, lease_timing const& leases, std::string owner,
    worker_events& events)
    : loop(loop)
    , service(service)
    , instance_info(info)
    , leases(leases)
    , owner(std::move(owner))
    , events(events)
{
    this->timer = loop.every(leases.control_lease / (2 * renewals_per_lease),
        [this] { this->tick(); });
}

worker_session::~worker_session()
{
    *this->alive = false;
    this->loop.cancel(this->timer);
}

void worker_session::set_control_wanted(bool wanted_now)
{
    if (this->control_wanted == wanted_now)
    {
        return;
    }
    this->control_wanted = wanted_now;
    if (wanted_now)
    {
        this->tick();
        return;
    }
    if (this->phase == control_phase::held ||
        this->phase == control_phase::recording)
    {
        this->service.release(
            this->instance_info.address, this->owner, this->control_epoch);
        this->lose_control("released");
    }
}

bool worker_session::holds_control() const
{
    return this->phase == control_phase::held &&
           this->loop.now() < this->token_requested_at +
                                  this->leases.control_lease -
                                  this->leases.lease_margin;
}

resources worker_session::free() const
{
    return this->total_capacity - this->used_by_others - this->used_by_own;
}

std::vector<tracked_task> worker_session::task_list() const
{
    std::vector<tracked_task> list;
    for (auto const& entry : this->tasks)
    {
        list.push_back(entry.second);
    }
    return list;
}

void worker_session::tick()
{
    auto now = this->loop.now();
    bool may_acquire =
        this->control_wanted && this->phase == control_phase::idle;
    if (may_acquire && now >= this->next_acquire)
    {
        this->acquire();
    }
    bool due = now - this->token_requested_at >=
               this->leases.control_lease / renewals_per_lease;
    bool granted = this->phase == control_phase::held ||
                   this->phase == control_phase::recording;
    if (granted && !this->renewal_in_flight && due)
    {
        this->renew();
    }
    if (granted && now > this->token_requested_at + this->leases.control_lease)
    {
        this->lose_control("lease over");
    }
    bool busy = !this->tasks.empty() || !this->pending_acks.empty();
    if (busy && !this->follow_in_flight && now >= this->next_follow)
    {
        this->follow();
    }
    this->repeat_stops();
    this->expire_tasks();
}

void worker_session::acquire()
{
    this->phase = control_phase::acquiring;
    auto sent = this->loop.now();
    auto still_alive = this->alive;
    this->service.acquire(this->instance_info.address, this->owner,
        this->leases.control_lease.count(),
        [this, still_alive, sent](control_grant const& grant)
        {
            if (*still_alive)
            {
                this->token_requested_at = sent;
                this->on_acquired(grant);
            }
        });
}

void worker_session::on_acquired(control_grant const& grant)
{
    this->next_acquire = this->loop.now() + retry_acquire;
    if (grant.answer != worker_answer::accepted || !this->control_wanted)
    {
        this->phase = control_phase::idle;
        if (grant.answer == worker_answer::accepted)
        {
            this->service.release(
                this->instance_info.address, this->owner, grant.epoch);
        }
        return;
    }
    this->control_epoch = grant.epoch;
    this->total_capacity = grant.capacity;
    this->used_by_others = grant.used_by_others;
    this->update_incarnation(grant.incarnation);
    this->store_token(grant.token);
    this->phase = control_phase::recording;
    log_line("control-acquired")
        .with("worker", this->instance_info.id)
        .with("epoch", grant.epoch)
        .with("worker_incarnation", grant.incarnation);
    std::string incarnation = grant.incarnation;
    if (incarnation == this->recorded_incarnation)
    {
        this->phase = control_phase::held;
        this->events.on_control_gained(*this);
        return;
    }
    auto still_alive = this->alive;
    std::int64_t epoch = grant.epoch;
    this->events.record_worker(this->instance_info.id, incarnation,
        [this, still_alive, incarnation, epoch]
        {
            if (!*still_alive)
            {
                return;
            }
            this->recorded_incarnation = incarnation;
            if (this->phase == control_phase::recording &&
                this->control_epoch == epoch &&
                this->seen_incarnation == incarnation)
            {
                this->phase = control_phase::held;
                this->events.on_control_gained(*this);
            }
        });
}

void worker_session::renew()
{
    this->renewal_in_flight = true;
    auto sent = this->loop.now();
    auto still_alive = this->alive;
    this->service.renew(this->instance_info.address, this->owner,
        this->control_epoch, this->token, this->leases.control_lease.count(),
        [this, still_alive, sent](control_grant const& grant)
        {
            if (*still_alive)
            {
                this->renewal_in_flight = false;
                this->on_renewed(grant, sent);
            }
        });
}

void worker_session::on_renewed(control_grant const& grant, time_point sent)
{
    bool granted = this->phase == control_phase::held ||
                   this->phase == control_phase::recording;
    if (!granted || grant.answer == worker_answer::in_doubt)
    {
        return;
    }
    if (grant.answer == worker_answer::refused)
    {
        this->lose_control(grant.reason);
        return;
    }
    if (grant.epoch != this->control_epoch)
    {
        return;
    }
    this->token_requested_at = sent;
    this->store_token(grant.token);
    bool changed = !(this->used_by_others == grant.used_by_others);
    this->used_by_others = grant.used_by_others;
    if (changed && this->phase == control_phase::held)
    {
        this->events.on_free_changed(*this);
    }
}

void worker_session::lose_control(std::string const& reason)
{
    bool was_held = this->phase == control_phase::held;
    this->phase = control_phase::idle;
    this->next_acquire = this->loop.now() + retry_acquire;
    log_line("control-lost")
        .with("worker", this->instance_info.id)
        .with("reason", reason);
    if (was_held)
    {
        this->events.on_control_lost(*this);
    }
}

void worker_session::store_token(std::int64_t fresh)
{
    this->token = fresh;
    this->token_received_at = this->loop.now();
}

void worker_session::update_incarnation(std::string const& incarnation)
{
    if (incarnation == this->seen_incarnation)
    {
        return;
    }
    bool restarted = !this->seen_incarnation.empty();
    this->seen_incarnation = incarnation;
    this->version = 0;
    if (!restarted)
    {
        return;
    }
    log_line("worker-restarted").with("worker", this->instance_info.id);
    for (tracked_task const& task : this->task_list())
    {
        this->mark_lost(task.id, task_loss::worker_gone);
    }
}

void worker_session::start(task_start task)
{
    tracked_task tracked;
    tracked.id = task.id;
    tracked.job_id = task.job_id;
    tracked.attempt = task.attempt;
    tracked.index = task.index;
    tracked.need = task.need;
    tracked.startable_until = this->token_received_at +
                              this->leases.control_lease +
                              this->leases.lease_margin;
    task.holder = this->owner;
    task.owner = this->owner;
    task.epoch = this->control_epoch;
    task.token = this->token;
    task.incarnation = this->seen_incarnation;
    task.lease_ms = this->leases.task_lease.count();
    this->used_by_own += tracked.need;
    this->tasks.emplace(tracked.id, tracked);
    this->send_start(std::move(task));
}

void worker_session::send_start(task_start task)
{
    auto still_alive = this->alive;
    this->service.start(this->instance_info.address, task,
        [this, still_alive, task](start_result const& result)
        {
            if (*still_alive)
            {
                this->on_started(task, result);
            }
        });
}

void worker_session::on_started(
    task_start const& task, start_result const& result)
{
    auto found = this->tasks.find(task.id);
    if (found == this->tasks.end() ||
        found->second.phase != task_phase::starting)
    {
        return;
    }
    if (result.answer == worker_answer::accepted)
    {
        found->second.phase = task_phase::running;
        found->second.confirmed_at = this->loop.now();
        this->events.on_task_running(*this, found->second);
        return;
    }
    if (result.answer == worker_answer::refused)
    {
        tracked_task refused = found->second;
        this->remove_task(task.id);
        this->events.on_task_refused(*this, refused, result.reason);
        return;
    }
    // The same start may be sent again: the worker takes each id once. When
    // it can no longer take effect, `settle_unreported` decides.
    if (this->loop.now() < found->second.startable_until)
    {
        auto still_alive = this->alive;
        this->loop.after(retry_start,
            [this, still_alive, task]
            {
                if (*still_alive)
                {
                    this->send_start(task);
                }
            });
    }
}

void worker_session::stop(std::string const& task_id, stop_kind how)
{
    auto found = this->tasks.find(task_id);
    if (found == this->tasks.end() || found->second.phase == task_phase::ended)
    {
        return;
    }
    this->pending_stops[task_id] = pending_stop{how, this->loop.now()};
    this->service.stop(this->instance_info.address, task_id, this->owner, how);
}

void worker_session::repeat_stops()
{
    auto now = this->loop.now();
    for (auto& entry : this->pending_stops)
    {
        if (now - entry.second.sent_at >= retry_stop)
        {
            entry.second.sent_at = now;
            this->service.stop(this->instance_info.address, entry.first,
                this->owner, entry.second.how);
        }
    }
}

void worker_session::adopt(task_report const& report)
{
    if (this->tasks.count(report.id) > 0)
    {
        return;
    }
    tracked_task tracked;
    tracked.id = report.id;
    tracked.job_id = report.job_id;
    tracked.attempt = report.attempt;
    tracked.index = report.index;
    tracked.need = report.need;
    tracked.phase = task_phase::running;
    tracked.confirmed_at = this->loop.now();
    this->used_by_own += report.need;
    this->tasks.emplace(report.id, tracked);
    // Until the first follow answers, only the predecessor's tokens count,
    // and those were issued before now.
    this->token_received_at = this->loop.now();
    this->next_follow = {};
    this->version = 0;
}

void worker_session::ack(std::string const& task_id)
{
    this->pending_acks.push_back(task_id);
    this->remove_task(task_id);
}

void worker_session::remove_task(std::string const& task_id)
{
    auto found = this->tasks.find(task_id);
    if (found == this->tasks.end())
    {
        return;
    }
    if (found->second.phase != task_phase::ended)
    {
        this->used_by_own -= found->second.need;
    }
    this->tasks.erase(found);
    this->pending_stops.erase(task_id);
    // For an ended task, too: a suspected worker is tried again when it has
    // none left.
    this->events.on_free_changed(*this);
}

void worker_session::on_removed()
{
    if (this->phase != control_phase::idle)
    {
        this->lose_control("instance removed");
    }
    this->control_wanted = false;
    for (tracked_task const& task : this->task_list())
    {
        this->mark_lost(task.id, task_loss::worker_gone);
    }
}

void worker_session::follow()
{
    this->follow_in_flight = true;
    follow_request request;
    request.owner = this->owner;
    request.token = this->token;
    request.lease_ms = this->leases.task_lease.count();
    request.acks = this->pending_acks;
    request.version = this->version;
    request.incarnation = this->version_incarnation;
    request.wait_ms = std::min<milliseconds>(
        this->leases.task_lease / follows_per_lease, longest_follow)
                          .count();
    auto sent = this->loop.now();
    auto still_alive = this->alive;
    this->service.follow(this->instance_info.address, request,
        [this, still_alive, sent, acked = request.acks](
            follow_result const& result)
        {
            if (!*still_alive)
            {
                return;
            }
            this->follow_in_flight = false;
            if (result.answer == worker_answer::accepted)
            {
                std::erase_if(this->pending_acks,
                    [&acked](std::string const& id) {
                        return std::find(acked.begin(), acked.end(), id) !=
                               acked.end();
                    });
            }
            this->on_followed(result, sent);
        });
}

void worker_session::on_followed(follow_result const& result, time_point sent)
{
    if (result.answer != worker_answer::accepted)
    {
        this->next_follow = this->loop.now() + retry_follow;
        this->version = 0;
        return;
    }
    this->next_follow = this->loop.now();
    this->update_incarnation(result.incarnation);
    this->store_token(result.token);
    this->version = result.version;
    this->version_incarnation = result.incarnation;
    for (task_report const& report : result.tasks)
    {
        this->handle_report(report);
    }
    this->resolve_unreported(result, sent);
    bool busy = !this->tasks.empty() || !this->pending_acks.empty();
    if (busy && !this->follow_in_flight)
    {
        this->follow();
    }
}

void worker_session::handle_report(task_report const& report)
{
    auto found = this->tasks.find(report.id);
    bool over = report.state != "running";
    if (found == this->tasks.end())
    {
        bool acked =
            std::find(this->pending_acks.begin(), this->pending_acks.end(),
                report.id) != this->pending_acks.end();
        if (over && !acked)
        {
            this->pending_acks.push_back(report.id);
        }
        if (!over)
        {
            this->service.stop(this->instance_info.address, report.id,
                this->owner, stop_kind::at_once);
            // The stop may get lost: it is to be reported again.
            this->version = 0;
        }
        return;
    }
    tracked_task& task = found->second;
    if (task.phase == task_phase::starting)
    {
        task.phase = task_phase::running;
        task.confirmed_at = this->loop.now();
        this->events.on_task_running(*this, task);
    }
    if (over && task.phase == task_phase::running)
    {
        task.phase = task_phase::ended;
        this->pending_stops.erase(report.id);
        this->used_by_own -= task.need;
        this->events.on_free_changed(*this);
        this->events.on_task_ended(*this, report);
    }
}

void worker_session::resolve_unreported(
    follow_result const& result, time_point sent)
{
    for (tracked_task const& task : this->task_list())
    {
        bool reported = std::any_of(result.tasks.begin(), result.tasks.end(),
            [&task](task_report const& each) { return each.id == task.id; });
        if (reported)
        {
            continue;
        }
        bool vanished = !result.changes_only &&
                        task.phase == task_phase::running &&
                        task.confirmed_at < sent;
        bool never_started =
            task.phase == task_phase::starting && task.startable_until < sent;
        if (vanished)
        {
            this->mark_lost(task.id, task_loss::worker_gone);
        }
        if (never_started)
        {
            this->remove_task(task.id);
            this->events.on_task_refused(*this, task, "never arrived");
        }
    }
}

void worker_session::expire_tasks()
{
    if (this->tasks.empty())
    {
        return;
    }
    auto over = this->token_received_at + this->leases.task_lease +
                this->leases.lease_margin;
    if (this->loop.now() <= over)
    {
        return;
    }
    for (tracked_task const& task : this->task_list())
    {
        if (task.phase != task_phase::ended)
        {
            this->mark_lost(task.id, task_loss::lapsed);
        }
    }
}

void worker_session::mark_lost(std::string const& task_id, task_loss loss)
{
    auto found = this->tasks.find(task_id);
    if (found == this->tasks.end())
    {
        return;
    }
    tracked_task lost = found->second;
    this->remove_task(task_id);
    if (lost.phase != task_phase::ended)
    {
        this->events.on_task_lost(*this, lost, loss);
    }
}

} // namespace toucanlever
