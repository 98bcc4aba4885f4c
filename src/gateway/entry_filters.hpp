/// The filters that every request passes first: parse, authenticate, limits.
#pragma once

#include "toucanlever/gateway/request_filter.hpp"
#include "toucanlever/gateway/scheduler_pool.hpp"

#include <map>

namespace toucanlever
{

/// Checks the path, the encoding and the headers.
class parse_filter final : public request_filter
{
public:
    void apply(context_ptr const& context,
        std::function<void()> const& proceed) override;
};

/// Finds the customer of the bearer token.
class authenticate_filter final : public request_filter
{
public:
    explicit authenticate_filter(scheduler_pool const& schedulers)
        : schedulers(schedulers)
    {
    }

    void apply(context_ptr const& context,
        std::function<void()> const& proceed) override;

private:
    scheduler_pool const& schedulers;
};

/// Bounds each customer's requests in progress.
class limit_filter final : public request_filter
{
public:
    void apply(context_ptr const& context,
        std::function<void()> const& proceed) override;

private:
    std::map<std::string, std::int64_t> open_requests;
};

} // namespace toucanlever
