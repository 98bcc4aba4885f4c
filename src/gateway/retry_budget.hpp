/// Limits retries to a percentage of the requests, so that retries do not
/// overload a failing service.
#pragma once

#include <algorithm>
#include <cstdint>

namespace toucanlever
{

/// A token bucket: each request adds `percent` / 100 tokens, each retry takes
/// one token.
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
    // Allows retries before requests have filled the bucket.
    static constexpr double initial_tokens = 10.0;
    // Limits a burst of retries.
    static constexpr double max_tokens = 100.0;

    double tokens_per_request;
    // Invariant: between 0 and max_tokens.
    double tokens = initial_tokens;
};

} // namespace toucanlever
