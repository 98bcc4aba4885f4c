/// The platform's transactional table service and instance list, as
/// interfaces, so that controllers run against small fakes in tests.
#pragma once

#include "toucanlever/platform/instance.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace toucanlever
{

/// A row; `version` counts its writes from 1.
struct table_row
{
    std::string key;
    std::string value;
    std::int64_t version = 0;
};

/// Precondition of a transaction: the row has exactly this version. Version 0
/// means that the row does not exist.
struct row_check
{
    std::string key;
    std::int64_t version = 0;
};

/// Sets a row.
struct row_write
{
    std::string key;
    std::string value;
};

/// Checks, writes and deletions that commit together or not at all. Checks are
/// made in order and the first that fails is reported. Callers therefore put
/// the check of the row that the transaction inserts before all other checks:
/// a conflict on it shows that an earlier attempt at the same transaction has
/// committed.
struct transaction
{
    std::vector<row_check> checks;
    std::vector<row_write> writes;
    /// Keys of rows to delete; a missing row is not a conflict.
    std::vector<std::string> deletes;
};

/// How one attempt at a transaction ended.
enum class commit_outcome
{
    committed,
    conflict,
    /// No answer: it may have committed or may yet commit.
    in_doubt
};

/// The outcome, with the row whose check failed in case of a conflict.
struct commit_result
{
    commit_outcome outcome = commit_outcome::in_doubt;
    table_row conflict;
};

/// Reads return nothing when the service did not answer.
class table_service
{
public:
    using commit_callback = std::function<void(commit_result)>;
    using rows_callback =
        std::function<void(std::optional<std::vector<table_row>>)>;

    virtual ~table_service() = default;

    /// Makes one attempt; callers repeat it while the outcome is in doubt.
    virtual void commit(transaction const& work, commit_callback done) = 0;

    /// All rows whose key begins with `prefix`, in the order of the keys.
    virtual void scan(std::string const& prefix, rows_callback done) = 0;

    /// True while calls go unanswered, including those of other users in this
    /// process. Requests that need the service should then be refused at once.
    virtual bool is_silent() const = 0;
};

/// The complete list of instances.
using instance_list = std::shared_ptr<std::vector<instance> const>;

/// Reads the platform's list of instances.
class instance_service
{
public:
    /// Null when there was no answer; the same object as before while the list
    /// is unchanged.
    using list_callback = std::function<void(instance_list const&)>;

    virtual ~instance_service() = default;
    virtual void list(list_callback done) = 0;
};

} // namespace toucanlever
