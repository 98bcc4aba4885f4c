/// Takeover of failed schedulers: detects scheduler incarnations that
/// failed or shut down, fences them in the table service, reads their journals
/// and queries their workers for running tasks.
///
/// Heartbeats only suggest which scheduler attempts a takeover; the
/// compare-and-set on the fence row decides which one becomes the successor.
/// A worker that has answered the fence call rejects the predecessor
/// permanently. The state of a job that no worker reports is decided only after
/// every worker on which the predecessor may have started it has answered.
#pragma once

#include "toucanlever/control/job_controller.hpp"
#include "toucanlever/control/membership_controller.hpp"
#include "toucanlever/control/takeover.hpp"
#include "toucanlever/control/worker_registry.hpp"
#include "toucanlever/platform/table_service.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace toucanlever
{

/// Content of an incarnation's fence row.
struct fence_record
{
    /// active | released | fenced
    std::string state;
    std::string address;
    std::string successor;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    fence_record, state, address, successor)

/// Runs takeovers; see the description at the top of the file.
class recovery_controller
{
public:
    recovery_controller(event_loop& loop, scheduler_settings const& settings,
        std::string incarnation, table_service& table, journal& log,
        membership_controller& members, worker_registry& workers,
        job_controller& jobs, std::function<void()> on_fenced);
    ~recovery_controller();

    /// Starts writing this incarnation's heartbeat row and scanning for
    /// incarnations to take over.
    void begin();

    /// Starts no further takeovers; used before a planned shutdown.
    void stop() { this->stopped = true; }

    /// This incarnation and those whose jobs it has taken over.
    std::vector<std::string> served_incarnations() const;

private:
    using takeover_ptr = std::shared_ptr<takeover>;

    /// Version of an incarnation's heartbeat row and when it last changed.
    struct observed_heartbeat
    {
        std::int64_t version = 0;
        time_point changed_at{};
    };

    void scan_fence_rows();
    void write_heartbeat();
    void read_heartbeats();
    bool is_heartbeat_stale(std::string const& target) const;
    bool is_fenced_in(std::vector<table_row> const& rows);
    void review_fence_rows(std::vector<table_row> const& rows);
    bool should_take_over(
        std::string const& target, fence_record const& record);
    takeover_ptr open_takeover(std::string const& target);
    void fence_incarnation(table_row const& row);
    void read_chain(takeover_ptr const& work);
    void retry_later(std::function<void()> step);
    void read_journals(takeover_ptr const& work);
    void read_owner_rows(takeover_ptr const& work);
    void adopt_jobs(takeover_ptr const& work);
    void fence_worker(takeover_ptr const& work, std::string const& worker);
    void on_fence_answer(takeover_ptr const& work, std::string const& worker,
        follow_result const& result);
    void finish_if_done(takeover_ptr const& work);
    instance const* find_listed_worker(std::string const& worker) const;

    event_loop& loop;
    scheduler_settings const& settings;
    std::string incarnation;
    table_service& table;
    membership_controller& members;
    clock const& listening;
    worker_registry& workers;
    job_controller& jobs;
    journal_transfer transfer;
    // Called when another incarnation has fenced this one.
    std::function<void()> on_fenced;
    std::map<std::string, takeover_ptr> takeovers;
    std::set<std::string> succeeded_incarnations;
    // When an incarnation was first found without recent heartbeats.
    std::map<std::string, time_point> unreachable_since;
    std::map<std::string, observed_heartbeat> observed_heartbeats;
    // Set once a scan has read this incarnation's fence row. From then on, a
    // missing row was deleted; before, it may not be visible yet.
    bool own_row_seen = false;
    bool stopped = false;
    bool scanning = false;
    event_loop::timer_id scan_timer = 0;
    event_loop::timer_id heartbeat_timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
