/// Interface to the transactional store of the platform, which holds the state
/// that must outlive every process of the system.
#pragma once

#include "toucanlever/core/clock.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace toucanlever
{

/// Key of one row. A part groups rows across tables: one transaction can change
/// several rows, all of the same part.
struct record_key
{
    std::string table;
    std::string part;
    std::string key;

    bool operator==(record_key const&) const = default;
};

/// One row. The versions of all rows come from one rising counter of the store.
struct record
{
    record_key at;
    std::string value;
    std::int64_t version = 0;
    bool removed = false;
};

/// Requires that the row has exactly this version; 0 means that no row exists.
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

/// A transaction on one part: its writes and removals take effect together, and
/// only if all checks hold.
struct record_change
{
    std::vector<record_check> checks;
    std::vector<record_write> writes;
    std::vector<record_key> removals;
};

/// Outcome of one attempt at a transaction.
enum class change_outcome
{
    committed,
    /// A check failed; `current` holds the checked rows.
    conflict,
    /// The store reports that nothing was changed.
    not_done,
    /// No answer: the change may have been made or may still be made.
    in_doubt
};

/// Result of a transaction; on commit, `version` is the store's newest.
struct change_result
{
    change_outcome outcome = change_outcome::in_doubt;
    std::int64_t version = 0;
    std::vector<record> current;
};

/// Outcome of a read.
enum class read_outcome
{
    answered,
    /// The store no longer keeps the requested changes: read all rows again.
    history_lost,
    failed
};

/// Rows as of `version`; `has_more` when the answer was truncated.
struct read_result
{
    read_outcome outcome = read_outcome::failed;
    std::vector<record> rows;
    std::int64_t version = 0;
    bool has_more = false;
    /// Why the read failed; empty unless it did.
    std::string problem{};
};

/// The store. Each callback is called exactly once, on the loop's thread.
class record_store
{
public:
    using change_callback = std::function<void(change_result)>;
    using read_callback = std::function<void(read_result)>;

    using parts_callback =
        std::function<void(std::optional<std::vector<std::string>>)>;

    virtual ~record_store() = default;

    /// Tries the transaction once; the attempt is abandoned after `timeout`.
    virtual void commit(record_change const& change, milliseconds timeout,
        change_callback done) = 0;

    /// Reads the rows of a part in key order, from key `from` on and up to but
    /// not including `until`; an empty `until` sets no upper limit.
    virtual void read(std::string const& table, std::string const& part,
        std::string const& from, std::string const& until,
        read_callback done) = 0;

    /// Lists the parts of a table that have rows; no value when the store did
    /// not answer.
    virtual void parts(std::string const& table, parts_callback done) = 0;

    /// Reads the changes of a table after version `after`; when there are none,
    /// the store waits up to `wait` for one before it answers.
    virtual void changes(std::string const& table, std::int64_t after,
        milliseconds wait, read_callback done) = 0;
};

} // namespace toucanlever
