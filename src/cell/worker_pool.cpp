#include "toucanlever/cell/worker_pool.hpp"

#include <algorithm>
#include <stdexcept>
#include <string_view>

namespace toucanlever
{

bool pool_worker::accepts(std::string const& job, isolation wanted) const
{
    if (wanted == isolation::none && this->kept_for_isolation)
    {
        return false;
    }
    if (wanted == isolation::none && this->isolated_tasks == 0)
    {
        return true;
    }
    return std::all_of(this->allocations.begin(), this->allocations.end(),
        [&job, wanted](auto const& each)
        {
            task_allocation const& other = each.second;
            bool const may_stay =
                wanted == isolation::from_new_work ||
                (wanted == isolation::from_ending_work && other.long_running);
            return each.first.step.job == job || (may_stay && !other.isolated);
        });
}

bool pool_worker::has_long_running_beside(std::string const& job) const
{
    return std::any_of(this->allocations.begin(), this->allocations.end(),
        [&job](auto const& each)
        { return each.second.long_running && each.first.step.job != job; });
}

resources pool_worker::long_running_need() const
{
    resources sum;
    for (auto const& [task, allocation] : this->allocations)
    {
        sum += allocation.long_running ? allocation.need : resources{};
    }
    return sum;
}

bool pool_worker::runs_one_job() const
{
    std::set<std::string_view> jobs;
    for (auto const& [task, allocation] : this->allocations)
    {
        bool const is_at_work =
            allocation.long_running && allocation.seen_running;
        if (allocation.may_have_run() && !is_at_work)
        {
            jobs.insert(task.step.job);
        }
    }
    return jobs.size() == 1;
}

pool_worker& worker_pool::put(worker_entry const& entry)
{
    pool_worker& worker = this->by_id[entry.id];
    worker.free += entry.capacity - worker.entry.capacity;
    worker.entry = entry;
    worker.unlisted = false;
    return worker;
}

void worker_pool::remove(std::string const& id)
{
    auto found = this->by_id.find(id);
    if (found == this->by_id.end())
    {
        return;
    }
    for (auto const& [task, allocation] : found->second.allocations)
    {
        this->holders.erase({task, id});
        this->subtract_usage(allocation);
    }
    this->unknown_needs -= found->second.unknown_needs;
    this->by_id.erase(found);
}

pool_worker* worker_pool::find(std::string const& id)
{
    auto found = this->by_id.find(id);
    return found == this->by_id.end() ? nullptr : &found->second;
}

pool_worker const* worker_pool::find(std::string const& id) const
{
    auto found = this->by_id.find(id);
    return found == this->by_id.end() ? nullptr : &found->second;
}

task_allocation& worker_pool::allocate(pool_worker& worker, task_id const& task,
    task_allocation const& wanted, bool already_running)
{
    if (!already_running && !worker.free.fits(wanted.need))
    {
        throw std::logic_error("allocation would exceed the worker's capacity");
    }
    auto [place, inserted] = worker.allocations.try_emplace(task, wanted);
    if (!inserted)
    {
        throw std::logic_error(
            "the task already has an allocation on this worker");
    }
    worker.free -= wanted.need;
    worker.unknown_needs += wanted.need_known ? 0 : 1;
    this->unknown_needs += wanted.need_known ? 0 : 1;
    this->add_usage(wanted);
    worker.isolated_tasks += wanted.isolated ? 1 : 0;
    this->holders.insert({task, worker.entry.id});
    return place->second;
}

void worker_pool::set_need(
    pool_worker& worker, task_id const& task, resources const& need)
{
    task_allocation& allocation = worker.allocations.at(task);
    worker.free += allocation.need - need;
    worker.unknown_needs -= allocation.need_known ? 0 : 1;
    this->unknown_needs -= allocation.need_known ? 0 : 1;
    allocation.need = need;
    allocation.need_known = true;
}

void worker_pool::set_customer(pool_worker& worker, task_id const& task,
    std::string const& customer, resources const& use)
{
    task_allocation& allocation = worker.allocations.at(task);
    this->subtract_usage(allocation);
    allocation.customer = customer;
    allocation.use = use;
    this->add_usage(allocation);
}

resources worker_pool::usage_of(std::string const& customer) const
{
    auto found = this->usage.find(customer);
    return found == this->usage.end() ? resources{} : found->second;
}

void worker_pool::add_usage(task_allocation const& allocation)
{
    if (!allocation.customer.empty() && allocation.use != resources{})
    {
        this->usage[allocation.customer] += allocation.use;
    }
}

void worker_pool::subtract_usage(task_allocation const& allocation)
{
    if (allocation.customer.empty() || allocation.use == resources{})
    {
        return;
    }
    auto found = this->usage.find(allocation.customer);
    found->second -= allocation.use;
    if (found->second == resources{})
    {
        this->usage.erase(found);
    }
}

void worker_pool::isolate(pool_worker& worker, task_id const& task)
{
    task_allocation& allocation = worker.allocations.at(task);
    worker.isolated_tasks += allocation.isolated ? 0 : 1;
    allocation.isolated = true;
}

bool worker_pool::release(std::string const& worker, task_id const& task)
{
    pool_worker* target = this->find(worker);
    if (target == nullptr)
    {
        return false;
    }
    auto found = target->allocations.find(task);
    if (found == target->allocations.end())
    {
        return false;
    }
    target->free += found->second.need;
    target->unknown_needs -= found->second.need_known ? 0 : 1;
    this->unknown_needs -= found->second.need_known ? 0 : 1;
    this->subtract_usage(found->second);
    target->isolated_tasks -= found->second.isolated ? 1 : 0;
    target->allocations.erase(found);
    this->holders.erase({task, worker});
    return true;
}

std::string const* worker_pool::find_holder(task_id const& task) const
{
    auto found = this->holders.lower_bound({task, {}});
    bool held = found != this->holders.end() && found->first == task;
    return held ? &found->second : nullptr;
}

std::vector<std::pair<task_id, std::string>> worker_pool::allocations_of(
    std::string const& job) const
{
    std::vector<std::pair<task_id, std::string>> found;
    for (auto each = this->holders.lower_bound({task_id{{job, 0, 0}, 0}, {}});
         each != this->holders.end() && each->first.step.job == job; ++each)
    {
        found.push_back(*each);
    }
    return found;
}

} // namespace toucanlever
