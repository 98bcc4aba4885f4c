/// Callers that submitted jobs while the table service is unavailable. Each
/// receives its reply when a worker runs the job and so holds its record, or
/// when the acceptance is durable; it receives an error when no worker has free
/// capacity in time.
#pragma once

#include "toucanlever/control/job_record.hpp"
#include "toucanlever/core/error.hpp"
#include "toucanlever/core/event_loop.hpp"
#include "toucanlever/wire/messages.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace toucanlever
{

/// Replies to each caller exactly once.
class attached_callers
{
public:
    using callback =
        std::function<void(std::optional<error>, submit_reply const&)>;

    /// `withdraw` removes a job that still waits for free capacity. It returns
    /// false when a start is in flight; the worker's answer then decides.
    attached_callers(event_loop& loop,
        std::function<bool(std::string const& job_id)> withdraw);
    ~attached_callers();

    /// Registers the caller of a job; `done` receives the reply.
    void add(std::string const& job_id, callback done);

    /// Replies to the caller: a worker runs the job, or its acceptance is
    /// durable. Does nothing when no caller waits for the job.
    void answer(job_record const& job);

private:
    void schedule_poll(std::string const& job_id, int polls);
    void refuse(std::string const& job_id);
    callback remove_callback(std::string const& job_id);

    event_loop& loop;
    std::function<bool(std::string const&)> withdraw_job;
    std::unordered_map<std::string, callback> waiting;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
