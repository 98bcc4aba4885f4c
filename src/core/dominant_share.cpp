#include "toucanlever/core/dominant_share.hpp"

#include <algorithm>
#include <limits>

namespace toucanlever
{

double dominant_share(resources const& used, resources const& total)
{
    double dominant = 0.0;
    for (std::size_t d = 0; d < resources::dimensions; ++d)
    {
        if (total.at(d) > 0)
        {
            dominant = std::max(dominant, static_cast<double>(used.at(d)) /
                                              static_cast<double>(total.at(d)));
        }
    }
    return dominant;
}

double weighted_dominant_share(
    resources const& used, resources const& total, std::int64_t weight)
{
    double dominant = dominant_share(used, total);
    if (weight <= 0)
    {
        return dominant > 0.0 ? std::numeric_limits<double>::infinity() : 0.0;
    }
    return dominant / static_cast<double>(weight);
}

} // namespace toucanlever
