#include "toucanlever/cell/fair_share.hpp"

#include "toucanlever/core/dominant_share.hpp"

#include <algorithm>

namespace toucanlever
{

std::unordered_set<std::string> customers_above_share(
    std::vector<customer_usage> const& waiting, resources const& capacity)
{
    // Customers with equal quotients are not above it because of rounding.
    constexpr double tolerance = 1e-9;
    double shares = 0.0;
    double weights = 0.0;
    for (customer_usage const& each : waiting)
    {
        shares += dominant_share(each.used, capacity);
        weights += static_cast<double>(std::max<std::int64_t>(each.weight, 0));
    }
    double const fair = weights > 0.0 ? shares / weights : 0.0;
    std::unordered_set<std::string> above;
    for (customer_usage const& each : waiting)
    {
        double share =
            weighted_dominant_share(each.used, capacity, each.weight);
        if (share > fair * (1.0 + tolerance))
        {
            above.insert(each.name);
        }
    }
    return above;
}

} // namespace toucanlever
