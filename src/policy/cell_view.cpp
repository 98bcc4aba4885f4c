#include "toucanlever/policy/cell_view.hpp"

#include <algorithm>
#include <stdexcept>

namespace toucanlever
{
namespace
{

// Tightest workers examined before the tree is searched.
constexpr std::size_t tight_candidates = 16;
// A power of two, because the tree is a complete binary tree.
constexpr std::size_t min_leaves = 64;
// Less than any need, so that searches skip the slot.
constexpr std::int64_t not_searchable = -1;

resources max_of(resources const& a, resources const& b)
{
    return {std::max(a.cpu_millis, b.cpu_millis),
        std::max(a.memory_bytes, b.memory_bytes),
        std::max(a.accelerators, b.accelerators)};
}

resources const no_capacity{not_searchable, not_searchable, not_searchable};

} // namespace

bool cell_view::searchable(worker_slot slot) const
{
    view_worker const& worker = this->workers[slot];
    return worker.present && !worker.held_back;
}

void cell_view::index(worker_slot slot)
{
    if (this->searchable(slot))
    {
        for (std::size_t d = 0; d < resources::dimensions; ++d)
        {
            this->free_indexes[d].emplace(this->workers[slot].free.at(d), slot);
        }
    }
    this->update_tree(slot);
}

void cell_view::unindex(worker_slot slot)
{
    if (!this->searchable(slot))
    {
        return;
    }
    for (std::size_t d = 0; d < resources::dimensions; ++d)
    {
        this->free_indexes[d].erase({this->workers[slot].free.at(d), slot});
    }
}

void cell_view::update_tree(worker_slot slot)
{
    if (slot >= this->leaves)
    {
        this->rebuild_tree();
        return;
    }
    std::size_t node = this->leaves + slot;
    this->tree[node] =
        this->searchable(slot) ? this->workers[slot].free : no_capacity;
    for (node /= 2; node >= 1; node /= 2)
    {
        resources best = max_of(this->tree[2 * node], this->tree[2 * node + 1]);
        if (best == this->tree[node])
        {
            return;
        }
        this->tree[node] = best;
    }
}

void cell_view::rebuild_tree()
{
    this->leaves = std::max(min_leaves, this->leaves);
    while (this->leaves < this->workers.size())
    {
        this->leaves *= 2;
    }
    this->tree.assign(2 * this->leaves, no_capacity);
    for (worker_slot slot = 0; slot < this->workers.size(); ++slot)
    {
        if (this->searchable(slot))
        {
            this->tree[this->leaves + slot] = this->workers[slot].free;
        }
    }
    for (std::size_t node = this->leaves - 1; node >= 1; --node)
    {
        this->tree[node] =
            max_of(this->tree[2 * node], this->tree[2 * node + 1]);
    }
}

worker_slot cell_view::add(std::string const& id, std::string const& domain,
    std::string const& rack, resources const& worker_capacity,
    resources const& worker_free)
{
    worker_slot slot = 0;
    if (this->vacant_slots.empty())
    {
        slot = static_cast<worker_slot>(this->workers.size());
        this->workers.emplace_back();
    }
    else
    {
        slot = this->vacant_slots.back();
        this->vacant_slots.pop_back();
    }
    this->workers[slot] = view_worker{
        id, domain, rack, worker_capacity, worker_free, true, false};
    this->by_id[id] = slot;
    this->capacity += worker_capacity;
    this->free += worker_free;
    auto shape =
        std::find_if(this->capacity_counts.begin(), this->capacity_counts.end(),
            [&worker_capacity](auto const& entry)
            { return entry.first == worker_capacity; });
    if (shape == this->capacity_counts.end())
    {
        this->capacity_counts.emplace_back(worker_capacity, 1);
    }
    else
    {
        ++shape->second;
    }
    ++this->generation;
    this->index(slot);
    return slot;
}

void cell_view::remove(worker_slot slot)
{
    view_worker& worker = this->workers[slot];
    this->unindex(slot);
    this->capacity -= worker.capacity;
    this->free -= worker.free;
    this->by_id.erase(worker.id);
    auto shape =
        std::find_if(this->capacity_counts.begin(), this->capacity_counts.end(),
            [&worker](auto const& entry)
            { return entry.first == worker.capacity; });
    if (--shape->second == 0)
    {
        this->capacity_counts.erase(shape);
    }
    worker = view_worker{};
    this->vacant_slots.push_back(slot);
    this->update_tree(slot);
}

void cell_view::set_free(worker_slot slot, resources const& worker_free)
{
    view_worker& worker = this->workers[slot];
    if (worker.free == worker_free)
    {
        return;
    }
    this->unindex(slot);
    if (!worker.free.fits(worker_free))
    {
        ++this->generation;
    }
    this->free += worker_free - worker.free;
    worker.free = worker_free;
    this->index(slot);
}

void cell_view::allocate(worker_slot slot, resources const& need)
{
    if (!this->workers[slot].free.fits(need))
    {
        throw std::logic_error(
            "allocation would exceed the capacity of worker " +
            this->workers[slot].id);
    }
    this->set_free(slot, this->workers[slot].free - need);
}

void cell_view::release(worker_slot slot, resources const& need)
{
    this->set_free(slot, this->workers[slot].free + need);
}

void cell_view::hold_back(worker_slot slot, bool held)
{
    this->unindex(slot);
    this->workers[slot].held_back = held;
    this->index(slot);
    ++this->generation;
}

std::size_t cell_view::scarcest() const
{
    std::size_t scarce = 0;
    // Above any free fraction.
    double lowest = 2.0;
    for (std::size_t d = 0; d < resources::dimensions; ++d)
    {
        if (this->capacity.at(d) <= 0)
        {
            continue;
        }
        double fraction = static_cast<double>(this->free.at(d)) /
                          static_cast<double>(this->capacity.at(d));
        if (fraction < lowest)
        {
            lowest = fraction;
            scarce = d;
        }
    }
    return scarce;
}

std::optional<worker_slot> cell_view::find_tightest_fit(
    resources const& need, std::uint32_t& examined) const
{
    std::size_t dimension = this->scarcest();
    free_index const& order = this->free_indexes[dimension];
    auto at = order.lower_bound({need.at(dimension), 0});
    for (std::size_t i = 0; i < tight_candidates && at != order.end();
         ++i, ++at)
    {
        ++examined;
        if (this->workers[at->second].free.fits(need))
        {
            return at->second;
        }
    }
    // Every worker with enough of the scarcest dimension was examined.
    if (at == order.end())
    {
        return std::nullopt;
    }
    return this->find_first_fit(need, examined);
}

std::vector<worker_slot> cell_view::find_emptiest(
    resources const& need, std::size_t limit, std::uint32_t& examined) const
{
    std::vector<worker_slot> found;
    free_index const& order = this->free_indexes[this->scarcest()];
    std::size_t visited = 0;
    for (auto at = order.rbegin(); at != order.rend(); ++at)
    {
        ++examined;
        if (this->workers[at->second].free.fits(need))
        {
            found.push_back(at->second);
        }
        if (found.size() >= limit || ++visited >= 2 * limit)
        {
            break;
        }
    }
    if (found.empty())
    {
        if (auto any = this->find_first_fit(need, examined))
        {
            found.push_back(*any);
        }
    }
    return found;
}

std::optional<worker_slot> cell_view::find_first_fit(
    resources const& need, std::uint32_t& examined) const
{
    if (this->tree.empty())
    {
        return std::nullopt;
    }
    return this->search_tree(1, need, examined);
}

std::optional<worker_slot> cell_view::search_tree(
    std::size_t node, resources const& need, std::uint32_t& examined) const
{
    if (!this->tree[node].fits(need))
    {
        return std::nullopt;
    }
    if (node >= this->leaves)
    {
        ++examined;
        return static_cast<worker_slot>(node - this->leaves);
    }
    if (auto left = this->search_tree(2 * node, need, examined))
    {
        return left;
    }
    return this->search_tree(2 * node + 1, need, examined);
}

std::optional<worker_slot> cell_view::find_best_to_drain(
    resources const& need, std::size_t limit) const
{
    std::size_t dimension = this->scarcest();
    free_index const& order = this->free_indexes[dimension];
    std::size_t visited = 0;
    for (auto at = order.rbegin(); at != order.rend() && visited < limit;
         ++at, ++visited)
    {
        if (this->workers[at->second].capacity.fits(need))
        {
            return at->second;
        }
    }
    return std::nullopt;
}

bool cell_view::ever_fits(resources const& need) const
{
    return std::any_of(this->capacity_counts.begin(),
        this->capacity_counts.end(),
        [&need](auto const& shape) { return shape.first.fits(need); });
}

std::size_t cell_view::limiting_dimension(resources const& need) const
{
    for (std::size_t d = 0; d < resources::dimensions; ++d)
    {
        bool enough = std::any_of(this->capacity_counts.begin(),
            this->capacity_counts.end(),
            [&need, d](auto const& shape)
            { return shape.first.at(d) >= need.at(d); });
        if (!enough)
        {
            return d;
        }
    }
    return 0;
}

std::optional<worker_slot> cell_view::find(std::string const& id) const
{
    auto found = this->by_id.find(id);
    if (found == this->by_id.end())
    {
        return std::nullopt;
    }
    return found->second;
}

} // namespace toucanlever
