#include "store.hpp"

#include <algorithm>

namespace review
{
namespace
{

/// The usual times of the platform's store.
constexpr std::chrono::milliseconds transaction_time{5};
constexpr std::chrono::milliseconds read_time{4};
constexpr std::size_t max_rows = 500;

std::string query_of(request const& call, std::string const& name)
{
    auto found = call.query.find(name);
    return found == call.query.end() ? "" : found->second;
}

} // namespace

std::string to_base64(std::string const& text)
{
    constexpr char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < text.size(); i += 3)
    {
        unsigned value = 0;
        for (std::size_t j = 0; j < 3; ++j)
        {
            value <<= 8U;
            value |= i + j < text.size()
                         ? static_cast<unsigned char>(text[i + j])
                         : 0U;
        }
        result += digits[value >> 18U & 63U];
        result += digits[value >> 12U & 63U];
        result += i + 1 < text.size() ? digits[value >> 6U & 63U] : '=';
        result += i + 2 < text.size() ? digits[value & 63U] : '=';
    }
    return result;
}

store::store(int nodes, recorder& record)
    : record(record)
{
    for (int node = 0; node < nodes; ++node)
    {
        this->ports.push_back(free_port());
        this->servers.push_back(std::make_unique<server>(this->ports.back(),
            [this, node](request const& call)
            { return this->handle(node, call); }));
    }
}

store::~store()
{
    this->ending = true;
    this->changed.notify_all();
    this->servers.clear();
    for (std::thread& each : this->late)
    {
        each.join();
    }
}

void store::put(
    std::string const& table, std::string const& key, std::string const& value)
{
    std::lock_guard lock(this->mutex);
    ++this->version;
    this->write(table, "", key, to_base64(value), false);
    this->changed.notify_all();
}

void store::turn_away(int node, bool on)
{
    std::lock_guard lock(this->mutex);
    if (on)
    {
        this->turned_away.insert(node);
    }
    else
    {
        this->turned_away.erase(node);
    }
    this->record.note(std::string("store ") +
                      (on ? "turns away" : "serves again") + " node " +
                      std::to_string(node));
}

void store::forget_history()
{
    std::lock_guard lock(this->mutex);
    ++this->version;
    this->forgotten = this->version;
    this->history.clear();
    this->changed.notify_all();
    this->record.note("store forgets its history");
}

void store::on_transaction(transaction_hook hook)
{
    std::lock_guard lock(this->mutex);
    this->transaction_decision = std::move(hook);
}

void store::on_read(read_hook hook)
{
    std::lock_guard lock(this->mutex);
    this->read_notice = std::move(hook);
}

int store::last_writer(std::string const& table)
{
    std::lock_guard lock(this->mutex);
    auto found = this->writers.find(table);
    return found == this->writers.end() ? -1 : found->second;
}

bool store::has_row(std::string const& table, std::string const& key)
{
    std::lock_guard lock(this->mutex);
    for (auto const& [part, rows] : this->tables[table])
    {
        if (rows.contains(key))
        {
            return true;
        }
    }
    return false;
}

response store::handle(int node, request const& call)
{
    read_hook notice;
    {
        std::lock_guard lock(this->mutex);
        if (this->turned_away.contains(node))
        {
            return {503, "{}"};
        }
        notice = this->read_notice;
    }
    if (call.path == "/-/rows-tx")
    {
        return this->transact(node, call);
    }
    std::this_thread::sleep_for(read_time);
    if (notice)
    {
        notice(node, call);
    }
    if (call.path == "/-/rows-get")
    {
        return this->get_rows(call);
    }
    if (call.path == "/-/rows-parts")
    {
        return this->list_parts(call);
    }
    if (call.path == "/-/rows-feed")
    {
        response result = this->feed(call);
        std::lock_guard lock(this->mutex);
        return this->turned_away.contains(node) ? response{503, "{}"} : result;
    }
    return {404, "{}"};
}

response store::transact(int node, request const& call)
{
    json transaction = json::parse(call.body);
    transaction_hook decide;
    {
        std::lock_guard lock(this->mutex);
        decide = this->transaction_decision;
    }
    treatment chosen;
    if (decide)
    {
        chosen = decide(node, call, transaction);
    }
    ++this->arrived;
    this->lost += chosen.how == delivery::answer ? 0 : 1;
    std::this_thread::sleep_for(transaction_time);
    if (chosen.perform_after_ms < 0)
    {
        return {503, "{}", chosen.how};
    }
    if (chosen.perform_after_ms == 0)
    {
        response result = this->perform(node, transaction);
        result.how = chosen.how;
        return result;
    }
    std::lock_guard lock(this->mutex);
    this->late.emplace_back(
        [this, node, transaction, delay = chosen.perform_after_ms]
        {
            std::int64_t due = now_ms() + delay;
            while (now_ms() < due && !this->ending)
            {
                std::this_thread::sleep_for(std::chrono::milliseconds(2));
            }
            response result = this->perform(node, transaction);
            this->record.note("store carried out a late transaction of node " +
                              std::to_string(node) + ": " +
                              std::to_string(result.status));
        });
    return {200, "{}", chosen.how};
}

