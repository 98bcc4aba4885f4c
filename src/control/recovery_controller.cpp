#include "toucanlever/control/recovery_controller.hpp"

#include "toucanlever/core/ids.hpp"
#include "toucanlever/core/log.hpp"
#include "toucanlever/core/metrics.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

constexpr milliseconds scan_period{1000};
constexpr milliseconds read_retry_delay{300};
constexpr milliseconds fence_retry_delay{500};
// Period and timeout of the heartbeat rows in the table service.
constexpr milliseconds heartbeat_period{4000};
constexpr milliseconds heartbeat_timeout{14000};

fence_record read_record(table_row const& row)
{
    nlohmann::json json = nlohmann::json::parse(row.value, nullptr, false);
    return json.is_object() ? json.get<fence_record>() : fence_record{};
}

std::string incarnation_of_row(table_row const& row)
{
    return row.key.substr(std::string(journal::fence_prefix).size());
}

/// The target and, transitively, the incarnations that it had taken over, each
/// after its successor.
std::vector<std::string> collect_chain(
    std::string const& target, std::vector<table_row> const& rows)
{
    std::vector<std::string> chain{target};
    for (std::size_t i = 0; i < chain.size(); ++i)
    {
        for (table_row const& row : rows)
        {
            std::string name = incarnation_of_row(row);
            bool succeeded_by = read_record(row).successor == chain[i];
            bool known =
                std::find(chain.begin(), chain.end(), name) != chain.end();
            if (succeeded_by && !known)
            {
                chain.push_back(name);
            }
        }
    }
    return chain;
}

} // namespace

recovery_controller::recovery_controller(event_loop& loop,
    scheduler_settings const& settings, std::string incarnation,
    table_service& table, journal& log, membership_controller& members,
    worker_registry& workers, job_controller& jobs,
    std::function<void()> on_fenced)
    : loop(loop)
    , settings(settings)
    , incarnation(std::move(incarnation))
    , table(table)
    , members(members)
    , listening(members.listening_time())
    , workers(workers)
    , jobs(jobs)
    , transfer(loop, log, jobs.records())
    , on_fenced(std::move(on_fenced))
{
}

recovery_controller::~recovery_controller()
{
    *this->alive = false;
    this->loop.cancel(this->scan_timer);
    this->loop.cancel(this->heartbeat_timer);
}

void recovery_controller::begin()
{
    this->scan_timer =
        this->loop.every(scan_period, [this] { this->scan_fence_rows(); });
    this->heartbeat_timer = this->loop.every(heartbeat_period,
        [this]
        {
            this->write_heartbeat();
            this->read_heartbeats();
        });
    this->write_heartbeat();
    this->scan_fence_rows();
}

std::vector<std::string> recovery_controller::served_incarnations() const
{
    std::vector<std::string> list{this->incarnation};
    list.insert(list.end(), this->succeeded_incarnations.begin(),
        this->succeeded_incarnations.end());
    return list;
}

void recovery_controller::scan_fence_rows()
{
    if (this->scanning || this->stopped)
    {
        return;
    }
    this->scanning = true;
    auto still_alive = this->alive;
    this->table.scan(journal::fence_prefix,
        [this, still_alive](std::optional<std::vector<table_row>> const& rows)
        {
            if (!*still_alive)
            {
                return;
            }
            this->scanning = false;
            if (rows && !this->stopped)
            {
                this->review_fence_rows(*rows);
            }
        });
}

void recovery_controller::write_heartbeat()
{
    transaction work;
    work.writes.push_back({journal::heartbeat_row(this->incarnation), "{}"});
    this->table.commit(work, [](commit_result const&) {});
}

void recovery_controller::read_heartbeats()
{
    auto still_alive = this->alive;
    this->table.scan(journal::heartbeat_prefix,
        [this, still_alive](std::optional<std::vector<table_row>> const& rows)
        {
            if (!*still_alive || !rows)
            {
                return;
            }
            for (table_row const& row : *rows)
            {
                std::string name = row.key.substr(
                    std::string(journal::heartbeat_prefix).size());
                observed_heartbeat& seen = this->observed_heartbeats[name];
                if (seen.version != row.version)
                {
                    seen =
                        observed_heartbeat{row.version, this->listening.now()};
                }
            }
        });
}

/// True if the incarnation no longer updates its heartbeat row in the table
/// service. Required before a scheduler of another failure domain takes over
/// from it: an incarnation that is only unreachable from here still updates
/// the row.
bool recovery_controller::is_heartbeat_stale(std::string const& target) const
{
    auto seen = this->observed_heartbeats.find(target);
    return seen != this->observed_heartbeats.end() &&
           this->listening.now() - seen->second.changed_at > heartbeat_timeout;
}

