/// Queries for the state of a job that wait at the active scheduler for the
/// job's outcome (long polling).
///
/// A caller that reads `running` some milliseconds before the end of its job is
/// durable queries again a quarter of a second later, which is the whole target
/// of an urgent job. A query that waits for the outcome costs neither.
#pragma once

#include "toucanlever/cell/work.hpp"
#include "toucanlever/core/event_loop.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <string>

namespace toucanlever
{

/// The queries that wait during one leader term.
class waiting_queries
{
public:
    /// Returns the state of a job as far as it may be reported now.
    using state_reader = std::function<lookup_result(std::string const& job)>;
    using callback = std::function<void(lookup_result const&)>;

    /// Upper limit of a query's wait.
    static constexpr milliseconds max_wait{1000};
    /// Limits the memory that callers can occupy; about a second of the
    /// lookups of a busy cell.
    static constexpr std::size_t max_queries = 2000;

    waiting_queries(event_loop& loop, state_reader read_state);
    /// Drops the queries that still wait; `answer_all` comes first when they
    /// are to be answered.
    ~waiting_queries();

    /// Calls `done` when the job has an outcome, or after `wait`; at once for a
    /// job that is not open, or when too many queries wait.
    void add(std::string const& job, milliseconds wait, callback done);

    /// Answers the queries for a job whose state has become final.
    void on_settled(std::string const& job);

    /// Answers all queries, and from now on each one at once.
    void answer_all();

    std::size_t size() const { return this->queries.size(); }

private:
    struct waiting_query
    {
        time_point added_at{};
        callback done;
        event_loop::timer_id timer = 0;
    };
    using query_map = std::multimap<std::string, waiting_query>;

    void answer(query_map::iterator query);

    event_loop& loop;
    state_reader read_state;
    bool stopped = false;
    // By job.
    query_map queries;
};

} // namespace toucanlever
