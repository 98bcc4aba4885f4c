/// What a scheduler believes to be free on the workers it controls, indexed
/// so that a fitting worker is found without a scan.
///
/// Per dimension an ordered set gives the tightest fit; a tree of maxima
/// proves that nothing fits, or finds what the tightest few missed.
#pragma once

#include "toucanlever/core/resources.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace toucanlever
{

/// Index of a worker within a view; reused after removal.
using worker_slot = std::uint32_t;

/// One worker in the view.
struct view_worker
{
    std::string id;
    std::string domain;
    std::string rack;
    resources capacity;
    resources free;
    bool present = false;
    /// Set aside for one job: no search finds it.
    bool held_back = false;
};

/// The workers of one scheduler.
class cell_view
{
public:
    worker_slot add(std::string const& id, std::string const& domain,
        std::string const& rack, resources const& capacity,
        resources const& free);
    void remove(worker_slot slot);

    /// Replaces the belief about what is free.
    void set_free(worker_slot slot, resources const& free);

    /// Gives `need` on a worker away. The only place that does; throws
    /// std::logic_error rather than pass a worker's capacity.
    void allocate(worker_slot slot, resources const& need);

    /// Takes it back.
    void release(worker_slot slot, resources const& need);

    void hold_back(worker_slot slot, bool held);

    /// A tight fit by the dimension that is scarcest in the view. Adds the
    /// number of workers looked at to `examined`.
    std::optional<worker_slot> find_tightest_fit(
        resources const& need, std::uint32_t& examined) const;

    /// Up to `limit` fitting workers, emptiest first.
    std::vector<worker_slot> find_emptiest(resources const& need,
        std::size_t limit, std::uint32_t& examined) const;

    /// The fitting worker with the lowest slot.
    std::optional<worker_slot> find_first_fit(
        resources const& need, std::uint32_t& examined) const;

    /// The present worker whose capacity fits and most of it is free, held
    /// back ones excluded; looks at `limit` workers at the most.
    std::optional<worker_slot> find_best_to_drain(
        resources const& need, std::size_t limit) const;

    /// True when some worker's whole capacity would do.
    bool ever_fits(resources const& need) const;

    /// The dimension that rules a need out, for the refusal's text.
    std::size_t limiting_dimension(resources const& need) const;

    view_worker const& at(worker_slot slot) const
    {
        return this->workers[slot];
    }

    std::optional<worker_slot> find(std::string const& id) const;
    resources const& total_capacity() const { return this->capacity; }
    resources const& total_free() const { return this->free; }
    std::size_t size() const { return this->by_id.size(); }

    /// Slots in use or vacant; every slot is below this.
    std::size_t slot_count() const { return this->workers.size(); }

    /// The greatest free amount of each dimension on any one worker.
    resources largest_free() const
    {
        return this->by_id.empty() ? resources{} : this->tree[1];
    }

    /// The dimension with the lowest free part of its capacity.
    std::size_t scarcest() const;

    /// Grows whenever something becomes free: what did not fit before need
    /// not be tried again while it stands still.
    std::uint64_t growth_generation() const { return this->generation; }

private:
    using free_index = std::set<std::pair<std::int64_t, worker_slot>>;

    bool searchable(worker_slot slot) const;
    void index(worker_slot slot);
    void unindex(worker_slot slot);
    void update_tree(worker_slot slot);
    void rebuild_tree();
    std::optional<worker_slot> search_tree(
        std::size_t node, resources const& need, std::uint32_t& examined) const;

    std::vector<view_worker> workers;
    std::vector<worker_slot> vacant_slots;
    std::unordered_map<std::string, worker_slot> by_id;
    // Invariant: one entry per searchable worker and dimension, holding its
    // present free amount.
    std::array<free_index, resources::dimensions> free_indexes;
    // Invariant: tree[n] is the maximum per dimension over n's leaves; leaf
    // of slot s is tree[leaves + s].
    std::vector<resources> tree;
    std::size_t leaves = 0;
    // Distinct capacities and how many workers have each.
    std::vector<std::pair<resources, std::uint32_t>> capacity_counts;
    resources capacity;
    resources free;
    std::uint64_t generation = 0;
};

} // namespace toucanlever