void recovery_controller::review_fence_rows(std::vector<table_row> const& rows)
{
    // An incarnation with nothing to write does not learn from its journal that
    // it is fenced.
    if (this->is_fenced_in(rows))
    {
        this->stop();
        this->on_fenced();
        return;
    }
    for (table_row const& row : rows)
    {
        std::string target = incarnation_of_row(row);
        fence_record record = read_record(row);
        bool open = record.state == "active" || record.state == "released";
        bool other =
            target != this->incarnation && this->takeovers.count(target) == 0;
        if (open && other && this->should_take_over(target, record))
        {
            this->fence_incarnation(row);
        }
        // True if the reply to this incarnation's own fence transaction was
        // lost: the target is fenced, but its journals have not been read.
        bool unread = record.state == "fenced" &&
                      record.successor == this->incarnation &&
                      this->succeeded_incarnations.count(target) == 0;
        if (unread && other)
        {
            this->read_chain(this->open_takeover(target));
        }
    }
}

/// True if this incarnation's row is marked as fenced, or has been deleted
/// because it was fenced long ago.
bool recovery_controller::is_fenced_in(std::vector<table_row> const& rows)
{
    auto own = std::find_if(rows.begin(), rows.end(),
        [this](table_row const& row)
        { return incarnation_of_row(row) == this->incarnation; });
    if (own == rows.end())
    {
        return this->own_row_seen;
    }
    this->own_row_seen = true;
    return read_record(*own).state == "fenced";
}

bool recovery_controller::should_take_over(
    std::string const& target, fence_record const& record)
{
    bool is_earlier_incarnation =
        domain_of_incarnation(target) == this->settings.domain &&
        name_of_incarnation(target) == this->settings.name;
    if (is_earlier_incarnation)
    {
        return true;
    }
    if (record.state != "released")
    {
        if (this->members.is_live(target))
        {
            this->unreachable_since.erase(target);
            return false;
        }
        auto first =
            this->unreachable_since.try_emplace(target, this->listening.now())
                .first;
        if (this->listening.now() - first->second <
            this->settings.leases.peer_timeout)
        {
            return false;
        }
    }
    auto candidates =
        this->members.live_schedulers(domain_of_incarnation(target));
    if (candidates.empty())
    {
        if (record.state != "released" && !this->is_heartbeat_stale(target))
        {
            return false;
        }
        candidates = this->members.live_schedulers("");
    }
    std::vector<std::string> names;
    for (scheduler_state const& state : candidates)
    {
        names.push_back(state.incarnation);
    }
    return rendezvous_pick(target, names) == this->incarnation;
}

recovery_controller::takeover_ptr recovery_controller::open_takeover(
    std::string const& target)
{
    auto work = std::make_shared<takeover>();
    work->incarnation = target;
    work->began_at = this->loop.now();
    this->takeovers.emplace(target, work);
    return work;
}

void recovery_controller::fence_incarnation(table_row const& row)
{
    auto work = this->open_takeover(incarnation_of_row(row));
    fence_record record = read_record(row);
    record.state = "fenced";
    record.successor = this->incarnation;
    transaction change;
    change.checks.push_back({row.key, row.version});
    change.checks.push_back({journal::fence_row(this->incarnation), 1});
    change.writes.push_back({row.key, nlohmann::json(record).dump()});
    auto still_alive = this->alive;
    this->table.commit(change,
        [this, still_alive, work](commit_result const& result)
        {
            if (!*still_alive)
            {
                return;
            }
            fence_record now = read_record(result.conflict);
            bool ours = result.outcome == commit_outcome::committed ||
                        (result.outcome == commit_outcome::conflict &&
                            now.successor == this->incarnation);
            if (!ours)
            {
                // The outcome is unknown or another scheduler won; the next
                // scan shows which.
                this->takeovers.erase(work->incarnation);
                return;
            }
            log_line("takeover-fenced").with("incarnation", work->incarnation);
            this->read_chain(work);
        });
}

/// Read after the target is fenced: from then on it can no longer take over
/// from other incarnations, so its chain is final.
void recovery_controller::read_chain(takeover_ptr const& work)
{
    auto still_alive = this->alive;
    this->table.scan(journal::fence_prefix,
        [this, still_alive, work](
            std::optional<std::vector<table_row>> const& rows)
        {
            if (!*still_alive)
            {
                return;
            }
            if (!rows)
            {
                this->retry_later([this, work] { this->read_chain(work); });
                return;
            }
            work->chain = collect_chain(work->incarnation, *rows);
            this->read_journals(work);
        });
}

void recovery_controller::retry_later(std::function<void()> step)
{
    auto still_alive = this->alive;
    this->loop.after(read_retry_delay,
        [still_alive, step = std::move(step)]
        {
            if (*still_alive)
            {
                step();
            }
        });
}

void recovery_controller::read_journals(takeover_ptr const& work)
{
    if (work->journals_read == work->chain.size())
    {
        this->read_owner_rows(work);
        return;
    }
    // The oldest incarnation of the chain comes last and is read first.
    std::string source =
        work->chain[work->chain.size() - 1 - work->journals_read];
    auto still_alive = this->alive;
    this->table.scan(journal::row_prefix(source),
        [this, still_alive, work](
            std::optional<std::vector<table_row>> const& rows)
        {
            if (!*still_alive)
            {
                return;
            }
            if (!rows)
            {
                this->retry_later([this, work] { this->read_journals(work); });
                return;
            }
            for (table_row const& row : *rows)
            {
                work->read_journal_row(row);
            }
            ++work->journals_read;
            this->read_journals(work);
        });
}

