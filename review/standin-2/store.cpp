#include "store.hpp"

#include "record.hpp"

#include <chrono>

namespace standin
{
namespace
{

// As in the settings of the small sites.
constexpr std::int64_t transaction_ms = 5;
constexpr std::int64_t read_ms = 4;
constexpr std::size_t max_rows = 500;
constexpr std::size_t row_bytes = 65536;

constexpr char alphabet[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encode_base64(std::string const& bytes)
{
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t group = 0;
        std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t j = 0; j < 3; ++j)
        {
            group = group << 8U |
                    (j < count ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j)
        {
            out += j <= count ? alphabet[group >> (18 - 6 * j) & 63U] : '=';
        }
    }
    return out;
}

std::string decode_base64(std::string const& text)
{
    std::string out;
    std::uint32_t group = 0;
    int bits = 0;
    for (char c : text)
    {
        auto digit = std::string_view(alphabet).find(c);
        if (c == '=' || digit == std::string_view::npos)
        {
            break;
        }
        group = group << 6U | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits >= 8)
        {
            bits -= 8;
            out += static_cast<char>(group >> static_cast<unsigned>(bits));
        }
    }
    return out;
}

std::string value_of(request const& call, char const* name)
{
    auto found = call.query.find(name);
    return found == call.query.end() ? std::string() : found->second;
}

} // namespace

store::store()
    : server(std::make_unique<http_server>(
          0, [this](request const& call) { return this->handle(call); }))
{
}

void store::put(
    std::string const& table, std::string const& key, json const& value)
{
    std::lock_guard lock(this->mutex);
    ++this->version;
    this->write({table, "", key}, {encode_base64(value.dump()), 0, false});
    this->changed.notify_all();
}

void store::remove(std::string const& table, std::string const& key)
{
    std::lock_guard lock(this->mutex);
    ++this->version;
    this->write({table, "", key}, {{}, 0, true});
    this->changed.notify_all();
}

std::string store::get(
    std::string const& table, std::string const& part, std::string const& key)
{
    std::lock_guard lock(this->mutex);
    auto found = this->rows.find({table, part, key});
    return found == this->rows.end() ? std::string()
                                     : decode_base64(found->second.value);
}

void store::write(row_key const& key, row entry)
{
    row& known = this->rows[key];
    auto earlier = this->changes.find(known.version);
    if (earlier != this->changes.end())
    {
        std::erase(earlier->second, key);
    }
    entry.version = this->version;
    known = std::move(entry);
    this->changes[this->version].push_back(key);
}

json store::header() const
{
    return {{"RowVersion", this->version}, {"NowMs", now_ms()}};
}

json store::describe(row_key const& key, row const& entry) const
{
    json out{{"Table", std::get<0>(key)}, {"part", std::get<1>(key)},
        {"Key", std::get<2>(key)}, {"RowVersion", entry.version}};
    if (entry.deleted)
    {
        out["Deleted"] = true;
    }
    else
    {
        out["Value"] = entry.value;
    }
    return out;
}

response store::handle(request const& call)
{
    if (call.path == "/-/rows-tx")
    {
        return this->transact(json::parse(call.body));
    }
    if (call.path == "/-/rows-feed")
    {
        return this->read_feed(call);
    }
    sleep_ms(read_ms);
    if (call.path == "/-/rows-get")
    {
        return this->read_rows(call);
    }
    if (call.path == "/-/rows-parts")
    {
        return this->read_parts(call);
    }
    return {400, "{}"};
}

