/// How long a job may take, by the platform's rule, derived from its record.
#pragma once

#include "toucanlever/cell/work.hpp"

#include <cstdint>

namespace toucanlever
{

/// A job is of use to its caller up to this many times its objective.
inline constexpr std::int64_t useful_objectives = 3;

/// Times of a job, in milliseconds from its acceptance, or from when an
/// occurrence of it is due.
struct job_objective
{
    /// Sum of the estimates along the longest dependency path.
    std::int64_t critical_path_ms = 0;
    /// A job that takes no longer is in time.
    std::int64_t objective_ms = 0;

    /// A job that takes longer is of no use to its caller.
    std::int64_t useful_ms() const
    {
        return this->objective_ms * useful_objectives;
    }
};

job_objective objective_of(work_record const& record);

/// True when a job that starts now ends too late to be of use. Never true for
/// repeated and long-running jobs.
bool is_started_in_vain(work_record const& record, std::int64_t wall_ms);

/// True for a job that is of use however late it starts: a repeated job, whose
/// occurrences are due later, and one with a long-running step.
bool is_of_use_at_any_time(work_record const& record);

} // namespace toucanlever
