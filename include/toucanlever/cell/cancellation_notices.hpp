/// Tells the active scheduler of cancellations that this instance has stored.
///
/// The scheduler also reads them from the store, but while it cannot, or reads
/// all jobs again, that takes longer than a cancelled job may go on starting
/// tasks. A notice is therefore repeated until a scheduler acknowledges it.
#pragma once

#include "toucanlever/core/event_loop.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace toucanlever
{

/// The notices that no scheduler has acknowledged.
class cancellation_notices
{
public:
    /// Sends a notice to the scheduler known now; `done` is called later, or
    /// from within the call, with true when it was acknowledged.
    using sender = std::function<void(
        std::string const& job, std::function<void(bool)> done)>;

    cancellation_notices(event_loop const& loop, sender send);
    ~cancellation_notices();

    /// Sends a notice for the first time.
    void add(std::string const& job);

    /// Sends all notices that are not acknowledged again.
    void resend();

    std::size_t size() const { return this->stored_at.size(); }

private:
    void send_notice(std::string const& job);

    event_loop const& loop;
    sender send;
    // Unacknowledged cancellations, by job: when they were stored.
    std::map<std::string, time_point> stored_at;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
