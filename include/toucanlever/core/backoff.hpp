/// Exponential backoff with full jitter.
#pragma once

#include "toucanlever/core/clock.hpp"

#include <algorithm>
#include <random>

namespace toucanlever
{

/// A random delay from min / 2 to the lesser of min * 2^failures and max.
inline milliseconds backoff_delay(
    int failures, milliseconds min, milliseconds max)
{
    static thread_local std::minstd_rand random{std::random_device{}()};
    // Keeps the shift below within the range of int.
    constexpr int max_doublings = 16;
    auto ceiling = min * (1 << std::min(failures, max_doublings));
    ceiling = std::min(ceiling, max);
    std::uniform_int_distribution<std::int64_t> pick(
        min.count() / 2, ceiling.count());
    return milliseconds(pick(random));
}

} // namespace toucanlever
