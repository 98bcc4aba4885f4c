/// Rules that decide which running jobs may be preempted for urgent work and
/// for customers below their share.
#pragma once

#include "policy/preemption_index.hpp"
#include "policy/share_queue.hpp"

namespace toucanlever
{

/// Urgent work may preempt any job that can be stopped.
class urgent_rule final : public victim_rule
{
public:
    bool may_stop(running_job const& job, resources const& lost) const override;
};

/// A job may be preempted only if its customer's share afterwards is at least
/// the share of the gaining customer. The customer that loses capacity can
/// therefore not preempt it back by the same rule.
class share_rule final : public victim_rule
{
public:
    /// `gained` is the total amount that the customer `gaining_customer` will
    /// use.
    share_rule(share_queue const& queue, std::string const& gaining_customer,
        resources const& gained, std::int64_t now_us);

    bool may_stop(running_job const& job, resources const& lost) const override;

private:
    share_queue const& queue;
    std::string const& gaining_customer;
    // Share of the gaining customer after the preemption.
    double share_after;
    std::int64_t now_us;
};

} // namespace toucanlever
