/// The policy in use: weighted dominant shares, tight fits, and a worker set
/// aside for work that has waited long and fits nowhere.
#pragma once

#include "policy/preemption_index.hpp"
#include "policy/share_queue.hpp"
#include "toucanlever/policy/placement_policy.hpp"

#include <unordered_map>

namespace toucanlever
{

/// See `make_weighted_share`.
class weighted_share final : public placement_policy
{
public:
    void enqueue(queued_job job) override
    {
        this->queue.enqueue(std::move(job));
    }
    bool remove(std::string const& job_id) override
    {
        return this->queue.remove(job_id);
    }
    std::optional<placement_decision> place_next(
        cell_view& cell, std::int64_t now_us) override;
    void add_usage(std::string const& customer, resources const& need) override
    {
        this->queue.add_usage(customer, need);
    }
    void remove_usage(
        std::string const& customer, resources const& need) override
    {
        this->queue.remove_usage(customer, need);
    }
    void set_weights(share_weights weights) override
    {
        this->queue.set_weights(std::move(weights));
    }
    void set_batch_allowed(bool allowed) override;
    void set_share_preemption_allowed(bool allowed) override;
    void track(running_job job, worker_slot slot) override;
    void untrack(std::string const& job_id) override;
    std::vector<std::string> preempt(
        cell_view& cell, std::int64_t now_us) override;
    bool needs_capacity() const override
    {
        return this->find_urgent_without_reservation() != nullptr;
    }
    std::optional<borrowed_capacity> borrow(cell_view& cell,
        std::vector<borrowable_capacity> const& lent,
        std::int64_t now_us) override;
    bool awaits_capacity(std::string const& job_id) const override
    {
        return this->has_reservation(job_id);
    }
    resources max_reclaimable(cell_view const& cell) const override
    {
        return this->running.max_reclaimable(cell);
    }
    void remove_worker(worker_slot slot) override;
    std::size_t size() const override { return this->queue.size(); }
    std::vector<queued_job> waiting(
        std::size_t limit, std::int64_t before_us) const override
    {
        return this->queue.waiting(limit, before_us);
    }
    std::string explain(
        std::string const& job_id, cell_view const& cell) const override;

private:
    /// Workers set aside until a job's tasks fit on them.
    struct reservation
    {
        std::string job;
        std::vector<worker_slot> slots;
        /// Running jobs are being stopped for it: it goes first.
        bool by_preemption = false;
        /// When it ends unused; 0 for never. Set where the room depends on
        /// another scheduler, which may be gone.
        std::int64_t expires_at_us = 0;
    };

    using try_result = std::optional<placement_decision>;

    try_result place_next_of_class(cell_view& cell, bool urgent);
    try_result try_place_customer(
        cell_view& cell, share_queue::customer_state const& state, bool urgent);
    try_result try_place_job(cell_view& cell, queued_job const& job);
    try_result place_reserved(cell_view& cell, bool makes_room);
    queued_job const* find_urgent_without_reservation() const;
    std::vector<std::string> reserve_by_preemption(cell_view& cell,
        queued_job const& job, victim_rule const& rule, std::int64_t now_us);
    std::vector<std::string> preempt_for_urgent(
        cell_view& cell, queued_job const& job, std::int64_t now_us);
    std::vector<std::string> preempt_for_customer(
        cell_view& cell, std::string const& customer, std::int64_t now_us);
    std::vector<std::string> preempt_for_share(
        cell_view& cell, std::int64_t now_us);
    std::size_t count_reserved_slots(bool makes_room) const;
    bool known_not_to_fit(queued_job const& job) const;
    bool place_tasks(
        cell_view& cell, queued_job const& job, placement_decision& decision);
    std::optional<worker_slot> choose(cell_view const& cell,
        queued_job const& job, placement_decision& decision);
    static std::vector<worker_slot> slots_for(
        cell_view const& cell, reservation const& held, queued_job const& job);
    queued_job const* find_starved_job(std::int64_t now_us) const;
    void reserve_for_starved_job(cell_view& cell, std::int64_t now_us);
    void release(cell_view& cell, std::size_t index);
    std::vector<reservation> release_starvation_reservations(cell_view& cell);
    void add_reservation(cell_view& cell, reservation made);
    bool release_starvation_reservation(cell_view& cell, worker_slot slot);
    void release_expired(cell_view& cell, std::int64_t now_us);
    bool has_reservation(std::string const& job_id) const;

    share_queue queue;
    bool batch_allowed = true;
    bool share_preemption_allowed = true;

    // Needs that were found not to fit since the view last grew.
    std::vector<queued_job> misfits;
    std::uint64_t misfits_generation = 0;

    // Invariant: no worker is in two reservations; each is held back.
    std::vector<reservation> reservations;

    preemption_index running;

    // Tasks of each service by "name/rack" and "name//domain".
    std::unordered_map<std::string, std::uint32_t> spread_counts;
};

} // namespace toucanlever
