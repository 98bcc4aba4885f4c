#include "toucanlever/control/job_record.hpp"

namespace toucanlever
{

job_view make_job_view(job_record const& job)
{
    job_view view;
    view.id = job.id;
    view.customer = job.spec.customer;
    view.name = job.spec.name;
    view.kind = job.spec.kind;
    view.state = job.state;
    view.attempts = job.attempt;
    view.worker = job.worker;
    view.reason = job.reason;
    view.waited_ms = job.waited_ms;
    view.result = job.result;
    view.moved_to = job.moved_to;
    return view;
}

attempt_summary summarise_attempt(job_record const& job)
{
    attempt_summary sum;
    for (job_task const& task : job.tasks)
    {
        switch (task.status)
        {
        case task_status::succeeded:
            ++sum.succeeded;
            break;
        case task_status::failed:
            ++sum.failed;
            break;
        case task_status::stopped:
            ++sum.stopped;
            break;
        case task_status::lapsed:
        case task_status::lost:
            ++sum.lost;
            break;
        case task_status::refused:
            ++sum.refused;
            break;
        default:
            ++sum.unfinished;
        }
    }
    return sum;
}

task_status task_status_from_report(std::string const& state)
{
    if (state == "succeeded")
    {
        return task_status::succeeded;
    }
    if (state == "stopped")
    {
        return task_status::stopped;
    }
    return state == "lapsed" ? task_status::lapsed : task_status::failed;
}

std::string explain_job(job_record const& job)
{
    if (is_terminal(job.state))
    {
        return "ended as " + std::string(name_of(job.state)) +
               (job.worker.empty() ? "" : " on " + job.worker) +
               (job.reason.empty() ? "" : ": " + job.reason);
    }
    if (!job.moved_to.empty())
    {
        return "was handed over to " + job.moved_to;
    }
    if (job.recording)
    {
        return "waits for the table service to record its next state";
    }
    if (job.state == job_state::running)
    {
        return "runs on " + job.worker + ", attempt " +
               std::to_string(job.attempt);
    }
    if (!job.tasks.empty())
    {
        return "is being started on " + job.tasks.front().worker;
    }
    return {};
}

std::string make_task_id(job_record const& job, std::uint32_t index)
{
    return job.id + ":" + std::to_string(job.attempt) + "." +
           std::to_string(job.refused_placements) + ":" + std::to_string(index);
}

} // namespace toucanlever
