#include "toucanlever/core/event_loop.hpp"

#include <ace/ACE.h>
#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/Event_Handler_Handle_Timeout_Upcall.h>
#include <ace/Reactor.h>
#include <ace/Recursive_Thread_Mutex.h>
#include <ace/Signal.h>
#include <ace/Thread.h>
#include <ace/Time_Policy.h>
#include <ace/Timer_Heap_T.h>
#include <atomic>
#include <deque>
#include <mutex>
#include <unordered_map>

namespace toucanlever
{
namespace
{

/// Capacity of the reactor; the process's limit on descriptors may be lower.
constexpr int max_reactor_handles = 16384;

std::size_t handle_limit()
{
    return static_cast<std::size_t>(
        std::min(max_reactor_handles, ACE::max_handles()));
}

/// Makes ACE's timer queue use the runtime's clock.
class ace_time_policy final : public ACE_Dynamic_Time_Policy_Base
{
public:
    explicit ace_time_policy(clock const& time)
        : time(time)
    {
    }

protected:
    ACE_Time_Value_T<ACE_Delegating_Time_Policy> gettimeofday() const override
    {
        auto since = this->time.now().time_since_epoch().count();
        ACE_Time_Value_T<ACE_Delegating_Time_Policy> value;
        value.set(static_cast<time_t>(since / 1000000),
            static_cast<suseconds_t>(since % 1000000));
        return value;
    }

private:
    clock const& time;
};

using timer_heap = ACE_Timer_Heap_T<ACE_Event_Handler*,
    ACE_Event_Handler_Handle_Timeout_Upcall, ACE_SYNCH_RECURSIVE_MUTEX,
    ACE_Delegating_Time_Policy>;

/// The reactor's number of each pending timer. The reactor reuses the numbers
/// of timers that have fired, so they do not leave the loop.
using pending_timers = std::unordered_map<event_loop::timer_id, long>;

/// Calls one callback when its timer expires.
class timer_handler final : public ACE_Event_Handler
{
public:
    timer_handler(event_loop::callback work, bool repeats,
        event_loop::timer_id id, pending_timers& pending)
        : ACE_Event_Handler(nullptr)
        , work(std::move(work))
        , repeats(repeats)
        , id(id)
        , pending(pending)
    {
        this->reference_counting_policy().value(
            ACE_Event_Handler::Reference_Counting_Policy::ENABLED);
    }

    int handle_timeout(ACE_Time_Value const&, void const*) override
    {
        if (this->repeats)
        {
            this->work();
            return 0;
        }
        this->pending.erase(this->id);
        event_loop::callback once = std::move(this->work);
        once();
        return 0;
    }

private:
    event_loop::callback work;
    bool repeats;
    event_loop::timer_id id;
    pending_timers& pending;
};

ACE_Time_Value to_ace(microseconds span)
{
    auto count = std::max<std::int64_t>(span.count(), 0);
    return ACE_Time_Value(static_cast<time_t>(count / 1000000),
        static_cast<suseconds_t>(count % 1000000));
}

} // namespace

/// The reactor, the callback queue and the signal handler.
class event_loop::impl final : public ACE_Event_Handler
{
public:
    explicit impl(clock const& time)
        : policy(time)
        , timers(new timer_heap())
        , reactor(new ACE_Dev_Poll_Reactor(handle_limit(), true), true)
    {
        this->timers->set_time_policy(
            ACE_Delegating_Time_Policy(&this->policy));
        this->reactor.timer_queue(this->timers.get());
        this->ACE_Event_Handler::reactor(&this->reactor);
        ACE_Sig_Action ignore(reinterpret_cast<ACE_SignalHandler>(SIG_IGN));
        ignore.register_action(SIGPIPE);
        // Until `run` handles it; the default action ends the process.
        ignore.register_action(SIGHUP);
    }

    ~impl() override
    {
        this->reactor.timer_queue(nullptr);
        this->reactor.close();
    }

    void post(callback work)
    {
        bool was_empty = false;
        {
            std::lock_guard lock(this->mutex);
            was_empty = this->messages.empty();
            this->messages.push_back(std::move(work));
        }
        if (was_empty)
        {
            this->reactor.notify(this, ACE_Event_Handler::EXCEPT_MASK);
        }
    }

