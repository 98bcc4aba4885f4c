#include "toucanlever/cell/worker_record.hpp"

namespace toucanlever
{

std::set<std::string> worker_record::jobs() const
{
    std::set<std::string> found;
    for (std::string const& task : this->tasks)
    {
        // The job comes first in the text of a task.
        found.insert(task.substr(0, task.find('.')));
    }
    return found;
}

} // namespace toucanlever
