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
    // Invariant: between 0 and most_tokens.
    double tokens = first_tokens;
};

} // namespace toucanlever
