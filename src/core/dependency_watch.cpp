#include "toucanlever/core/dependency_watch.hpp"

#include "toucanlever/core/log.hpp"
#include "toucanlever/core/metrics.hpp"

namespace toucanlever
{

dependency_watch::dependency_watch(std::string dependency, std::string peer)
    : dependency(std::move(dependency))
    , peer(std::move(peer))
{
}

void dependency_watch::record_success()
{
    if (this->failures == 0)
    {
        return;
    }
    log_line("dependency-regained")
        .with("dependency", this->dependency)
        .with("peer", this->peer)
        .with("failed_calls", this->failures);
    this->failures = 0;
}

void dependency_watch::record_failure(std::string_view reason)
{
    metrics().count("dependency_calls_failed");
    if (this->failures++ == 0)
    {
        log_line("dependency-lost")
            .with("dependency", this->dependency)
            .with("peer", this->peer)
            .with("reason", reason);
    }
}

} // namespace toucanlever
