#include "toucanlever/control/job_waiters.hpp"

namespace toucanlever
{

void job_waiters::add(std::string const& job_id, milliseconds wait,
    answer_function done, view_function view)
{
    auto callback = std::make_shared<answer_function>(std::move(done));
    auto still_alive = this->alive;
    auto timer = this->loop.after(wait,
        [this, still_alive, job_id, callback, view]
        {
            if (*still_alive)
            {
                this->time_out(job_id, callback, view);
            }
        });
    this->waiting[job_id].push_back(waiter{callback, timer});
}

void job_waiters::time_out(std::string const& job_id,
    std::shared_ptr<answer_function> const& done, view_function const& view)
{
    auto found = this->waiting.find(job_id);
    if (found == this->waiting.end())
    {
        return;
    }
    std::erase_if(found->second,
        [&done](waiter const& each) { return each.done == done; });
    if (found->second.empty())
    {
        this->waiting.erase(found);
    }
    if (auto current = view())
    {
        (*done)(*current);
    }
}

void job_waiters::answer(job_view const& view)
{
    auto found = this->waiting.find(view.id);
    if (found == this->waiting.end())
    {
        return;
    }
    auto answered = std::move(found->second);
    this->waiting.erase(found);
    for (waiter const& each : answered)
    {
        this->loop.cancel(each.timer);
        (*each.done)(view);
    }
}

} // namespace toucanlever
