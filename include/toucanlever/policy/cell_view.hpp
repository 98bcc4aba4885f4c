/// A scheduler's view of the free capacity of the workers it controls, indexed
/// so that a fitting worker is found without a scan.
///
/// An ordered set per dimension yields the tightest fits. A tree of maxima
/// proves that no worker fits, or finds one when the tightest few do not fit.
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
    /// Reserved for one job; searches skip it.
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

    /// Replaces the free amount of a worker.
    void set_free(worker_slot slot, resources const& free);

    /// Allocates `need` on a worker. Throws std::logic_error when this would
    /// exceed the worker's free capacity; only this function allocates.
    void allocate(worker_slot slot, resources const& need);

    /// Releases `need` on a worker.
    void release(worker_slot slot, resources const& need);

    void hold_back(worker_slot slot, bool held);

    /// A tight fit by the dimension that is scarcest in the view. Adds the
    /// number of workers examined to `examined`.
    std::optional<worker_slot> find_tightest_fit(
        resources const& need, std::uint32_t& examined) const;

    /// Up to `limit` fitting workers, emptiest first. Examines at most the
    /// 2 * `limit` emptiest workers; if none of them fits, returns the first
    /// fit, if any.
    std::vector<worker_slot> find_emptiest(resources const& need,
        std::size_t limit, std::uint32_t& examined) const;

    /// The fitting worker with the lowest slot.
    std::optional<worker_slot> find_first_fit(
        resources const& need, std::uint32_t& examined) const;

    /// Of the workers whose total capacity is sufficient for `need`, the one
    /// with the most free capacity in the scarcest dimension. Skips workers
    /// that are held back; examines at most `limit` workers.
    std::optional<worker_slot> find_best_to_drain(
        resources const& need, std::size_t limit) const;

    /// True when the total capacity of some worker is sufficient for `need`.
    bool ever_fits(resources const& need) const;

    /// The first dimension in which `need` exceeds every worker's capacity, for
    /// the text of a refusal; 0 when there is none.
    std::size_t limiting_dimension(resources const& need) const;

    view_worker const& at(worker_slot slot) const
    {
        return this->workers[slot];
    }

    std::optional<worker_slot> find(std::string const& id) const;
    resources const& total_capacity() const { return this->capacity; }
    resources const& total_free() const { return this->free; }
    std::size_t size() const { return this->by_id.size(); }

    /// Number of slots, in use or vacant; every slot is below this.
    std::size_t slot_count() const { return this->workers.size(); }

    /// The greatest free amount of each dimension on any one worker.
    resources largest_free() const
    {
        return this->by_id.empty() ? resources{} : this->tree[1];
    }

    /// The dimension with the lowest free fraction of its capacity.
    std::size_t scarcest() const;

    /// Increases whenever capacity may have become free. A need that did not
    /// fit does not have to be tried again while this is unchanged.
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
    // Invariant: one entry per searchable worker and dimension, with its
    // current free amount.
    std::array<free_index, resources::dimensions> free_indexes;
    // Invariant: tree[n] is the maximum per dimension over n's leaves; leaf
    // of slot s is tree[leaves + s].
    std::vector<resources> tree;
    std::size_t leaves = 0;
    // Distinct capacities and the number of workers with each.
    std::vector<std::pair<resources, std::uint32_t>> capacity_counts;
    resources capacity;
    resources free;
    std::uint64_t generation = 0;
};

} // namespace toucanlever
