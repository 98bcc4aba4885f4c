/// The platform's metadata store, with rows, conditional transactions and
/// feeds.
#pragma once

#include "http.hpp"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>
#include <vector>

namespace standin
{

using json = nlohmann::json;

class store
{
public:
    store();

    int port() const { return this->server->port(); }

    /// Writes a row as the operator or a runner does.
    void put(
        std::string const& table, std::string const& key, json const& value);
    void remove(std::string const& table, std::string const& key);

    /// The decoded value of a row; empty when there is none.
    std::string get(std::string const& table, std::string const& part,
        std::string const& key);

private:
    // Table, part and key.
    using row_key = std::tuple<std::string, std::string, std::string>;
    struct row
    {
        std::string value;
        std::int64_t version = 0;
        bool deleted = false;
    };

    response handle(request const& call);
    response transact(json const& call);
    response read_rows(request const& call);
    response read_parts(request const& call);
    response read_feed(request const& call);
    json describe(row_key const& key, row const& entry) const;
    json header() const;
    void write(row_key const& key, row entry);

    std::mutex mutex;
    std::condition_variable changed;
    std::int64_t version = 1;
    std::map<row_key, row> rows;
    // The latest change of each row, in order.
    std::map<std::int64_t, std::vector<row_key>> changes;
    std::mutex parts_mutex;
    // Transactions of a part run one after the other.
    std::map<std::string, std::unique_ptr<std::mutex>> part_locks;
    std::unique_ptr<http_server> server;
};

} // namespace standin
