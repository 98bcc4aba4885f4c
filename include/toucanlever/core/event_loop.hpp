/// The event loop that owns a process's sockets and state: an ACE reactor,
/// timers on the runtime's clock, and a queue of callbacks from other threads.
#pragma once

#include "toucanlever/core/clock.hpp"

#include <functional>
#include <memory>

class ACE_Reactor;

namespace toucanlever
{

/// One reactor and the thread that runs it. All member functions except
/// `post` and `stop` must be called on that thread.
class event_loop
{
public:
    using callback = std::function<void()>;

    /// Identifies a timer; zero means none. Never reused, so that the id of a
    /// timer that has fired may be cancelled.
    using timer_id = long;

    explicit event_loop(clock const& time);
    ~event_loop();
    event_loop(event_loop const&) = delete;
    event_loop& operator=(event_loop const&) = delete;

    /// Handles events until `stop` is called or SIGTERM or SIGINT arrives.
    void run();

    /// Handles events and timers that are due now, then returns. For tests.
    void run_ready();

    /// Ends `run`; safe from any thread.
    void stop();

    /// Queues a callback for the loop's thread; safe from any thread.
    void post(callback work);

    /// Calls `work` once, after `delay`.
    timer_id after(microseconds delay, callback work);

    /// Calls `work` every `period` until cancelled.
    timer_id every(microseconds period, callback work);

    void cancel(timer_id timer);

    /// Calls `work` at the first SIGTERM or SIGINT instead of stopping.
    void on_stop_signal(callback work);

    /// Calls `work` at each SIGHUP, which is ignored otherwise.
    void on_reload_signal(callback work);

    time_point now() const { return this->time.now(); }
    clock const& time_source() const { return this->time; }
    ACE_Reactor& reactor();

private:
    class impl;

    clock const& time;
    std::unique_ptr<impl> pimpl;
};

} // namespace toucanlever
