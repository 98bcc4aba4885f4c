/// Tables and rows for the durable state of a cell. docs/PLATFORM.md describes
/// who writes each row and what it proves.
#pragma once

#include "toucanlever/cell/record_store.hpp"

#include <string>
#include <string_view>

namespace toucanlever::tables
{

/// Accepted jobs, and a further row for each cancelled job.
inline constexpr char jobs[] = "jobs";
/// The outcomes of runs, written by the active scheduler.
inline constexpr char journal[] = "journal";
/// The workers that may have work, written by the active scheduler.
inline constexpr char workers[] = "workers";
/// The leader row and the heartbeat row, both of the active scheduler.
inline constexpr char leader[] = "leader";
/// Part of all rows that the active scheduler changes in transactions that
/// check the leader row.
inline constexpr char scheduler_part[] = "main";

inline constexpr std::string_view cancel_suffix = ".cancel";

/// Each entry instance writes jobs to its own part, named after the instance:
/// the store runs the transactions of a part one after the other, and a single
/// writer can put as many jobs as possible into each. Two instances may store
/// the same job; it still counts as one.
inline record_key job_row_key(std::string const& part, std::string const& job)
{
    return {jobs, part, job};
}

inline record_key cancel_row_key(
    std::string const& part, std::string const& job)
{
    return {jobs, part, job + std::string(cancel_suffix)};
}

inline record_key leader_row_key()
{
    return {leader, scheduler_part, "holder"};
}

inline record_key heartbeat_row_key()
{
    return {leader, scheduler_part, "beat"};
}

} // namespace toucanlever::tables
