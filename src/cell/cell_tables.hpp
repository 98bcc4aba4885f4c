/// Tables and rows in which a cell keeps what must last. docs/PLATFORM.md has
/// who writes each and what it proves.
#pragma once

#include "toucanlever/cell/record_store.hpp"

#include <string>
#include <string_view>
#include <vector>

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

/// Jobs are spread over parts by the first digit of their id, because a part
/// makes its transactions one after the other.
inline std::string part_of_job(std::string const& job)
{
    return job.substr(0, 1);
}

inline std::vector<std::string> const& job_parts()
{
    static std::vector<std::string> const parts{"0", "1", "2", "3", "4", "5",
        "6", "7", "8", "9", "a", "b", "c", "d", "e", "f"};
    return parts;
}

inline record_key job_row(std::string const& job)
{
    return {jobs, part_of_job(job), job};
}

inline record_key cancel_row(std::string const& job)
{
    return {jobs, part_of_job(job), job + std::string(cancel_suffix)};
}

inline record_key holder_row()
{
    return {leader, scheduler_part, "holder"};
}

inline record_key beat_row()
{
    return {leader, scheduler_part, "beat"};
}

} // namespace toucanlever::tables
