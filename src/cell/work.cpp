#include "toucanlever/cell/work.hpp"

namespace toucanlever
{

std::string to_string(step_id const& step)
{
    return step.job + '.' + std::to_string(step.occurrence) + '.' +
           std::to_string(step.step);
}

std::string to_string(task_id const& task)
{
    return to_string(task.step) + '.' + std::to_string(task.index);
}

} // namespace toucanlever
