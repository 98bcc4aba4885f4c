/// The fencing tokens of the orders that one leader sends to workers.
///
/// A leader raises the token of a worker's orders so that the worker, or its
/// next incarnation, refuses orders that were sent before and are delivered
/// late. The tokens of a later term are higher than all of an earlier one.
#pragma once

#include <cstdint>

namespace toucanlever
{

/// Issues the tokens of one term.
class order_fences
{
public:
    /// `term` is the fencing token of the leader row.
    explicit order_fences(std::uint64_t term)
        : issued(term << bits_within_term)
    {
    }

    /// The highest token issued so far.
    std::uint64_t current() const { return this->issued; }

    /// Issues a token that is higher than all issued so far.
    std::uint64_t raise() { return ++this->issued; }

private:
    /// JSON numbers are exact up to 2^53: enough for two million terms, and for
    /// four thousand million tokens in each.
    static constexpr unsigned bits_within_term = 32;

    std::uint64_t issued;
};

} // namespace toucanlever
