/// The capacity that steps are expected to use whose calls for advice are in
/// flight. Without it, all these calls would name the same free workers.
#pragma once

#include "toucanlever/core/resources.hpp"

#include <string>
#include <unordered_map>
#include <vector>

namespace toucanlever
{

/// Expected use by worker. Only steers whom the next calls name: the capacity
/// stays available to every step.
class advice_claims
{
public:
    /// Adds a call; `each` is expected to be used on each of the workers.
    void add(std::vector<std::string> const& workers, resources const& each)
    {
        // A worker without claims has no entry.
        if (each == resources{})
        {
            return;
        }
        for (std::string const& worker : workers)
        {
            this->by_worker[worker] += each;
        }
    }

    /// Removes a call that was added with the same arguments.
    void remove(std::vector<std::string> const& workers, resources const& each)
    {
        for (std::string const& worker : workers)
        {
            auto found = this->by_worker.find(worker);
            if (found == this->by_worker.end())
            {
                continue;
            }
            found->second -= each;
            if (found->second == resources{})
            {
                this->by_worker.erase(found);
            }
        }
    }

    resources on(std::string const& worker) const
    {
        auto found = this->by_worker.find(worker);
        return found == this->by_worker.end() ? resources{} : found->second;
    }

private:
    std::unordered_map<std::string, resources> by_worker;
};

} // namespace toucanlever
