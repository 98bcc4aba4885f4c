#include "policy/share_queue.hpp"

#include "toucanlever/core/dominant_share.hpp"

#include <limits>

namespace toucanlever
{
namespace
{

constexpr std::int64_t no_deadline = std::numeric_limits<std::int64_t>::max();

} // namespace

double share_queue::share_of(
    customer_state const& state, resources const& used) const
{
    return weighted_dominant_share(used, this->total, state.weight);
}

std::int64_t share_queue::weight_of(std::string const& customer) const
{
    auto weight = this->weights.find(customer);
    return weight == this->weights.end() ? 1 : weight->second;
}

void share_queue::remove_position(
    std::string const& name, customer_state& state)
{
    if (state.listed)
    {
        this->customer_order.erase({state.share, name});
        state.listed = false;
    }
}

void share_queue::update_position(
    std::string const& name, customer_state& state)
{
    this->remove_position(name, state);
    if (state.urgent.empty() && state.normal.empty())
    {
        return;
    }
    state.share = this->share_of(state, state.usage);
    state.listed = true;
    this->customer_order.emplace(state.share, name);
}

void share_queue::enqueue(queued_job job)
{
    job_order order{job.deadline_us > 0 ? job.deadline_us : no_deadline,
        job.queued_at_us, this->next_sequence++};
    customer_state& state = this->customers[job.customer];
    state.weight = this->weight_of(job.customer);
    (job.urgent ? state.urgent : state.normal).emplace(order, job.id);
    this->by_arrival.emplace(job.queued_at_us, job.id);
    std::string customer = job.customer;
    std::string id = job.id;
    this->jobs.emplace(id, waiting_job{std::move(job), order});
    this->update_position(customer, state);
}

bool share_queue::remove(std::string const& job_id)
{
    auto found = this->jobs.find(job_id);
    if (found == this->jobs.end())
    {
        return false;
    }
    queued_job const& job = found->second.job;
    customer_state& state = this->customers[job.customer];
    (job.urgent ? state.urgent : state.normal).erase(found->second.order);
    this->by_arrival.erase({job.queued_at_us, job.id});
    this->update_position(job.customer, state);
    this->jobs.erase(found);
    return true;
}

void share_queue::set_weights(share_weights new_weights)
{
    this->weights = std::move(new_weights);
    for (auto& entry : this->customers)
    {
        entry.second.weight = this->weight_of(entry.first);
        this->update_position(entry.first, entry.second);
    }
}

void share_queue::add_usage(std::string const& customer, resources const& need)
{
    customer_state& state = this->customers[customer];
    state.usage += need;
    this->update_position(customer, state);
}

void share_queue::remove_usage(
    std::string const& customer, resources const& need)
{
    customer_state& state = this->customers[customer];
    state.usage -= need;
    this->update_position(customer, state);
}

queued_job const* share_queue::find(std::string const& job_id) const
{
    auto found = this->jobs.find(job_id);
    return found == this->jobs.end() ? nullptr : &found->second.job;
}

std::vector<queued_job> share_queue::waiting(
    std::size_t limit, std::int64_t before_us) const
{
    std::vector<queued_job> list;
    for (auto const& entry : this->by_arrival)
    {
        if (list.size() >= limit || entry.first >= before_us)
        {
            break;
        }
        list.push_back(this->at(entry.second));
    }
    return list;
}

} // namespace toucanlever