    /// Called by the reactor after `post` added to an empty queue.
    int handle_exception(ACE_HANDLE) override
    {
        std::deque<callback> batch;
        {
            std::lock_guard lock(this->mutex);
            batch.swap(this->messages);
        }
        for (callback& work : batch)
        {
            work();
        }
        return 0;
    }

    int handle_signal(int signal, siginfo_t*, ucontext_t*) override
    {
        (signal == SIGHUP ? this->reload_signalled : this->signalled) = true;
        return 0;
    }

    timer_id schedule(microseconds delay, microseconds period, callback work)
    {
        timer_id id = ++this->last_timer;
        bool repeats = period > microseconds(0);
        auto* handler =
            new timer_handler(std::move(work), repeats, id, this->pending);
        ACE_Event_Handler_var guard(handler);
        this->pending[id] = this->reactor.schedule_timer(
            handler, nullptr, to_ace(delay), to_ace(period));
        return id;
    }

    void cancel(timer_id id)
    {
        auto found = this->pending.find(id);
        if (found != this->pending.end())
        {
            this->reactor.cancel_timer(found->second);
            this->pending.erase(found);
        }
    }

    void handle_reload_signal()
    {
        if (this->reload_signalled.exchange(false) && this->reload_work)
        {
            this->reload_work();
        }
    }

    void handle_stop_signal()
    {
        if (!this->signalled.exchange(false))
        {
            return;
        }
        if (this->stop_work)
        {
            callback work = std::move(this->stop_work);
            this->stop_work = nullptr;
            work();
            return;
        }
        this->stopping = true;
    }

    ace_time_policy policy;
    std::unique_ptr<timer_heap> timers;
    pending_timers pending;
    timer_id last_timer = 0;
    ACE_Reactor reactor;
    std::mutex mutex;
    std::deque<callback> messages;
    callback stop_work;
    callback reload_work;
    std::atomic<bool> signalled = false;
    std::atomic<bool> reload_signalled = false;
    std::atomic<bool> stopping = false;
};

event_loop::event_loop(clock const& time)
    : time(time)
    , pimpl(std::make_unique<impl>(time))
{
}

event_loop::~event_loop() = default;

void event_loop::run()
{
    this->pimpl->reactor.owner(ACE_Thread::self());
    ACE_Sig_Set signals;
    signals.sig_add(SIGTERM);
    signals.sig_add(SIGINT);
    signals.sig_add(SIGHUP);
    this->pimpl->reactor.register_handler(signals, this->pimpl.get());
    while (!this->pimpl->stopping)
    {
        // 200 ms. Signal handlers only set flags and need not end the wait, so
        // a signal may be handled this much later.
        ACE_Time_Value poll_interval(0, 200000);
        this->pimpl->reactor.handle_events(poll_interval);
        this->pimpl->handle_stop_signal();
        this->pimpl->handle_reload_signal();
    }
}

void event_loop::run_ready()
{
    // More than one, because on a busy machine an iteration may end before it
    // finds the due events.
    constexpr int iterations = 32;
    this->pimpl->reactor.owner(ACE_Thread::self());
    for (int i = 0; i < iterations; ++i)
    {
        // The reactor subtracts the time it has already spent from this
        // timeout, and polls the sockets only when nothing is left. It does
        // not wait for less than a millisecond.
        ACE_Time_Value timeout(0, 999);
        this->pimpl->reactor.handle_events(timeout);
    }
}

void event_loop::stop()
{
    this->pimpl->stopping = true;
    this->post([] {});
}

void event_loop::post(callback work)
{
    this->pimpl->post(std::move(work));
}

event_loop::timer_id event_loop::after(microseconds delay, callback work)
{
    return this->pimpl->schedule(delay, microseconds(0), std::move(work));
}

event_loop::timer_id event_loop::every(microseconds period, callback work)
{
    return this->pimpl->schedule(period, period, std::move(work));
}

void event_loop::cancel(timer_id timer)
{
    this->pimpl->cancel(timer);
}

void event_loop::on_stop_signal(callback work)
{
    this->pimpl->stop_work = std::move(work);
}

void event_loop::on_reload_signal(callback work)
{
    this->pimpl->reload_work = std::move(work);
}

ACE_Reactor& event_loop::reactor()
{
    return this->pimpl->reactor;
}

} // namespace toucanlever
