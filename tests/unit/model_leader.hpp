/// Model leaders for seeded exploration: each has a process of its own, which
/// may be frozen or cut off, so that a leader that was replaced goes on for a
/// while beside its successor.
///
/// What bounds it are the rules of `leadership`: it starts work for a limited
/// time after its last confirmed heartbeat, grants leases up to a limited time
/// after it, and steps down once it sees that the leader row has changed.
#pragma once

#include "toucanlever/cell/dispatcher.hpp"
#include "toucanlever/cell/leadership.hpp"
#include "toucanlever/cell/worker_lease.hpp"

#include "cell/cell_tables.hpp"
#include "model_workers.hpp"

#include <deque>
#include <map>
#include <memory>

namespace toucanlever
{

/// A process, and its links to the store, the workers and the policy.
class model_process final : public record_store,
                            public worker_orders,
                            public placement_advice
{
public:
    model_process(clock const& time, record_store& store,
        model_workers& workers, placement_advice& advice)
        : loop(time)
        , store(store)
        , workers(workers)
        , advice(advice)
    {
        this->loop.run_ready();
    }

    /// Nothing of the process runs in between. What it sends just before is
    /// still in its buffers, and leaves them afterwards.
    time_point frozen_from{};
    time_point frozen_until{};
    /// Its calls to the store get no answer, and are not executed.
    time_point store_cut_until{};
    /// By worker: its calls do not arrive before this time.
    std::map<std::string, time_point> worker_cut_until;
    /// What arrived while the process was frozen is handled before its timers.
    bool handles_arrivals_first = false;
    event_loop loop;

    bool is_frozen() const
    {
        return this->loop.now() >= this->frozen_from &&
               this->loop.now() < this->frozen_until;
    }

    /// To be called when the process runs, before its timers are handled.
    void handle_early_arrivals()
    {
        if (this->handles_arrivals_first)
        {
            this->handle_arrivals();
        }
    }
    /// To be called after its timers were handled.
    void handle_arrivals()
    {
        std::deque<event_loop::callback> const arrived =
            std::move(this->arrivals);
        this->arrivals.clear();
        for (event_loop::callback const& work : arrived)
        {
            work();
        }
    }
    bool has_arrivals() const { return !this->arrivals.empty(); }

    /// Something arrives from outside of the process.
    void deliver(event_loop::callback work)
    {
        if (this->is_frozen())
        {
            this->arrivals.push_back(std::move(work));
            return;
        }
        this->loop.after(microseconds(0), std::move(work));
    }

    void commit(record_change const& change, milliseconds timeout,
        change_callback done) override
    {
        auto reply =
            this->reply_within<change_result>(timeout, std::move(done));
        if (!this->is_store_cut())
        {
            this->store.commit(change, timeout, reply);
        }
    }

    void read(std::string const& table, std::string const& part,
        std::string const& from, std::string const& until,
        read_callback done) override
    {
        auto reply =
            this->reply_within<read_result>(read_time, std::move(done));
        if (!this->is_store_cut())
        {
            this->store.read(table, part, from, until, reply);
        }
    }

    void parts(std::string const& table, parts_callback done) override
    {
        auto reply =
            this->reply_within<std::optional<std::vector<std::string>>>(
                read_time, std::move(done));
        if (!this->is_store_cut())
        {
            this->store.parts(table, reply);
        }
    }

    void changes(std::string const& table, std::int64_t after,
        milliseconds wait, read_callback done) override
    {
        auto reply =
            this->reply_within<read_result>(wait + read_time, std::move(done));
        if (!this->is_store_cut())
        {
            this->store.changes(table, after, wait, reply);
        }
    }

    void start(worker_target const& worker, start_order const& order,
        order_callback done) override
    {
        this->send<order_result>(worker, order_time, std::move(done),
            [this, worker, order](order_callback const& reply)
            { this->workers.start(worker, order, reply); });
    }

    void stop(worker_target const& worker, stop_order const& order,
        order_callback done) override
    {
        this->send<order_result>(worker, order_time, std::move(done),
            [this, worker, order](order_callback const& reply)
            { this->workers.stop(worker, order, reply); });
    }

    void watch(worker_target const& worker, watch_order const& order,
        watch_callback done) override
    {
        this->send<watch_result>(worker,
            milliseconds(order.wait_ms) + watch_time, std::move(done),
            [this, worker, order](watch_callback const& reply)
            { this->workers.watch(worker, order, reply); });
    }

    void request_advice(step_id const& step,
        std::vector<std::string> const& workers, callback done) override
    {
        this->advice.request_advice(
            step, workers, this->hand_over<advice_result>(std::move(done)));
    }

private:
    static constexpr milliseconds read_time{1000};
    static constexpr milliseconds order_time{400};
    static constexpr milliseconds watch_time{600};
    static constexpr milliseconds buffer_time{10};

    bool is_store_cut() const
    {
        return this->loop.now() < this->store_cut_until;
    }

    bool is_cut_from(std::string const& worker) const
    {
        auto found = this->worker_cut_until.find(worker);
        return found != this->worker_cut_until.end() &&
               this->loop.now() < found->second;
    }

    template <typename Result>
    std::function<void(Result)> hand_over(std::function<void(Result)> done)
    {
        return [this, done = std::move(done)](Result const& result)
        { this->deliver([done, result] { done(result); }); };
    }

    template <typename Result, typename Send>
    void send(worker_target const& worker, milliseconds timeout,
        std::function<void(Result)> done, Send const& send_now)
    {
        if (this->is_cut_from(worker.id))
        {
            this->loop.after(timeout,
                [done = std::move(done)]
                {
                    Result result;
                    result.problem = "no answer";
                    done(result);
                });
            return;
        }
        auto reply = this->hand_over<Result>(std::move(done));
        time_point const now = this->loop.now();
        if (now >= this->frozen_from || now + buffer_time < this->frozen_from)
        {
            send_now(reply);
            return;
        }
        this->workers.send_held(worker.id, this->frozen_until - now,
            [send_now, reply] { send_now(reply); });
    }

    /// An answer of the store; a failure when none arrives in time.
    template <typename Result>
    std::function<void(Result)> reply_within(
        milliseconds timeout, std::function<void(Result)> done)
    {
        auto pending =
            std::make_shared<std::function<void(Result)>>(std::move(done));
        auto finish = [pending](Result const& result)
        {
            if (*pending)
            {
                std::function<void(Result)> const callback =
                    std::move(*pending);
                *pending = nullptr;
                callback(result);
            }
        };
        this->loop.after(timeout, [finish] { finish(Result{}); });
        return [this, finish](Result const& result)
        {
            if (!this->is_store_cut())
            {
                this->deliver([finish, result] { finish(result); });
            }
        };
    }

    record_store& store;
    model_workers& workers;
    placement_advice& advice;
    // In the order of their arrival, while the process is frozen.
    std::deque<event_loop::callback> arrivals;
};

/// One term of a leader.
class model_leader final : public leader_heartbeat
{
public:
    model_leader(clock const& time, record_store& store, model_workers& workers,
        placement_advice& policy, leader_proof const& proof,
        std::function<void(std::string const& reason)> on_deposed)
        : process(time, store, workers, policy)
        , proof(proof)
        , on_deposed(std::move(on_deposed))
        , confirmed_at(this->process.loop.now())
        , members(this->process.loop, "self")
        , broker(this->process.loop, this->process, this->members)
    {
        follow_options options{tables::leader, {tables::scheduler_part},
            milliseconds(1000), milliseconds(0)};
        this->follower = std::make_unique<record_follower>(this->process.loop,
            this->process, options,
            [this](std::vector<record> const& rows, bool)
            { this->on_rows(rows); });
        this->process.loop.every(
            update_period, [this] { this->update_heartbeat(); });
    }

