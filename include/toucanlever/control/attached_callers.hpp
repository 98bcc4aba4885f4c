/// Callers whose jobs were accepted while the table service does not answer:
/// each is told once a worker runs its job and thereby holds its record.
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

/// See the head of this file.
class attached_callers
{
public:
    using callback =
        std::function<void(std::optional<error>, submit_reply const&)>;

    /// `withdraw` takes back a job that waits for room; false when it is on
    /// its way to a worker, which then decides.
    attached_callers(event_loop& loop,
        std::function<bool(std::string const& job_id)> withdraw);
    ~attached_callers();

    /// The caller of this job waits from now on.
    void add(std::string const& job_id, callback done);

    /// A worker runs the job, or it became durable.
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
