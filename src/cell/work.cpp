#include "toucanlever/cell/work.hpp"

namespace toucanlever
{

std::size_t count_tasks(work_record const& record)
{
    std::size_t tasks = 0;
    for (work_step const& step : record.steps)
    {
        tasks += step.tasks;
    }
    return tasks;
}

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