    void begin(queue_directory const& queues, bool log_decisions)
    {
        dispatcher_dependencies parts{this->process.loop, this->process,
            this->process, this->broker, queues, "workers-listed",
            [](std::string const&, std::string const& value)
            { return std::optional(unpack<worker_entry>(value, "test")); },
            [this] { return this->may_start_work(); },
            leadership::leader_lease_duration, *this,
            [this] {
                return this->confirmed_at + worker_lease::lease_after_heartbeat;
            },
            milliseconds(600000), log_decisions};
        this->scheduler =
            std::make_unique<dispatcher>(std::move(parts), this->proof,
                [this](std::string const& reason) { this->step_down(reason); });
    }

    /// Null once the term has ended.
    dispatcher* active() { return this->scheduler.get(); }
    bool is_deposed() const { return this->deposed; }

    /// The term ends, as with the end of the process.
    void end()
    {
        this->deposed = true;
        this->scheduler.reset();
    }

    std::optional<record_write> begin_transaction() override
    {
        this->transaction_sent_at = this->process.loop.now();
        if (this->deposed || !this->is_heartbeat_due())
        {
            return std::nullopt;
        }
        this->heartbeat_sent_at = this->process.loop.now();
        return this->heartbeat_row();
    }

    void end_transaction(time_point sent_at, bool committed) override
    {
        if (this->transaction_sent_at == sent_at)
        {
            this->transaction_sent_at.reset();
            this->transaction_ended_at = this->process.loop.now();
        }
        if (committed)
        {
            this->confirmed_at = std::max(this->confirmed_at, sent_at);
        }
    }

