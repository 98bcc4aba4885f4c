/// Which workers there are, and which of them may hold work.
///
/// Follows the platform's list, and records each worker in the store before
/// anything is started there, so that a successor knows whom to ask.
#pragma once

#include "toucanlever/cell/dispatch_state.hpp"
#include "toucanlever/cell/record_follower.hpp"
#include "toucanlever/cell/worker_lease.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace toucanlever
{

/// The workers of one term of the active scheduler.
class worker_roster
{
public:
    /// `on_read` is called once the list and the record have been read.
    worker_roster(dispatch_state& state, std::function<void()> on_read);
    ~worker_roster();

    /// Begins to read; answers may come from within.
    void start_reading();
    bool is_read() const { return this->list_read && this->recorded_rows; }

    /// Begins to follow all workers, once all that the store holds is read.
    void follow_workers(worker_lease_listener& reports);

    worker_lease& lease(std::string const& worker) const
    {
        return *this->leases.at(worker);
    }

    /// Null when the worker has been forgotten.
    worker_lease* find_lease(std::string const& worker) const;

    /// True once each worker that an earlier scheduler may have used has
    /// answered, or what ran there has ended for sure.
    bool is_reconciled() const { return this->unreconciled.empty(); }
    std::size_t unreconciled_count() const { return this->unreconciled.size(); }
    void note_reconciled(std::string const& worker);

    /// Repeats what the store did not take; forgets workers that are gone.
    void sweep();

private:
    void on_worker_rows(std::vector<record> const& rows, bool whole);
    void take_recorded_rows(std::vector<record> rows);
    void notify_if_read();
    void update_worker(worker_entry const& entry);
    void start_lease(worker_entry const& entry);
    void unlist_worker(std::string const& id);
    void record_workers();
    void on_workers_recorded(
        record_change const& change, change_result const& result);
    bool is_removable(pool_worker const& worker) const;

    dispatch_state& state;
    std::function<void()> on_read;
    // Set from `begin` on.
    worker_lease_listener* reports = nullptr;
    // By id; unset until `begin`.
    std::map<std::string, std::unique_ptr<worker_lease>> leases;
    std::unique_ptr<record_follower> list_follower;
    std::unique_ptr<record_scan> recorded_scan;
    // What earlier schedulers recorded.
    std::optional<std::vector<record>> recorded_rows;
    bool list_read = false;
    bool read_notified = false;
    // Workers of earlier schedulers that have not answered.
    std::set<std::string> unreconciled;
    std::set<std::string> to_record;
    // Workers that hold nothing any more and are to leave the record.
    std::set<std::string> to_remove_record;
    bool recording = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
