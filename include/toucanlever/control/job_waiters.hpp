/// Callers that wait for jobs to complete.
#pragma once

#include "toucanlever/core/event_loop.hpp"
#include "toucanlever/core/job.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace toucanlever
{

/// Answers each waiting call at most once: when its job completes or moves, or
/// when its wait time is over.
class job_waiters
{
public:
    using answer_function = std::function<void(job_view const&)>;

    /// Reads a job's current state; nothing when it is no longer known.
    using view_function = std::function<std::optional<job_view>()>;

    explicit job_waiters(event_loop& loop)
        : loop(loop)
    {
    }
    ~job_waiters() { *this->alive = false; }

    /// Calls `done` when `answer` reports the job, or after `wait` with what
    /// `view` returns; never when `view` then returns nothing.
    void add(std::string const& job_id, milliseconds wait, answer_function done,
        view_function view);

    /// Answers all callers that wait for this job.
    void answer(job_view const& view);

private:
    struct waiter
    {
        std::shared_ptr<answer_function> done;
        event_loop::timer_id timer = 0;
    };

    void time_out(std::string const& job_id,
        std::shared_ptr<answer_function> const& done,
        view_function const& view);

    event_loop& loop;
    std::unordered_map<std::string, std::vector<waiter>> waiting;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