response store::perform(int node, json const& transaction)
{
    std::lock_guard lock(this->mutex);
    json conflicts = json::array();
    bool holds = true;
    for (json const& check :
        transaction.value("ExpectedRevision", json::array()))
    {
        table_rows& rows = this->tables[check.at("Table")];
        auto& part = rows[check.at("part")];
        auto found = part.find(check.at("Key"));
        std::int64_t current = found == part.end() ? 0 : found->second.version;
        holds = holds && current == check.at("RowVersion");
        if (current > 0)
        {
            conflicts.push_back({{"Table", check.at("Table")},
                {"part", check.at("part")}, {"Key", check.at("Key")},
                {"Value", found->second.value}, {"RowVersion", current}});
        }
    }
    if (!holds)
    {
        return {412, this->with_version({{"rows", conflicts}}).dump()};
    }
    ++this->version;
    for (json const& each : transaction.value("Writes", json::array()))
    {
        this->write(each.at("Table"), each.at("part"), each.at("Key"),
            each.at("Value"), false);
        this->writers[each.at("Table")] = node;
    }
    for (json const& each : transaction.value("Remove", json::array()))
    {
        this->write(
            each.at("Table"), each.at("part"), each.at("Key"), "", true);
    }
    this->changed.notify_all();
    return {200, this->with_version(json::object()).dump()};
}

void store::write(std::string const& table, std::string const& part,
    std::string const& key, std::string const& value, bool removed)
{
    auto& rows = this->tables[table][part];
    if (removed)
    {
        rows.erase(key);
    }
    else
    {
        rows[key] = {value, this->version};
    }
    this->history.push_back({this->version, table, part, key, value, removed});
}

json store::describe(change const& each) const
{
    json row{{"Table", each.table}, {"part", each.part}, {"Key", each.key},
        {"RowVersion", each.version}};
    if (each.removed)
    {
        row["Deleted"] = true;
    }
    else
    {
        row["Value"] = each.value;
    }
    return row;
}

json store::with_version(json body) const
{
    body["RowVersion"] = this->version;
    body["NowMs"] = now_ms();
    return body;
}

response store::get_rows(request const& call)
{
    std::lock_guard lock(this->mutex);
    std::string table = query_of(call, "Table");
    std::string part = query_of(call, "part");
    std::string target = query_of(call, "Target");
    std::string limit = query_of(call, "Limit");
    std::size_t most =
        limit.empty() ? max_rows : std::min(max_rows, std::stoul(limit));
    json found = json::array();
    bool more = false;
    auto& rows = this->tables[table][part];
    for (auto each = rows.lower_bound(query_of(call, "From"));
         each != rows.end() && (target.empty() || each->first < target); ++each)
    {
        if (found.size() == most)
        {
            more = true;
            break;
        }
        found.push_back(this->describe({each->second.version, table, part,
            each->first, each->second.value, false}));
    }
    return {
        200, this->with_version({{"rows", found}, {"HasMore", more}}).dump()};
}

response store::list_parts(request const& call)
{
    std::lock_guard lock(this->mutex);
    json parts = json::array();
    for (auto const& [part, rows] : this->tables[query_of(call, "Table")])
    {
        if (!rows.empty() && part > query_of(call, "After"))
        {
            parts.push_back(part);
        }
        else if (!rows.empty() && part.empty() &&
                 query_of(call, "After").empty())
        {
            parts.push_back(part);
        }
    }
    return {
        200, this->with_version({{"parts", parts}, {"HasMore", false}}).dump()};
}

response store::feed(request const& call)
{
    std::string table = query_of(call, "Table");
    std::int64_t after = std::stoll(query_of(call, "After"));
    std::int64_t due = now_ms() + std::stoll(query_of(call, "WaitMs"));
    std::unique_lock lock(this->mutex);
    while (true)
    {
        if (after < this->forgotten)
        {
            return {410, "{}"};
        }
        json rows = json::array();
        for (auto each = this->history.rbegin();
             each != this->history.rend() && each->version > after; ++each)
        {
            if (each->table == table)
            {
                rows.push_back(this->describe(*each));
            }
        }
        if (!rows.empty() || now_ms() >= due || this->ending)
        {
            std::reverse(rows.begin(), rows.end());
            return {200, this->with_version({{"rows", rows}}).dump()};
        }
        this->changed.wait_for(lock, std::chrono::milliseconds(20));
    }
}

} // namespace review
