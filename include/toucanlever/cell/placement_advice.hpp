/// Interface to the external placement policy, which approves the workers that
/// may run a step.
#pragma once

#include "toucanlever/cell/work.hpp"

#include <functional>
#include <string>
#include <vector>

namespace toucanlever
{

/// An approved worker and the ticket that a start request must present.
struct advice_ticket
{
    std::string worker;
    std::string ticket;

    MSGPACK_DEFINE(worker, ticket)
};

/// The policy's answer; `answered` is false after a refusal or a timeout.
struct advice_result
{
    bool answered = false;
    std::vector<advice_ticket> tickets;
    /// Validity of the tickets, counted from the answer.
    std::int64_t valid_ms = 0;

    MSGPACK_DEFINE(answered, tickets, valid_ms)
};

/// Client of the external placement policy, which serves one call at a time
/// per instance.
class placement_advice
{
public:
    using callback = std::function<void(advice_result)>;

    /// Maximum number of workers in one call.
    static constexpr std::size_t max_workers = 100;

    virtual ~placement_advice() = default;

    /// Asks which of `workers` may run the step; at most `max_workers`.
    virtual void request_advice(step_id const& step,
        std::vector<std::string> const& workers, callback done) = 0;
};

} // namespace toucanlever
