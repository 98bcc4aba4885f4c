/// An in-memory record store that answers at once, and can be unavailable, lose
/// answers or reject calls.
#pragma once

#include "toucanlever/cell/completion_journal.hpp"
#include "toucanlever/cell/record_store.hpp"
#include "toucanlever/core/event_loop.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace toucanlever
{

class fake_record_store final : public record_store
{
public:
    explicit fake_record_store(event_loop& loop)
        : loop(loop)
    {
    }

    void commit(record_change const& change, milliseconds,
        change_callback done) override
    {
        ++this->attempts;
        if (this->transaction_time > milliseconds(0))
        {
            this->busy_until = std::max(this->busy_until, this->loop.now()) +
                               this->transaction_time;
            this->loop.after(this->busy_until - this->loop.now(),
                [this, change, done = std::move(done)]
                { this->execute(change, done); });
            return;
        }
        this->execute(change, done);
    }

    void execute(record_change const& change, change_callback const& done)
    {
        if (this->unavailable)
        {
            done({});
            return;
        }
        if (this->rejecting || (this->on_commit && !this->on_commit(change)))
        {
            done({change_outcome::not_done, 0, {}});
            return;
        }
        if (this->delay_changes)
        {
            this->delayed_changes.push_back(change);
            done({});
            return;
        }
        change_result result = this->apply(change);
        if (this->lose_answers > 0)
        {
            --this->lose_answers;
            result = {};
        }
        done(result);
        this->answer_pending_calls();
    }

    void read(std::string const& table, std::string const& part,
        std::string const& from, std::string const& until,
        read_callback done) override
    {
        if (this->on_read)
        {
            this->on_read(from);
        }
        if (this->fails_reads_of(table))
        {
            done({});
            return;
        }
        read_result result{read_outcome::answered, {}, this->version, false};
        for (auto const& [id, row] : this->rows)
        {
            bool matches = row.at.table == table && row.at.part == part &&
                           row.at.key >= from &&
                           (until.empty() || row.at.key < until);
            if (matches && result.rows.size() == this->page_size)
            {
                result.has_more = true;
                break;
            }
            if (matches)
            {
                result.rows.push_back(row);
            }
        }
        done(result);
    }

    void parts(std::string const& table, parts_callback done) override
    {
        if (this->unavailable || this->rejecting)
        {
            done(std::nullopt);
            return;
        }
        std::set<std::string> found;
        for (auto const& [id, row] : this->rows)
        {
            if (row.at.table == table)
            {
                found.insert(row.at.part);
            }
        }
        done(std::vector<std::string>(found.begin(), found.end()));
    }

    void changes(std::string const& table, std::int64_t after,
        milliseconds wait, read_callback done) override
    {
        if (this->fails_reads_of(table))
        {
            done({});
            return;
        }
        if (this->history_lost)
        {
            this->history_lost = false;
            done({read_outcome::history_lost, {}, 0, false});
            return;
        }
        int call = ++this->last_call_id;
        this->pending_calls.push_back({call, table, after, std::move(done)});
        this->loop.after(wait, [this, call] { this->expire_call(call); });
        this->answer_pending_calls();
    }

    /// Writes a row as another client of the store would.
    std::int64_t set(record_key const& at, std::string const& value)
    {
        this->apply({{}, {{at, value}}, {}});
        this->answer_pending_calls();
        return this->version;
    }

    /// Executes the delayed transactions whose checks still hold.
    void execute_delayed_changes()
    {
        for (record_change const& change : this->delayed_changes)
        {
            this->apply(change);
        }
        this->delayed_changes.clear();
        this->answer_pending_calls();
    }

    record const* find(record_key const& at) const
    {
        auto found = this->rows.find({at.table, at.part, at.key});
        return found == this->rows.end() ? nullptr : &found->second;
    }

    /// The key of the table's first row.
    std::optional<record_key> first_key(std::string const& table) const
    {
        for (auto const& [id, row] : this->rows)
        {
            if (row.at.table == table)
            {
                return row.at;
            }
        }
        return std::nullopt;
    }

    std::size_t count(std::string const& table) const
    {
        return static_cast<std::size_t>(
            std::count_if(this->rows.begin(), this->rows.end(),
                [&table](auto const& entry)
                { return entry.second.at.table == table; }));
    }

    /// Transactions run one after the other and take this long each.
    milliseconds transaction_time{0};
    time_point busy_until{};
    /// Reads fail, and transactions are not executed and end in doubt.
    bool unavailable = false;
    /// Reads fail, and transactions end as not done.
    bool rejecting = false;
    /// Transactions for which it returns false end as not done.
    std::function<bool(record_change const&)> on_commit;
    /// Called before each read, with the key that it begins with.
    std::function<void(std::string const& from)> on_read;
    /// Reads of these tables fail.
    std::set<std::string> unreadable_tables;
    /// The next read of changes reports a lost history, once.
    bool history_lost = false;
    /// Number of transactions that are executed but end in doubt.
    int lose_answers = 0;
    /// Transactions end in doubt and are queued until
    /// `execute_delayed_changes`.
    bool delay_changes = false;
    std::vector<record_change> delayed_changes;
    int attempts = 0;
    std::size_t page_size = 500;
    std::int64_t version = 0;

private:
    using row_id = std::tuple<std::string, std::string, std::string>;

    struct pending_call
    {
        int id = 0;
        std::string table;
        std::int64_t after = 0;
        read_callback done;
    };

    bool fails_reads_of(std::string const& table) const
    {
        return this->unavailable || this->rejecting ||
               this->unreadable_tables.contains(table);
    }

    change_result apply(record_change const& change)
    {
        change_result result;
        bool checks_hold = true;
        for (record_check const& check : change.checks)
        {
            record const* row = this->find(check.at);
            std::int64_t current_version = row == nullptr ? 0 : row->version;
            checks_hold = checks_hold && current_version == check.version;
            result.current.push_back(
                row == nullptr ? record{check.at, {}, 0, false} : *row);
        }
        result.version = this->version;
        result.outcome =
            checks_hold ? change_outcome::committed : change_outcome::conflict;
        if (!checks_hold)
        {
            return result;
        }
        result.version = ++this->version;
        for (record_write const& write : change.writes)
        {
            this->rows[{write.at.table, write.at.part, write.at.key}] = {
                write.at, write.value, this->version, false};
        }
        for (record_key const& at : change.removals)
        {
            if (this->rows.erase({at.table, at.part, at.key}) > 0)
            {
                this->removed.push_back({at, {}, this->version, true});
            }
        }
        return result;
    }

    /// Answers a call that has reached its timeout without a change.
    void expire_call(int id)
    {
        auto found =
            std::find_if(this->pending_calls.begin(), this->pending_calls.end(),
                [id](pending_call const& call) { return call.id == id; });
        if (found != this->pending_calls.end())
        {
            read_callback done = std::move(found->done);
            bool fails = this->unavailable ||
                         this->unreadable_tables.contains(found->table);
            this->pending_calls.erase(found);
            done(fails ? read_result{}
                       : read_result{
                             read_outcome::answered, {}, this->version, false});
        }
    }

    /// Answers the pending calls for which there are changes now.
    void answer_pending_calls()
    {
        std::vector<pending_call> calls = std::move(this->pending_calls);
        this->pending_calls.clear();
        for (pending_call& call : calls)
        {
            read_result result{
                read_outcome::answered, {}, this->version, false};
            for (auto const& [id, row] : this->rows)
            {
                if (row.at.table == call.table && row.version > call.after)
                {
                    result.rows.push_back(row);
                }
            }
            for (record const& row : this->removed)
            {
                if (row.at.table == call.table && row.version > call.after)
                {
                    result.rows.push_back(row);
                }
            }
            if (result.rows.empty() ||
                this->unreadable_tables.contains(call.table))
            {
                this->pending_calls.push_back(std::move(call));
                continue;
            }
            call.done(result);
        }
    }

    event_loop& loop;
    int last_call_id = 0;
    std::map<row_id, record> rows;
    std::vector<record> removed;
    std::vector<pending_call> pending_calls;
};

/// A heartbeat that is never due. Counts the committed transactions, each of
/// which confirms the leader.
class no_heartbeat final : public leader_heartbeat
{
public:
    std::optional<record_write> begin_transaction() override
    {
        return std::nullopt;
    }
    void end_transaction(time_point, bool committed) override
    {
        this->confirmed += committed ? 1 : 0;
    }

    int confirmed = 0;
};

} // namespace toucanlever
