/// Whose running jobs may be stopped, for urgent work and for shares.
#pragma once

#include "policy/preemption_index.hpp"
#include "policy/share_queue.hpp"

namespace toucanlever
{

/// Urgent work may stop whatever can be stopped.
class urgent_rule final : public victim_rule
{
public:
    bool may_stop(running_job const& job, resources const& lost) const override;
};

/// Only customers that still have at least as much as the one that gains are
/// made to give: nobody gains it back by the same rule.
class share_rule final : public victim_rule
{
public:
    /// `gained` is what the gaining customer is to hold.
    share_rule(share_queue const& queue, std::string const& gains,
        resources const& gained, std::int64_t now_us);

    bool may_stop(running_job const& job, resources const& lost) const override;

private:
    share_queue const& queue;
    std::string const& gaining_customer;
    double share_after;
    std::int64_t now_us;
};

} // namespace toucanlever
