/// Keeps a copy of a table up to date: reads it whole, then follows its
/// changes, and reads it whole again when the history of changes is lost.
#pragma once

#include "toucanlever/cell/record_store.hpp"
#include "toucanlever/core/event_loop.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace toucanlever
{

/// All rows of one part of a table, page by page; repeats what fails until
/// it is destroyed.
class record_scan
{
public:
    using callback =
        std::function<void(std::vector<record> rows, std::int64_t version)>;

    record_scan(event_loop& loop, record_store& store, std::string table,
        std::string part, callback done);
    ~record_scan();

private:
    void read(std::string const& from);
    void handle_page(read_result result, std::string const& from);

    event_loop& loop;
    record_store& store;
    std::string table;
    std::string part;
    callback done;
    std::vector<record> rows;
    /// Of the first page: changes after it may be missing in later ones.
    std::int64_t version = 0;
    event_loop::timer_id retry_timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

/// What to follow.
struct follow_options
{
    std::string table;
    /// Empty for all parts that the table has.
    std::vector<std::string> parts;
    /// How long one call waits for a change.
    milliseconds wait{1000};
    /// Between two calls, so that changes gather.
    milliseconds gap{0};
};

/// One table.
class record_follower
{
public:
    /// `whole` when the rows are all there are, else they are changes.
    using callback =
        std::function<void(std::vector<record> const& rows, bool whole)>;

    record_follower(event_loop& loop, record_store& store, follow_options plan,
        callback on_rows);
    ~record_follower();

    /// When the last call that the store answered was sent; what was written
    /// before it is known here.
    time_point fresh_at() const { return this->fresh_time; }
    bool has_snapshot() const { return this->complete; }

private:
    void read_snapshot();
    void read_parts(std::vector<std::string> const& parts);
    void add_part_rows(std::vector<record> rows, std::int64_t version);
    void request_changes();
    void handle_changes(read_result const& result, time_point asked_at);
    void schedule_follow(milliseconds delay);

    event_loop& loop;
    record_store& store;
    follow_options options;
    callback on_rows;
    std::vector<std::unique_ptr<record_scan>> scans;
    std::vector<record> snapshot_rows;
    std::size_t parts_missing = 0;
    time_point scan_started_at{};
    std::int64_t version = 0;
    bool complete = false;
    int failures = 0;
    time_point fresh_time{};
    event_loop::timer_id timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