    model_process process;

private:
    // As in leadership.cpp.
    static constexpr milliseconds heartbeat_period{300};
    static constexpr milliseconds max_transaction_wait{1000};
    static constexpr milliseconds journal_write_gap{50};
    static constexpr milliseconds update_period{100};
    static constexpr milliseconds commit_timeout{1500};

    bool may_start_work() const
    {
        return !this->deposed && this->process.loop.now() - this->confirmed_at <
                                     leadership::leader_lease_duration;
    }

    bool is_heartbeat_due() const
    {
        return this->process.loop.now() - this->heartbeat_sent_at >=
               heartbeat_period;
    }

    record_write heartbeat_row() const
    {
        return {tables::heartbeat_row_key(),
            "holder-" + std::to_string(this->proof.fencing_token)};
    }

    void update_heartbeat()
    {
        time_point const now = this->process.loop.now();
        bool waits =
            this->transaction_sent_at
                ? now - *this->transaction_sent_at < max_transaction_wait
                : now - this->transaction_ended_at < journal_write_gap;
        if (this->deposed || this->heartbeat_pending || waits ||
            !this->is_heartbeat_due())
        {
            return;
        }
        this->heartbeat_pending = true;
        this->heartbeat_sent_at = now;
        record_change change;
        change.checks = {{tables::leader_row_key(), this->proof.row_version}};
        change.writes = {this->heartbeat_row()};
        this->process.commit(change, commit_timeout,
            [this, now](change_result const& result)
            {
                this->heartbeat_pending = false;
                if (this->deposed)
                {
                    return;
                }
                if (result.outcome == change_outcome::conflict)
                {
                    this->step_down("a heartbeat was rejected");
                }
                if (result.outcome == change_outcome::committed)
                {
                    this->confirmed_at = std::max(this->confirmed_at, now);
                }
            });
    }

    void on_rows(std::vector<record> const& rows)
    {
        for (record const& row : rows)
        {
            if (row.at == tables::leader_row_key() &&
                row.version > this->proof.row_version)
            {
                this->step_down("the leader row has changed");
            }
        }
    }

    void step_down(std::string const& reason)
    {
        if (this->deposed)
        {
            return;
        }
        this->deposed = true;
        this->on_deposed(reason);
        // Often called from within the scheduler.
        this->process.loop.after(
            microseconds(0), [this] { this->scheduler.reset(); });
    }

    leader_proof proof;
    std::function<void(std::string const& reason)> on_deposed;
    // When the last confirmed heartbeat was sent.
    time_point confirmed_at;
    time_point heartbeat_sent_at{};
    std::optional<time_point> transaction_sent_at;
    time_point transaction_ended_at{};
    bool heartbeat_pending = false;
    bool deposed = false;
    member_links members;
    advice_broker broker;
    std::unique_ptr<record_follower> follower;
    std::unique_ptr<dispatcher> scheduler;
};

} // namespace toucanlever
