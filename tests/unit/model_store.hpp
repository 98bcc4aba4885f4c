/// A record store for seeded exploration that is away at times, executes
/// transactions late, and loses answers.
#pragma once

#include "model_workers.hpp"

#include "toucanlever/cell/record_store.hpp"

namespace toucanlever
{

/// Passes calls on to another store; without faults, unchanged.
class model_store final : public record_store
{
public:
    model_store(event_loop& loop, record_store& store, std::uint64_t seed)
        : loop(loop)
        , store(store)
        , random(seed, 4)
    {
    }

    /// Per thousand transactions.
    std::int64_t late = 0;
    std::int64_t answer_lost = 0;
    /// No call is executed before this time.
    time_point away_until{};

    void commit(record_change const& change, milliseconds timeout,
        change_callback done) override
    {
        bool const is_late = this->random.chance(this->late);
        bool const is_lost = this->random.chance(this->answer_lost);
        milliseconds const delay = this->random.time(1000, 6000);
        if (!this->is_away() && !is_late && !is_lost)
        {
            this->store.commit(change, timeout, std::move(done));
            return;
        }
        // While the store is away, some of what it gets is executed later.
        if (is_late)
        {
            this->loop.after(delay,
                [this, change, timeout] {
                    this->store.commit(
                        change, timeout, [](change_result const&) {});
                });
        }
        else if (!this->is_away())
        {
            this->store.commit(change, timeout, [](change_result const&) {});
        }
        this->loop.after(timeout, [done = std::move(done)] { done({}); });
    }

    void read(std::string const& table, std::string const& part,
        std::string const& from, std::string const& until,
        read_callback done) override
    {
        if (this->is_away())
        {
            this->loop.after(read_time, [done = std::move(done)] { done({}); });
            return;
        }
        this->store.read(table, part, from, until, std::move(done));
    }

    void parts(std::string const& table, parts_callback done) override
    {
        if (this->is_away())
        {
            this->loop.after(
                read_time, [done = std::move(done)] { done(std::nullopt); });
            return;
        }
        this->store.parts(table, std::move(done));
    }

    void changes(std::string const& table, std::int64_t after,
        milliseconds wait, read_callback done) override
    {
        if (this->is_away())
        {
            this->loop.after(
                wait + read_time, [done = std::move(done)] { done({}); });
            return;
        }
        this->store.changes(table, after, wait, std::move(done));
    }

private:
    static constexpr milliseconds read_time{1000};

    bool is_away() const { return this->loop.now() < this->away_until; }

    event_loop& loop;
    record_store& store;
    model_random random;
};

} // namespace toucanlever
