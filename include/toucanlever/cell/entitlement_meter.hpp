/// Decides which jobs are beyond what their customer is entitled to submit, so
/// that a customer at several times its usual rate does not delay the jobs of
/// others.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace toucanlever
{

/// The recent acceptance times of each customer. No I/O; times are wall times
/// of acceptance in milliseconds, which come from several instances and need
/// not be in order.
class entitlement_meter
{
public:
    /// Adds a job. Returns true when it is beyond its customer's entitlement:
    /// `weight` or more jobs of the customer that were added before, and are
    /// not beyond it themselves, were accepted in the second up to its
    /// acceptance. So a customer at several times its rate keeps its
    /// entitlement.
    bool add(std::string const& customer, std::int64_t weight,
        std::int64_t accepted_ms);

    std::size_t customer_count() const { return this->accepted.size(); }

private:
    /// Forgets customers without a recent job.
    void remove_idle_customers(std::int64_t accepted_ms);

    // By customer, in ascending order; some seconds around its last added job.
    std::unordered_map<std::string, std::deque<std::int64_t>> accepted;
    // The acceptance of the job at which idle customers were last removed.
    std::int64_t removed_at_ms = 0;
};

} // namespace toucanlever
