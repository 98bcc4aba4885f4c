#include "toucanlever/cell/advice_query.hpp"

#include "toucanlever/cell/placement_advice.hpp"

#include <algorithm>
#include <tuple>

namespace toucanlever
{
namespace
{

/// While calls are not scarce, a call names this many workers for each missing
/// task, and some more for short steps. A gang of more than a few tasks, which
/// needs all its workers approved at once, names the maximum.
constexpr std::size_t workers_per_task = 3;
constexpr std::size_t spare_workers = 6;
constexpr std::uint32_t max_small_gang = 3;

/// While calls are scarce, a call asks for room for this many times the missing
/// tasks, because other steps may use some of it before the answer arrives, and
/// the number of approvals varies.
constexpr double room_margin = 2.0;
/// The same for a gang, which needs all of its room at one moment.
constexpr double gang_room_margin = 3.0;
/// A call names enough workers for this many approvals on average; then one
/// call in 20 gets none.
constexpr double min_expected_approvals = 3.0;
/// A busy worker counts as this share of its capacity: its tasks end one after
/// the other while the tickets are valid, and other steps use some of the room.
constexpr double busy_worker_weight = 1.0 / 3.0;
/// A step whose approved workers could hold its missing tasks this many times
/// waits for them to become free.
constexpr std::uint64_t sufficient_approvals = 3;
/// Bounds the weight of old answers, so that the share follows a change of the
/// configuration.
constexpr double max_remembered_workers = 4000.0;

double expected_room(advice_option const& option)
{
    return std::max(static_cast<double>(option.fitting),
        busy_worker_weight * option.fitting_empty);
}

bool is_worth_a_call(
    std::vector<advice_option> const& options, advice_demand const& demand)
{
    if (!demand.calls_are_scarce || demand.has_waited_long ||
        demand.fitting_approved_empty <
            sufficient_approvals * demand.missing_tasks)
    {
        return true;
    }
    double fitting = 0.0;
    for (advice_option const& option : options)
    {
        fitting += option.fitting;
    }
    double needed = demand.all_or_none ? demand.missing_tasks : 1.0;
    return demand.approval_share * fitting >= needed;
}

/// Leaves out the workers that are held back for other steps, which have the
/// most free capacity, if the step is likely to find enough on the others. A
/// task that needs most of a worker often does not.
void leave_out_held_back(
    std::vector<advice_option>& options, advice_demand const& demand)
{
    double fitting = 0.0;
    for (advice_option const& option : options)
    {
        fitting += option.held_back ? 0 : option.fitting;
    }
    if (demand.approval_share * fitting >= demand.missing_tasks)
    {
        std::erase_if(options,
            [](advice_option const& option) { return option.held_back; });
    }
}

std::size_t generous_count(advice_demand const& demand)
{
    return demand.all_or_none && demand.missing_tasks > max_small_gang
               ? placement_advice::max_workers
               : workers_per_task * demand.missing_tasks + spare_workers;
}

} // namespace

std::vector<std::string> choose_workers_to_query(
    std::vector<advice_option> options, advice_demand const& demand)
{
    std::erase_if(options,
        [](advice_option const& option) { return option.fitting_empty == 0; });
    leave_out_held_back(options, demand);
    if (demand.missing_tasks == 0 || !is_worth_a_call(options, demand))
    {
        return {};
    }
    // The most room first, then the fastest; ids break ties, so that equal
    // inputs give equal results.
    auto first = [](advice_option const& left, advice_option const& right)
    {
        return std::tuple(-std::int64_t{left.fitting}, left.speed,
                   -left.free_cpu_millis, std::string_view(*left.worker)) <
               std::tuple(-std::int64_t{right.fitting}, right.speed,
                   -right.free_cpu_millis, std::string_view(*right.worker));
    };
    std::size_t limit = std::min(options.size(), placement_advice::max_workers);
    std::partial_sort(options.begin(),
        options.begin() + static_cast<std::ptrdiff_t>(limit), options.end(),
        first);
    double needed_room = (demand.all_or_none ? gang_room_margin : room_margin) *
                         demand.missing_tasks;
    std::vector<std::string> chosen;
    double room = 0.0;
    for (std::size_t i = 0; i < limit; ++i)
    {
        bool suffices =
            demand.calls_are_scarce
                ? room >= needed_room && static_cast<double>(chosen.size()) *
                                                 demand.approval_share >=
                                             min_expected_approvals
                : chosen.size() >= generous_count(demand);
        if (suffices)
        {
            break;
        }
        room += demand.approval_share * expected_room(options[i]);
        chosen.push_back(*options[i].worker);
    }
    return chosen;
}

void approval_estimate::add(std::size_t asked, std::size_t approved)
{
    this->asked += static_cast<double>(asked);
    this->approved += static_cast<double>(approved);
    if (this->asked > max_remembered_workers)
    {
        this->asked /= 2.0;
        this->approved /= 2.0;
    }
}

double approval_estimate::share() const
{
    return this->approved / this->asked;
}

} // namespace toucanlever
