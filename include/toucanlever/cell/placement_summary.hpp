/// Where the capacity of the cell is: the figures that tell a full cell from
/// one whose free capacity is out of reach.
///
/// No side effects: it reads a pool, and time is an argument.
#pragma once

#include "toucanlever/cell/worker_pool.hpp"
#include "toucanlever/core/enum_names.hpp"

#include <array>
#include <cstdint>
#include <vector>

namespace toucanlever
{

/// What a share of the cell's processors is used for. Every share counts in
/// exactly one state.
enum class capacity_state
{
    /// Tasks that were started or are being started.
    running,
    /// Reserved for tasks that cannot start before the policy's answer.
    reserved,
    /// Tasks that are being stopped.
    stopping,
    /// Free on workers that are held back for a gang, or kept for tasks that
    /// run isolated.
    held_back,
    /// Free, but no waiting task fits into what is free on its worker.
    too_small,
    /// Free, and at least one waiting task fits; why that task does not start
    /// is its step's `wait_reason`.
    open,
    /// Free, and nothing waits.
    idle,
    /// Free on workers that get no work: silent, leaving, not reconciled, or
    /// quarantined.
    unusable
};

template <>
struct enum_table<capacity_state>
{
    using row = enum_name<capacity_state>;
    static constexpr std::array rows{row{capacity_state::running, "running"},
        row{capacity_state::reserved, "reserved"},
        row{capacity_state::stopping, "stopping"},
        row{capacity_state::held_back, "held_back"},
        row{capacity_state::too_small, "too_small"},
        row{capacity_state::open, "open"}, row{capacity_state::idle, "idle"},
        row{capacity_state::unusable, "unusable"}};
};

/// Processor capacity by state, in thousandths of a core.
class capacity_by_state
{
public:
    /// `waiting` are the needs of the waiting tasks, `pass` the number of the
    /// last planning pass.
    capacity_by_state(worker_pool const& pool,
        std::vector<resources> const& waiting, std::uint64_t pass,
        time_point now);

    std::int64_t of(capacity_state state) const
    {
        return this->cpu_millis.at(static_cast<std::size_t>(state));
    }

    /// The capacity of all workers.
    std::int64_t total() const;

private:
    void add(capacity_state state, std::int64_t amount)
    {
        this->cpu_millis.at(static_cast<std::size_t>(state)) += amount;
    }
    void add_worker(pool_worker const& worker,
        std::vector<resources> const& waiting, std::uint64_t pass,
        time_point now);

    std::array<std::int64_t, enum_table<capacity_state>::rows.size()>
        cpu_millis{};
};

} // namespace toucanlever
