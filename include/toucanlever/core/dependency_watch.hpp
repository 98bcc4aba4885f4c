/// Logs when something that this process depends on is lost and regained.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace toucanlever
{

/// One dependency, judged by the calls made to it.
class dependency_watch
{
public:
    dependency_watch(std::string dependency, std::string peer);

    /// The outcome of a call; one line for the first failure and one for the
    /// first success after it.
    void record_success();
    void record_failure(std::string_view reason);

    /// Calls that failed since the last that did not.
    std::uint64_t failed_calls() const { return this->failures; }

private:
    std::string dependency;
    std::string peer;
    std::uint64_t failures = 0;
};

} // namespace toucanlever
