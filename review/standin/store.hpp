/// The platform's metadata store: rows in tables, as PROTOCOL.md describes
/// them. Each node gets a port of its own, so that the store can turn away one
/// of them.
#pragma once

#include "http.hpp"
#include "record.hpp"

#include <condition_variable>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

namespace review
{

using json = nlohmann::json;

/// What the store does with one transaction.
struct treatment
{
    /// Carried out this long after its arrival, if its condition holds then;
    /// negative for never.
    int perform_after_ms = 0;
    delivery how = delivery::answer;
};

class store
{
public:
    /// Decides about a transaction of a node.
    using transaction_hook =
        std::function<treatment(int node, request const&, json const&)>;
    /// Called for each read of a node before it is answered.
    using read_hook = std::function<void(int node, request const&)>;

    store(int nodes, recorder& record);
    ~store();

    int port(int node) const { return this->ports.at(node); }

    /// Writes a row without a condition, as the operator and runners do.
    void put(std::string const& table, std::string const& key,
        std::string const& value);

    /// While set, all calls of the node are answered with 503 and not done.
    void turn_away(int node, bool on);

    /// Forgets all changes; calls that follow from an earlier version get 410.
    void forget_history();

    void on_transaction(transaction_hook hook);
    void on_read(read_hook hook);

    /// Transactions that arrived, and those of them that got no answer.
    int transactions() const { return this->arrived; }
    int unanswered() const { return this->lost; }

    /// The node whose transaction last wrote to the table; -1 for none.
    int last_writer(std::string const& table);

    /// True when the table has a row with this key, in whatever part.
    bool has_row(std::string const& table, std::string const& key);

private:
    struct row
    {
        std::string value;
        std::int64_t version = 0;
    };
    struct change
    {
        std::int64_t version = 0;
        std::string table;
        std::string part;
        std::string key;
        std::string value;
        bool removed = false;
    };
    using table_rows = std::map<std::string, std::map<std::string, row>>;

    response handle(int node, request const& call);
    response transact(int node, request const& call);
    response perform(int node, json const& transaction);
    response get_rows(request const& call);
    response list_parts(request const& call);
    response feed(request const& call);
    void write(std::string const& table, std::string const& part,
        std::string const& key, std::string const& value, bool removed);
    json describe(change const& each) const;
    json with_version(json body) const;

    recorder& record;
    std::vector<int> ports;
    std::mutex mutex;
    std::condition_variable changed;
    std::int64_t version = 100;
    // Changes up to this version are forgotten.
    std::int64_t forgotten = 0;
    std::map<std::string, table_rows> tables;
    std::vector<change> history;
    std::map<std::string, int> writers;
    std::set<int> turned_away;
    transaction_hook transaction_decision;
    read_hook read_notice;
    std::atomic<int> arrived = 0;
    std::atomic<int> lost = 0;
    std::atomic<bool> ending = false;
    std::list<std::thread> late;
    std::vector<std::unique_ptr<server>> servers;
};

/// Base64 of the text, as values of rows are sent.
std::string to_base64(std::string const& text);

} // namespace review