void recovery_controller::read_owner_rows(takeover_ptr const& work)
{
    work->served.insert(work->chain.begin(), work->chain.end());
    auto acceptors = work->acceptors();
    auto next = acceptors.upper_bound(work->last_acceptor_read);
    if (next == acceptors.end())
    {
        this->adopt_jobs(work);
        return;
    }
    std::string acceptor = *next;
    auto still_alive = this->alive;
    this->table.scan(owner_row(acceptor + "."),
        [this, still_alive, work, acceptor](
            std::optional<std::vector<table_row>> const& rows)
        {
            if (!*still_alive)
            {
                return;
            }
            if (rows)
            {
                work->last_acceptor_read = acceptor;
                for (table_row const& row : *rows)
                {
                    work->read_owner_row(row);
                }
                this->read_owner_rows(work);
                return;
            }
            this->retry_later([this, work] { this->read_owner_rows(work); });
        });
}

void recovery_controller::adopt_jobs(takeover_ptr const& work)
{
    auto served_before = this->succeeded_incarnations;
    served_before.insert(this->incarnation);
    for (auto const& entry : work->jobs)
    {
        if (this->jobs.adopt(entry.second, served_before))
        {
            work->to_decide.insert(entry.first);
        }
    }
    this->succeeded_incarnations.insert(
        work->served.begin(), work->served.end());
    log_line("takeover-read")
        .with("incarnation", work->incarnation)
        .with("chain", work->chain.size())
        .with("jobs", work->jobs.size())
        .with("workers", work->worker_incarnations.size());
    for (auto const& entry : work->worker_incarnations)
    {
        work->unfenced_workers.insert(entry.first);
        work->unreported_means_not_started =
            work->unreported_means_not_started && entry.second.size() == 1;
    }
    auto workers_to_fence = work->unfenced_workers;
    for (std::string const& worker : workers_to_fence)
    {
        this->fence_worker(work, worker);
    }
    this->finish_if_done(work);
}

instance const* recovery_controller::find_listed_worker(
    std::string const& worker) const
{
    for (instance const& each : this->members.instances())
    {
        if (each.id == worker && each.role == instance_role::worker)
        {
            return &each;
        }
    }
    return nullptr;
}

void recovery_controller::fence_worker(
    takeover_ptr const& work, std::string const& worker)
{
    instance const* info = this->find_listed_worker(worker);
    if (info == nullptr)
    {
        // The platform no longer lists the worker, so it cannot be queried.
        work->unreported_means_not_started = false;
        work->unfenced_workers.erase(worker);
        this->finish_if_done(work);
        return;
    }
    auto still_alive = this->alive;
    this->workers.worker_calls().fence(info->address, work->chain,
        this->incarnation,
        [this, still_alive, work, worker](follow_result const& result)
        {
            if (*still_alive)
            {
                this->on_fence_answer(work, worker, result);
            }
        });
}

void recovery_controller::on_fence_answer(takeover_ptr const& work,
    std::string const& worker, follow_result const& result)
{
    instance const* info = this->find_listed_worker(worker);
    if (result.answer != worker_answer::accepted || info == nullptr)
    {
        auto still_alive = this->alive;
        this->loop.after(fence_retry_delay,
            [this, still_alive, work, worker]
            {
                if (*still_alive)
                {
                    this->fence_worker(work, worker);
                }
            });
        return;
    }
    work->on_worker_fenced(worker, result);
    worker_session& session = this->workers.open_session(*info);
    for (task_report const& report : result.tasks)
    {
        if (this->jobs.adopt_record(report))
        {
            work->jobs[report.job_id].id = report.job_id;
            work->to_decide.insert(report.job_id);
        }
        this->jobs.adopt_task(session, report);
    }
    this->finish_if_done(work);
}

void recovery_controller::finish_if_done(takeover_ptr const& work)
{
    if (!work->unfenced_workers.empty() ||
        this->takeovers.count(work->incarnation) == 0)
    {
        return;
    }
    this->takeovers.erase(work->incarnation);
    auto duration = std::chrono::duration_cast<milliseconds>(
        this->loop.now() - work->began_at);
    metrics().observe("takeover_ms", duration.count());
    log_line("takeover-done")
        .with("incarnation", work->incarnation)
        .with("jobs", work->jobs.size())
        .with("certain", work->unreported_means_not_started ? "yes" : "no")
        .with("took_ms", duration.count());
    this->jobs.resolve_unreported(
        work->to_decide, work->unreported_means_not_started);
    this->transfer.enqueue(work->make_transfer_request());
}

} // namespace toucanlever
