#include "toucanlever/control/attached_callers.hpp"

namespace toucanlever
{
namespace
{

// A job waits for free capacity for about 2 s, less than its caller waits for
// the reply.
constexpr milliseconds poll_period{250};
constexpr int max_polls = 8;

} // namespace

attached_callers::attached_callers(
    event_loop& loop, std::function<bool(std::string const& job_id)> withdraw)
    : loop(loop)
    , withdraw_job(std::move(withdraw))
{
}

attached_callers::~attached_callers()
{
    *this->alive = false;
}

void attached_callers::add(std::string const& job_id, callback done)
{
    this->waiting.emplace(job_id, std::move(done));
    this->schedule_poll(job_id, 0);
}

void attached_callers::schedule_poll(std::string const& job_id, int polls)
{
    auto still_alive = this->alive;
    this->loop.after(poll_period,
        [this, still_alive, job_id, polls]
        {
            if (!*still_alive || this->waiting.count(job_id) == 0)
            {
                return;
            }
            if (polls < max_polls || !this->withdraw_job(job_id))
            {
                this->schedule_poll(job_id, polls + 1);
                return;
            }
            this->refuse(job_id);
        });
}

void attached_callers::refuse(std::string const& job_id)
{
    callback done = this->remove_callback(job_id);
    done(
        error(error_code::unavailable,
            "the table service does not answer and no worker has free capacity",
            "attach-job", "", run_state::no),
        {});
}

void attached_callers::answer(job_record const& job)
{
    if (callback done = this->remove_callback(job.id))
    {
        done(std::nullopt, submit_reply{job.id, false, !job.attached});
    }
}

/// Returns an empty callback when no caller waits for the job.
attached_callers::callback attached_callers::remove_callback(
    std::string const& job_id)
{
    auto found = this->waiting.find(job_id);
    if (found == this->waiting.end())
    {
        return {};
    }
    callback done = std::move(found->second);
    this->waiting.erase(found);
    return done;
}

} // namespace toucanlever
