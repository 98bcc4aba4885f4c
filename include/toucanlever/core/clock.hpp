/// Clock interface of the runtime. All timers and measurements read time
/// through it, so that tests can stop and advance time.
#pragma once

#include <chrono>
#include <cstdint>

namespace toucanlever
{

using milliseconds = std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;

/// A point on the steady clock of one process. Not comparable with points of
/// another process.
using time_point =
    std::chrono::time_point<std::chrono::steady_clock, microseconds>;

/// Source of steady time.
class clock
{
public:
    virtual ~clock() = default;

    /// The current time; never goes backwards.
    virtual time_point now() const = 0;
};

/// The operating system's steady clock. It counts the time in which the machine
/// is suspended: leases and time-outs of other processes go on meanwhile.
class steady_clock final : public clock
{
public:
    time_point now() const override;
};

/// A clock for tests; time passes only through `advance`.
class manual_clock final : public clock
{
public:
    time_point now() const override { return this->current; }
    void advance(microseconds step) { this->current += step; }

private:
    time_point current{std::chrono::seconds(1000)};
};

/// Wall time in milliseconds since the Unix epoch, for records that people
/// read. Not for decisions, since wall time can jump.
std::int64_t wall_time_ms();

} // namespace toucanlever
