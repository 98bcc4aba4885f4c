/// The rows of the job table that a scheduler finds when its term begins.
///
/// They can be megabytes, and reading all of them in one turn of the event loop
/// would delay the leader's heartbeats. They are read in parts, one a turn.
#pragma once

#include "toucanlever/cell/record_store.hpp"
#include "toucanlever/cell/work.hpp"
#include "toucanlever/core/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace toucanlever
{

/// Jobs with the versions of their rows.
using versioned_jobs = std::vector<std::pair<work_record, std::int64_t>>;

/// What a customer is entitled to depends on the order in which its jobs are
/// added.
void sort_by_acceptance(versioned_jobs& jobs);

/// Passes the jobs of many rows on, in the order of their acceptance.
class job_snapshot
{
public:
    /// Reads the job of a row; no value for a row that is to be ignored.
    using decoder = std::function<std::optional<work_record>(record const&)>;
    /// Adds a job, with the version of its row.
    using adder = std::function<void(work_record job, std::int64_t version)>;

    /// A part ends with the row, or the job, that reaches this many bytes of
    /// rows to decode, or steps of jobs to add.
    static constexpr std::size_t bytes_per_part = 65536;
    static constexpr std::size_t steps_per_part = 1000;

    /// `done` is called after the last job was added.
    job_snapshot(event_loop& loop, std::vector<record> rows, decoder decode,
        adder add, std::function<void()> done);
    ~job_snapshot();

    /// Begins to read. If all rows fit into one part, `done` is called before
    /// this returns.
    void start() { this->decode_part(); }

private:
    void decode_part();
    void add_part();
    void continue_with(void (job_snapshot::*step)());

    event_loop& loop;
    std::vector<record> rows;
    decoder decode;
    adder add;
    std::function<void()> done;
    std::size_t next_row = 0;
    // The decoded jobs, sorted once all rows are decoded.
    versioned_jobs jobs;
    std::size_t next_job = 0;
    event_loop::timer_id timer = 0;
};

} // namespace toucanlever
