/// In-memory table service that replies synchronously and can drop requests or
/// lose replies.
#pragma once

#include "toucanlever/platform/table_service.hpp"

#include <map>

namespace toucanlever
{

class fake_table final : public table_service
{
public:
    void commit(transaction const& work, commit_callback done) override
    {
        ++this->attempts;
        if (this->before_commit)
        {
            this->before_commit(work);
        }
        if (this->drop_requests > 0)
        {
            --this->drop_requests;
            done(commit_result{});
            return;
        }
        commit_result result = this->apply(work);
        if (this->lose_answers > 0)
        {
            --this->lose_answers;
            result = commit_result{};
        }
        done(result);
    }

    void scan(std::string const& prefix, rows_callback done) override
    {
        std::vector<table_row> found;
        for (auto const& entry : this->rows)
        {
            if (entry.first.compare(0, prefix.size(), prefix) == 0)
            {
                found.push_back(entry.second);
            }
        }
        done(found);
    }

    bool is_silent() const override { return this->silent; }

    void set(std::string const& key, std::string const& value)
    {
        table_row& row = this->rows[key];
        row.key = key;
        row.value = value;
        ++row.version;
    }

    std::map<std::string, table_row> rows;
    int attempts = 0;
    int drop_requests = 0;
    int lose_answers = 0;
    bool silent = false;
    /// Called with each transaction before it is applied or dropped.
    std::function<void(transaction const&)> before_commit;

private:
    commit_result apply(transaction const& work)
    {
        commit_result result;
        for (row_check const& check : work.checks)
        {
            auto found = this->rows.find(check.key);
            std::int64_t version =
                found == this->rows.end() ? 0 : found->second.version;
            if (version != check.version)
            {
                result.outcome = commit_outcome::conflict;
                result.conflict.key = check.key;
                result.conflict.version = version;
                if (version > 0)
                {
                    result.conflict.value = found->second.value;
                }
                return result;
            }
        }
        for (row_write const& write : work.writes)
        {
            this->set(write.key, write.value);
        }
        for (std::string const& key : work.deletes)
        {
            this->rows.erase(key);
        }
        result.outcome = commit_outcome::committed;
        return result;
    }
};

} // namespace toucanlever
