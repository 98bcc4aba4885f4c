/// The baseline policy: strict order of arrival, lowest fitting worker.
#include "toucanlever/policy/placement_policy.hpp"

#include <algorithm>
#include <deque>

namespace toucanlever
{
namespace
{

class fifo_first_fit final : public placement_policy
{
public:
    void enqueue(queued_job job) override
    {
        this->queue.push_back(std::move(job));
    }

    bool remove(std::string const& job_id) override
    {
        auto found = std::find_if(this->queue.begin(), this->queue.end(),
            [&job_id](queued_job const& job) { return job.id == job_id; });
        if (found == this->queue.end())
        {
            return false;
        }
        this->queue.erase(found);
        return true;
    }

    std::optional<placement_decision> place_next(
        cell_view& cell, std::int64_t) override
    {
        if (this->queue.empty())
        {
            return std::nullopt;
        }
        placement_decision decision;
        queued_job const& job = this->queue.front();
        for (std::uint32_t i = 0; i < job.tasks; ++i)
        {
            auto slot = cell.find_first_fit(job.need, decision.examined);
            if (!slot)
            {
                for (worker_slot taken : decision.slots)
                {
                    cell.release(taken, job.need);
                }
                return std::nullopt;
            }
            cell.allocate(*slot, job.need);
            decision.slots.push_back(*slot);
        }
        decision.job = job;
        decision.reason = "first-fit";
        this->queue.pop_front();
        return decision;
    }

    void add_usage(std::string const&, resources const&) override {}
    void remove_usage(std::string const&, resources const&) override {}
    void set_weights(share_weights) override {}
    void set_batch_allowed(bool) override {}
    void set_share_preemption_allowed(bool) override {}
    void track(running_job, worker_slot) override {}
    void untrack(std::string const&) override {}
    resources max_reclaimable(cell_view const& cell) const override
    {
        return cell.largest_free();
    }
    std::vector<std::string> preempt(cell_view&, std::int64_t) override
    {
        return {};
    }
    bool needs_capacity() const override { return false; }
    std::optional<borrowed_capacity> borrow(cell_view&,
        std::vector<borrowable_capacity> const&, std::int64_t) override
    {
        return std::nullopt;
    }
    bool awaits_capacity(std::string const&) const override { return false; }
    void remove_worker(worker_slot) override {}
    std::size_t size() const override { return this->queue.size(); }

    std::vector<queued_job> waiting(
        std::size_t limit, std::int64_t before_us) const override
    {
        std::vector<queued_job> list;
        for (queued_job const& job : this->queue)
        {
            if (list.size() < limit && job.queued_at_us < before_us)
            {
                list.push_back(job);
            }
        }
        return list;
    }

    std::string explain(std::string const&, cell_view const&) const override
    {
        return "waits for the jobs before it";
    }

private:
    std::deque<queued_job> queue;
};

} // namespace

std::unique_ptr<placement_policy> make_fifo_first_fit()
{
    return std::make_unique<fifo_first_fit>();
}

std::unique_ptr<placement_policy> make_policy(std::string_view name)
{
    if (name == "weighted-share")
    {
        return make_weighted_share();
    }
    if (name == "fifo-first-fit")
    {
        return make_fifo_first_fit();
    }
    return nullptr;
}

} // namespace toucanlever
