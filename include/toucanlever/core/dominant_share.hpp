/// Shares of a capacity with several dimensions.
#pragma once

#include "toucanlever/core/resources.hpp"

#include <cstdint>

namespace toucanlever
{

/// The largest share of any dimension of the total; dimensions that the total
/// does not have are ignored.
double dominant_share(resources const& used, resources const& total);

/// The dominant share divided by the weight. Infinite for a weight of 0 and
/// less, unless nothing is used.
double weighted_dominant_share(
    resources const& used, resources const& total, std::int64_t weight);

} // namespace toucanlever