response store::transact(json const& call)
{
    std::string part;
    for (char const* kind : {"ExpectedRevision", "Writes", "Remove"})
    {
        for (json const& entry : call.value(kind, json::array()))
        {
            part = entry.value("part", "");
            std::string table = entry.value("Table", "");
            bool is_foreign = table == "op" || table == "servers";
            if (is_foreign && std::string_view(kind) != "ExpectedRevision")
            {
                return {403, "{}"};
            }
            // Three bytes are four characters of base64.
            if (entry.value("Value", "").size() / 4 * 3 > row_bytes + 2)
            {
                return {400, "{}"};
            }
        }
    }
    std::mutex* part_lock = nullptr;
    {
        std::lock_guard lock(this->parts_mutex);
        auto& entry = this->part_locks[part];
        if (!entry)
        {
            entry = std::make_unique<std::mutex>();
        }
        part_lock = entry.get();
    }
    std::lock_guard serial(*part_lock);
    sleep_ms(transaction_ms);
    std::lock_guard lock(this->mutex);
    auto key_of = [](json const& entry)
    {
        return row_key(entry.value("Table", ""), entry.value("part", ""),
            entry.value("Key", ""));
    };
    bool holds = true;
    json current = json::array();
    for (json const& check : call.value("ExpectedRevision", json::array()))
    {
        auto found = this->rows.find(key_of(check));
        bool exists = found != this->rows.end() && !found->second.deleted;
        std::int64_t known = exists ? found->second.version : 0;
        holds = holds && known == check.value("RowVersion", std::int64_t(0));
        if (exists)
        {
            current.push_back(this->describe(found->first, found->second));
        }
    }
    json answer = this->header();
    if (!holds)
    {
        answer["rows"] = current;
        return {412, answer.dump()};
    }
    ++this->version;
    for (json const& entry : call.value("Writes", json::array()))
    {
        this->write(key_of(entry), {entry.value("Value", ""), 0, false});
    }
    for (json const& entry : call.value("Remove", json::array()))
    {
        if (this->rows.contains(key_of(entry)))
        {
            this->write(key_of(entry), {{}, 0, true});
        }
    }
    this->changed.notify_all();
    return {200, this->header().dump()};
}

response store::read_rows(request const& call)
{
    std::lock_guard lock(this->mutex);
    std::string table = value_of(call, "Table");
    std::string part = value_of(call, "part");
    std::string until = value_of(call, "Target");
    json found = json::array();
    bool more = false;
    for (auto each =
             this->rows.lower_bound({table, part, value_of(call, "From")});
         each != this->rows.end(); ++each)
    {
        auto const& [at_table, at_part, key] = each->first;
        if (at_table != table || at_part != part ||
            (!until.empty() && key >= until))
        {
            break;
        }
        if (each->second.deleted)
        {
            continue;
        }
        if (found.size() >= max_rows)
        {
            more = true;
            break;
        }
        found.push_back(this->describe(each->first, each->second));
    }
    json answer = this->header();
    answer["rows"] = found;
    answer["HasMore"] = more;
    return {200, answer.dump()};
}

response store::read_parts(request const& call)
{
    std::lock_guard lock(this->mutex);
    std::string table = value_of(call, "Table");
    std::string after = value_of(call, "After");
    json parts = json::array();
    for (auto const& [key, entry] : this->rows)
    {
        std::string const& part = std::get<1>(key);
        bool is_next = parts.empty() || parts.back() != part;
        if (std::get<0>(key) == table && !entry.deleted && is_next &&
            part > after)
        {
            parts.push_back(part);
        }
    }
    json answer = this->header();
    answer["parts"] = parts;
    answer["HasMore"] = false;
    return {200, answer.dump()};
}

response store::read_feed(request const& call)
{
    std::string table = value_of(call, "Table");
    std::int64_t after = std::stoll(value_of(call, "After"));
    std::string wait = value_of(call, "WaitMs");
    auto until = steady::now() +
                 std::chrono::milliseconds(wait.empty() ? 0 : std::stoll(wait));
    json found = json::array();
    std::unique_lock lock(this->mutex);
    while (true)
    {
        for (auto each = this->changes.upper_bound(after);
             each != this->changes.end(); ++each)
        {
            for (row_key const& key : each->second)
            {
                if (std::get<0>(key) == table)
                {
                    found.push_back(this->describe(key, this->rows.at(key)));
                }
            }
        }
        if (!found.empty() || steady::now() >= until)
        {
            break;
        }
        this->changed.wait_until(lock, until);
    }
    json answer = this->header();
    answer["rows"] = found;
    lock.unlock();
    sleep_ms(read_ms);
    return {200, answer.dump()};
}

} // namespace standin
