/// What must outlive every process of the system: rows in a transactional
/// store that the platform runs.
#pragma once

#include "toucanlever/core/clock.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace toucanlever
{

/// Names one row. Rows of one part can be changed together.
struct record_key
{
    std::string table;
    std::string part;
    std::string key;
};

/// One row; versions of all rows rise with one counter of the store.
struct record
{
    record_key at;
    std::string value;
    std::int64_t version = 0;
    bool removed = false;
};

/// The row must have exactly this version; 0 stands for no row.
struct record_check
{
    record_key at;
    std::int64_t version = 0;
};

/// Sets a row.
struct record_write
{
    record_key at;
    std::string value;
};

/// Checks and writes of one part that take effect together or not at all.
struct record_change
{
    std::vector<record_check> checks;
    std::vector<record_write> writes;
    std::vector<record_key> removals;
};

/// How an attempt at a change ended.
enum class change_outcome
{
    committed,
    /// A check failed; `current` holds the checked rows.
    conflict,
    /// The store says that nothing was done.
    not_done,
    /// No answer: it may have been done or may yet be.
    in_doubt
};

/// The outcome; `version` is the store's newest on commit.
struct change_result
{
    change_outcome outcome = change_outcome::in_doubt;
    std::int64_t version = 0;
    std::vector<record> current;
};

/// How a read ended.
enum class read_outcome
{
    answered,
    /// The changes asked for are no longer kept: read the rows anew.
    history_lost,
    failed
};

/// Rows as of `version`; `more` when the answer was cut short.
struct read_result
{
    read_outcome outcome = read_outcome::failed;
    std::vector<record> rows;
    std::int64_t version = 0;
    bool has_more = false;
};

/// The store. Callbacks come exactly once, on the loop's thread.
class record_store
{
public:
    using change_callback = std::function<void(change_result)>;
    using read_callback = std::function<void(read_result)>;

    using parts_callback =
        std::function<void(std::optional<std::vector<std::string>>)>;

    virtual ~record_store() = default;

    /// One attempt, given up after `timeout`.
    virtual void commit(record_change const& change, milliseconds timeout,
        change_callback done) = 0;

    /// Rows of a part with keys from `from` on, and below `until` unless that
    /// is empty, in the order of the keys.
    virtual void read(std::string const& table, std::string const& part,
        std::string const& from, std::string const& until,
        read_callback done) = 0;

    /// The parts of a table that have rows; nothing when there was no answer.
    virtual void parts(std::string const& table, parts_callback done) = 0;

    /// What changed in a table after a version; waits up to `wait` for it.
    virtual void changes(std::string const& table, std::int64_t after,
        milliseconds wait, read_callback done) = 0;
};

} // namespace toucanlever
