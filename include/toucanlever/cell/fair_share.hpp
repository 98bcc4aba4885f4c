/// Which customers use more than their weighted fair share of a full cell, so
/// that a large customer does not displace a small one. Stateless.
#pragma once

#include "toucanlever/core/resources.hpp"

#include <cstdint>
#include <string>
#include <unordered_set>
#include <vector>

namespace toucanlever
{

/// A customer that has waiting steps, and what it uses.
struct customer_usage
{
    std::string name;
    std::int64_t weight = 1;
    resources used;
};

/// The customers whose dominant share of the capacity, divided by their weight,
/// is above that of all of them together: the sum of their dominant shares,
/// divided by the sum of their weights. A customer with a weight of 0 is above
/// when it uses anything. The list names each customer once, and has no entry
/// for jobs without a customer.
std::unordered_set<std::string> customers_above_share(
    std::vector<customer_usage> const& waiting, resources const& capacity);

} // namespace toucanlever
