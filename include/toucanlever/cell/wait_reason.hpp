/// Why steps that are ready wait, one reason a step.
#pragma once

#include "toucanlever/core/enum_names.hpp"

#include <array>
#include <cstddef>

namespace toucanlever
{

/// Why a ready step still has waiting tasks after a planning pass.
enum class wait_reason
{
    /// It has none, or no pass has planned it yet.
    none,
    /// The time of the pass was used up before its turn; the next pass goes on
    /// with it.
    not_planned,
    /// An earlier scheduler may have started it on a worker that has not
    /// answered.
    predecessor_unknown,
    /// Tasks of the gang's previous run have not ended.
    gang_ending,
    /// No usable worker has enough free capacity.
    no_capacity,
    /// A call for advice is in flight.
    advice_pending,
    /// No instance can make a call for advice now.
    no_advice_slot,
    /// The last call for advice failed a moment ago.
    advice_failed,
    /// The policy approves no worker that has enough free capacity.
    not_approved,
    /// More tasks would exceed the cap of the job's customer.
    customer_cap,
    /// Its tasks fail shortly after each start, and the next one is delayed.
    restart_delayed
};

template <>
struct enum_table<wait_reason>
{
    using row = enum_name<wait_reason>;
    static constexpr std::array rows{row{wait_reason::none, "none"},
        row{wait_reason::not_planned, "not_planned"},
        row{wait_reason::predecessor_unknown, "predecessor_unknown"},
        row{wait_reason::gang_ending, "gang_ending"},
        row{wait_reason::no_capacity, "no_capacity"},
        row{wait_reason::advice_pending, "advice_pending"},
        row{wait_reason::no_advice_slot, "no_advice_slot"},
        row{wait_reason::advice_failed, "advice_failed"},
        row{wait_reason::not_approved, "not_approved"},
        row{wait_reason::customer_cap, "customer_cap"},
        row{wait_reason::restart_delayed, "restart_delayed"}};
};

/// The number of ready steps by the reason for which they wait.
class waiting_by_reason
{
public:
    void add(wait_reason reason, std::size_t count = 1)
    {
        this->steps.at(static_cast<std::size_t>(reason)) += count;
    }
    std::size_t of(wait_reason reason) const
    {
        return this->steps.at(static_cast<std::size_t>(reason));
    }

private:
    std::array<std::size_t, enum_table<wait_reason>::rows.size()> steps{};
};

} // namespace toucanlever
