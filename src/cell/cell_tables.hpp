/// Tables and rows in which a cell keeps what must last. docs/PLATFORM.md has
/// who writes each and what it proves.
#pragma once

#include "toucanlever/cell/record_store.hpp"

#include <string>
#include <string_view>

namespace toucanlever::tables
{

/// Accepted jobs, and a row beside each that was cancelled.
inline constexpr char jobs[] = "jobs";
/// Ends of runs, and which workers may hold work, by the active scheduler.
inline constexpr char journal[] = "journal";
inline constexpr char workers[] = "workers";
/// Who is the active scheduler.
inline constexpr char leader[] = "leader";
/// The part of all rows that are changed under the scheduler's own row.
inline constexpr char scheduler_part[] = "main";

inline constexpr std::string_view cancel_suffix = ".cancel";

/// Each entry instance writes to a part of its own, named after it: a part
/// makes its transactions one after the other, and one writer fills each of
/// them as far as it can. Two instances may store one job; it stays one.
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
