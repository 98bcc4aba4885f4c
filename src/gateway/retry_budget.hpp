/// Limits retries to a percentage of the requests, so that retries do not
/// overload a failing service.
#pragma once

#include <algorithm>
#include <cstdint>

namespace toucanlever
{

/// A token bucket: each request adds a part of a token, each retry takes one.
class retry_budget
{
public:
    explicit retry_budget(std::int64_t percent)
        : gain(static_cast<double>(percent) / 100.0)
    {
    }

    void on_request()
    {
        this->tokens = std::min(this->tokens + this->gain, most_tokens);
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
    static constexpr double first_tokens = 10.0;
    static constexpr double most_tokens = 100.0;

    double gain;
    // Invariant: between 0 and max_tokens.
    double tokens = first_tokens;
};

} // namespace toucanlever
