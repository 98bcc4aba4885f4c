/// Waiting jobs by customer, and customers by their weighted dominant share of
/// the total capacity.
#pragma once

#include "toucanlever/policy/placement_policy.hpp"

#include <set>
#include <tuple>
#include <unordered_map>

namespace toucanlever
{

class share_queue
{
public:
    /// Earliest start deadline first, then order of arrival.
    struct job_order
    {
        std::int64_t deadline_us = 0;
        std::int64_t queued_at_us = 0;
        std::uint64_t sequence = 0;

        bool operator<(job_order const& other) const
        {
            return std::tie(this->deadline_us, this->queued_at_us,
                       this->sequence) < std::tie(other.deadline_us,
                                             other.queued_at_us,
                                             other.sequence);
        }
    };

    /// Job ids in serving order.
    using job_queue = std::map<job_order, std::string>;

    /// One customer's waiting jobs and the usage of its running jobs.
    struct customer_state
    {
        resources usage;
        std::int64_t weight = 1;
        job_queue urgent;
        job_queue normal;
        /// The customer's key in `customer_order`; valid while `listed`.
        double share = 0.0;
        /// True while the customer has waiting jobs.
        bool listed = false;
    };

    void enqueue(queued_job job);

    /// False when the job is not queued.
    bool remove(std::string const& job_id);

    void set_weights(share_weights new_weights);

    /// Sets the capacity of which shares are fractions.
    void set_total(resources const& capacity) { this->total = capacity; }

    /// Adds to, or removes from, the amount that a customer's running jobs use.
    void add_usage(std::string const& customer, resources const& need);
    void remove_usage(std::string const& customer, resources const& need);

    /// The customer's weighted dominant share if it used this amount.
    double share_of(customer_state const& state, resources const& used) const;

    /// Customers with waiting jobs, lowest share first.
    std::set<std::pair<double, std::string>> const& by_share() const
    {
        return this->customer_order;
    }

    /// Throws std::out_of_range for a customer that never had jobs here.
    customer_state const& customer(std::string const& name) const
    {
        return this->customers.at(name);
    }

    /// Null when the job is not queued.
    queued_job const* find(std::string const& job_id) const;

    queued_job const& at(std::string const& job_id) const
    {
        return this->jobs.at(job_id).job;
    }

    std::size_t size() const { return this->jobs.size(); }

    /// Up to `limit` jobs queued before `before_us`, oldest first.
    std::vector<queued_job> waiting(
        std::size_t limit, std::int64_t before_us) const;

private:
    struct waiting_job
    {
        queued_job job;
        job_order order;
    };

    std::int64_t weight_of(std::string const& customer) const;
    void update_position(std::string const& name, customer_state& state);
    void remove_position(std::string const& name, customer_state& state);

    std::unordered_map<std::string, waiting_job> jobs;
    std::map<std::string, customer_state> customers;
    share_weights weights;
    // Invariant: exactly the customers with waiting jobs, by weighted share.
    std::set<std::pair<double, std::string>> customer_order;
    // All waiting jobs by arrival.
    std::set<std::pair<std::int64_t, std::string>> by_arrival;
    std::uint64_t next_sequence = 1;
    resources total;
};

} // namespace toucanlever
