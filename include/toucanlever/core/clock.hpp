/// The runtime's clock. Everything that waits or measures reads time through
/// this interface, so that tests can pause and advance it.
#pragma once

#include <chrono>
#include <cstdint>

namespace toucanlever
{

using milliseconds = std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;

/// A point on one process's steady clock. Points of two processes are never
/// compared.
using time_point =
    std::chrono::time_point<std::chrono::steady_clock, microseconds>;

/// Source of steady time.
class clock
{
public:
    virtual ~clock() = default;

    /// The present moment; never goes backwards.
    virtual time_point now() const = 0;
};

/// The operating system's steady clock.
class steady_clock final : public clock
{
public:
    time_point now() const override;
};

/// A clock that stands still until a test advances it.
class manual_clock final : public clock
{
public:
    time_point now() const override { return this->current; }
    void advance(microseconds step) { this->current += step; }

private:
    time_point current{std::chrono::seconds(1000)};
};

/// Wall time in milliseconds since 1970, for records that people read.
/// Never used to decide anything.
std::int64_t wall_time_ms();

} // namespace toucanlever
