/// Keeps a copy of a table up to date: reads the whole table, then its
/// changes, and the whole table again when the change history is lost.
#pragma once

#include "toucanlever/cell/record_store.hpp"
#include "toucanlever/core/event_loop.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace toucanlever
{

/// Reads all rows of one part of a table, page by page. Repeats failed reads
/// until it is destroyed.
class record_scan
{
public:
    /// `version` is that of the first page: the rows may lack changes made
    /// after it.
    using callback =
        std::function<void(std::vector<record> rows, std::int64_t version)>;

    record_scan(event_loop& loop, record_store& store, std::string table,
        std::string part, callback done);
    ~record_scan();

    /// The version of the page that was read last.
    std::int64_t newest_version() const { return this->last_version; }

private:
    void read(std::string const& from);
    void handle_page(read_result result, std::string const& from);

    event_loop& loop;
    record_store& store;
    std::string table;
    std::string part;
    callback done;
    std::vector<record> rows;
    // Version of the first page.
    std::int64_t version = 0;
    std::int64_t last_version = 0;
    event_loop::timer_id retry_timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

/// Which table to follow, and how.
struct follow_options
{
    std::string table;
    /// Parts of which all rows are read; empty for all parts of the table.
    /// Changes come from all parts in either case.
    std::vector<std::string> parts;
    /// How long the store waits for a change in one call.
    milliseconds wait{1000};
    /// Delay between two calls, so that one answer holds several changes.
    milliseconds gap{0};
};

/// Follows one table.
class record_follower
{
public:
    /// `complete` is true when `rows` has all rows of the parts to be read,
    /// false when it holds changes. Where all parts are read, the rows are
    /// those of one version of the store: none of them was removed before
    /// another one was read.
    using callback =
        std::function<void(std::vector<record> const& rows, bool complete)>;

    record_follower(event_loop& loop, record_store& store,
        follow_options options, callback on_rows);
    ~record_follower();

    /// When the last answered call was sent. All rows that were written before
    /// are known here.
    time_point fresh_at() const { return this->fresh_time; }
    /// The store's version up to which all changes have been passed on; 0 while
    /// all rows are being read.
    std::int64_t followed_version() const
    {
        return this->scanning ? 0 : this->version;
    }
    bool has_snapshot() const { return this->complete; }
    /// True when the last call for changes was answered.
    bool is_following() const
    {
        return this->complete && !this->scanning && this->failures == 0;
    }

private:
    void read_snapshot();
    void read_base_version();
    void list_parts();
    void read_parts(std::vector<std::string> const& parts);
    void add_part_rows(std::vector<record> rows, std::int64_t version);
    void catch_up();
    void handle_catch_up(read_result result, time_point requested_at);
    void apply_to_snapshot(std::vector<record> changes);
    void deliver_snapshot();
    void retry(void (record_follower::*step)());
    void request_changes();
    void handle_changes(read_result const& result, time_point requested_at);
    void schedule_follow(milliseconds delay);
    std::int64_t elapsed_ms(time_point since) const;

    event_loop& loop;
    record_store& store;
    follow_options options;
    callback on_rows;
    std::vector<std::unique_ptr<record_scan>> scans;
    std::vector<record> snapshot_rows;
    std::size_t parts_missing = 0;
    // Version from which changes are applied to `snapshot_rows`; the snapshot
    // is that of `newest_version` at least.
    std::int64_t base_version = 0;
    std::int64_t newest_version = 0;
    time_point scan_started_at{};
    std::int64_t version = 0;
    bool complete = false;
    // All rows are being read, for the first time or after a lost history.
    bool scanning = true;
    int failures = 0;
    time_point fresh_time{};
    event_loop::timer_id timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
