#include "toucanlever/cell/cancellation_notices.hpp"

#include <vector>

namespace toucanlever
{
namespace
{

/// By then a scheduler that works has read the cancellation from the store.
constexpr milliseconds repeat_for{30000};
/// Bounds the memory and the messages after a wave of cancellations.
constexpr std::size_t max_notices = 2000;

} // namespace

cancellation_notices::cancellation_notices(event_loop const& loop, sender send)
    : loop(loop)
    , send(std::move(send))
{
}

cancellation_notices::~cancellation_notices()
{
    *this->alive = false;
}

void cancellation_notices::add(std::string const& job)
{
    if (this->stored_at.size() < max_notices)
    {
        this->stored_at[job] = this->loop.now();
    }
    this->send_notice(job);
}

void cancellation_notices::resend()
{
    time_point oldest = this->loop.now() - repeat_for;
    std::erase_if(this->stored_at,
        [oldest](auto const& notice) { return notice.second < oldest; });
    std::vector<std::string> jobs;
    for (auto const& [job, time] : this->stored_at)
    {
        jobs.push_back(job);
    }
    for (std::string const& job : jobs)
    {
        this->send_notice(job);
    }
}

void cancellation_notices::send_notice(std::string const& job)
{
    this->send(job,
        [this, job, alive = this->alive](bool acknowledged)
        {
            if (*alive && acknowledged)
            {
                this->stored_at.erase(job);
            }
        });
}

} // namespace toucanlever
