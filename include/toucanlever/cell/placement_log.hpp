/// Logs why waiting work is not started: a summary of the cell each second, and
/// the reason for each step that is late.
#pragma once

#include "toucanlever/cell/dispatch_state.hpp"
#include "toucanlever/cell/wait_reason.hpp"

#include <cstdint>
#include <vector>

namespace toucanlever
{

/// Written by the planner and the sweep of one leader term.
class placement_log
{
public:
    explicit placement_log(dispatch_state& state);

    /// Starts the figures of a planning pass.
    void begin_pass(std::uint64_t pass);

    /// Notes why a step waits after the pass. Logs the reason when the step is
    /// late and the reason is not the one logged last.
    void note_step(registry_step& step, wait_reason reason, bool late);

    /// Notes a step that the pass did not plan because it was not due.
    void note_skipped(registry_step const& step);

    /// Notes due steps that the pass left to the next one.
    void note_unplanned(std::size_t steps)
    {
        this->reasons.add(wait_reason::not_planned, steps);
    }

    /// Logs the figures of the last pass; at most once a second, and nothing
    /// while no job is known.
    void write_summary();

private:
    void note_waiting(registry_step const& step, wait_reason reason);

    dispatch_state& state;
    std::uint64_t pass = 0;
    waiting_by_reason reasons;
    // Needs of the waiting tasks in the last pass, one for each step.
    std::vector<resources> needs;
    // As of the last summary.
    advice_totals advice_before;
    time_point next_summary_at{};
    // Lines about late steps that may be logged until the next summary.
    std::uint32_t step_lines_left = 0;
};

} // namespace toucanlever
