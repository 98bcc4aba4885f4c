/// Bounds retries to a part of the requests, so that a failing service is not
/// buried under them.
#pragma once

#include <algorithm>
#include <cstdint>

namespace toucanlever
{

/// A bucket that each request fills a little and each retry empties by one.
class retry_budget
{
public:
    explicit retry_budget(std::int64_t percent)
        : tokens_per_request(static_cast<double>(percent) / 100.0)
    {
    }

    void on_request()
    {
        this->tokens =
            std::min(this->tokens + this->tokens_per_request, max_tokens);
    }

    bool take_retry()
    {
        if (this->tokens < 1.0)
        {
            return false;
        }
        this->tokens -= 1.0;
        return true;
    }

private:
    static constexpr double initial_tokens = 10.0;
    static constexpr double max_tokens = 100.0;

    double tokens_per_request;
    // Invariant: between 0 and most_tokens.
    double tokens = initial_tokens;
};

} // namespace toucanlever
