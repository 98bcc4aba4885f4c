#include "toucanlever/cell/step_order.hpp"

#include <array>

namespace toucanlever
{
namespace
{

using rank_list = std::vector<step_rank const*>;

/// The steps of one group in planning order. Steps are added by priority and
/// latest start; those over their customer's share are set aside until the last
/// step of their priority.
class prospect_group
{
public:
    void add(step_rank const& rank, bool over_share)
    {
        if (!this->over.empty() &&
            this->over.front()->priority != rank.priority)
        {
            this->finish_priority();
        }
        (over_share ? this->over : this->ordered).push_back(&rank);
    }

    rank_list const& finish()
    {
        this->finish_priority();
        return this->ordered;
    }

private:
    void finish_priority()
    {
        this->ordered.insert(
            this->ordered.end(), this->over.begin(), this->over.end());
        this->over.clear();
    }

    rank_list ordered;
    rank_list over;
};

} // namespace

start_prospect prospect_of(step_rank const& rank, std::int64_t wall_ms)
{
    bool is_useless = !rank.long_running && wall_ms > rank.useless_start_ms;
    if (rank.beyond_entitlement && !is_useless)
    {
        return start_prospect::beyond_entitlement;
    }
    if (wall_ms <= rank.latest_start_ms)
    {
        return start_prospect::in_time;
    }
    if (rank.long_running)
    {
        return start_prospect::overdue_long_running;
    }
    return is_useless ? start_prospect::useless : start_prospect::late;
}

rank_list order_steps(rank_list const& sorted, std::int64_t wall_ms,
    share_test const& is_over_share)
{
    constexpr std::size_t prospects = 5;
    std::array<prospect_group, prospects> groups;
    for (step_rank const* rank : sorted)
    {
        auto prospect = static_cast<std::size_t>(prospect_of(*rank, wall_ms));
        groups.at(prospect).add(*rank, is_over_share && is_over_share(*rank));
    }
    rank_list ordered;
    ordered.reserve(sorted.size());
    for (prospect_group& group : groups)
    {
        rank_list const& steps = group.finish();
        ordered.insert(ordered.end(), steps.begin(), steps.end());
    }
    return ordered;
}

rank_list order_steps(std::set<step_rank> const& ready, std::int64_t wall_ms,
    share_test const& is_over_share)
{
    rank_list sorted;
    sorted.reserve(ready.size());
    for (step_rank const& rank : ready)
    {
        sorted.push_back(&rank);
    }
    return order_steps(sorted, wall_ms, is_over_share);
}

} // namespace toucanlever
