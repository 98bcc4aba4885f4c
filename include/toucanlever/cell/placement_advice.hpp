/// An external policy that says which workers may run a step.
#pragma once

#include "toucanlever/cell/work.hpp"

#include <functional>
#include <string>
#include <vector>

namespace toucanlever
{

/// A worker that may run the step, and the proof that a start must carry.
struct advice_ticket
{
    std::string worker;
    std::string ticket;

    MSGPACK_DEFINE(worker, ticket)
};

/// The policy's answer; `answered` is false for a refusal or silence.
struct advice_result
{
    bool answered = false;
    std::vector<advice_ticket> tickets;
    /// How long the tickets are good for, from the answer on.
    std::int64_t valid_ms = 0;

    MSGPACK_DEFINE(answered, tickets, valid_ms)
};

/// Asks the policy; it takes one call at a time from each instance.
class placement_advice
{
public:
    using callback = std::function<void(advice_result)>;

    /// Workers that one call may name.
    static constexpr std::size_t max_workers = 100;

    virtual ~placement_advice() = default;
    virtual void request_advice(step_id const& step,
        std::vector<std::string> const& workers, callback done) = 0;
};

} // namespace toucanlever
