#include "toucanlever/cell/step_order.hpp"

#include <array>

namespace toucanlever
{

start_prospect prospect_of(step_rank const& rank, std::int64_t wall_ms)
{
    if (wall_ms <= rank.latest_start_ms)
    {
        return start_prospect::in_time;
    }
    if (rank.long_running)
    {
        return start_prospect::overdue_long_running;
    }
    return wall_ms <= rank.useless_start_ms ? start_prospect::late
                                            : start_prospect::useless;
}

std::vector<step_rank> order_steps(
    std::set<step_rank> const& ready, std::int64_t wall_ms, std::size_t limit)
{
    constexpr std::size_t prospects = 4;
    std::array<std::vector<step_rank>, prospects> groups;
    for (step_rank const& rank : ready)
    {
        auto prospect = static_cast<std::size_t>(prospect_of(rank, wall_ms));
        groups.at(prospect).push_back(rank);
    }
    std::vector<step_rank> ordered;
    for (std::vector<step_rank> const& group : groups)
    {
        auto count = std::min(group.size(), limit - ordered.size());
        ordered.insert(ordered.end(), group.begin(),
            group.begin() + static_cast<std::ptrdiff_t>(count));
    }
    return ordered;
}

} // namespace toucanlever
