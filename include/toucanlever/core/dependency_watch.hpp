/// Logs when a service that this process depends on fails and recovers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace toucanlever
{

/// Tracks the health of one dependency by the outcomes of calls to it.
class dependency_watch
{
public:
    dependency_watch(std::string dependency, std::string peer);

    /// Records the outcome of a call. Logs the first failure, and the first
    /// success after a failure.
    void record_success();
    void record_failure(std::string_view reason);

    /// Calls that failed since the last successful one.
    std::uint64_t failed_calls() const { return this->failures; }

private:
    std::string dependency;
    std::string peer;
    std::uint64_t failures = 0;
};

} // namespace toucanlever
