/// How many tasks a customer's cap allows. A customer that sends more work than
/// its cap keeps at most the cap of a cell busy; the rest of its work waits.
///
/// Stateless. A cap of 0 in a dimension is no limit there. A task counts by its
/// whole need (`work_step::need`).
#pragma once

#include "toucanlever/cell/queue_directory.hpp"
#include "toucanlever/cell/work.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace toucanlever
{

/// True when the cap limits any dimension.
bool limits_use(resources const& cap);

/// The cap of the configuration in force; for a customer that is not configured
/// any more, the one at the acceptance of its job. The reference is valid until
/// another configuration is adopted or the terms are destroyed.
resources const& cap_in_force(
    customer_terms const& accepted, queue_directory const& queues);

/// How many of `waiting` tasks may be placed now, so that what may be running
/// (`used`) stays within the cap. Tasks that start together get all or none.
std::uint32_t tasks_within_cap(resources const& cap, resources const& used,
    resources const& need, std::uint32_t waiting, bool start_together);

/// Why the job can never run within its customer's cap: a gang, or a single
/// task, needs more than the cap. No value when it can.
std::optional<std::string> cap_violation(work_record const& job);

} // namespace toucanlever
