/// The customers of a cell: who may call it, and how much each may use.
#pragma once

#include "toucanlever/core/resources.hpp"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace toucanlever
{

/// What a customer is entitled to.
struct customer_terms
{
    /// Empty for a job that was accepted without a key.
    std::string name;
    /// The customer's share when the cell is full, relative to the others; also
    /// the number of jobs a second that it is entitled to submit.
    std::int64_t weight = 1;
    /// What its tasks may use at the same time on all workers together; 0 in a
    /// dimension for no limit.
    resources cap;

    MSGPACK_DEFINE(name, weight, cap)
};

/// A customer and the keys that its callers present.
struct customer
{
    customer_terms terms;
    std::vector<std::string> keys;
};

} // namespace toucanlever
