#include "toucanlever/platform/http_platform.hpp"

namespace toucanlever
{

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(table_row, key, value, version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(row_check, key, version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(row_write, key, value)

namespace
{

constexpr int http_conflict = 409;
constexpr int http_not_modified = 304;
constexpr int page_rows = 500;

std::string escape_query(std::string const& text)
{
    static constexpr char digits[] = "0123456789ABCDEF";
    std::string out;
    for (unsigned char c : text)
    {
        bool plain = std::isalnum(c) != 0 || c == '-' || c == '.' || c == '_' ||
                     c == '~' || c == '/';
        if (plain)
        {
            out += static_cast<char>(c);
            continue;
        }
        out += '%';
        out += digits[c >> 4U];
        out += digits[c & 15U];
    }
    return out;
}

/// The value of a JSON body, or a discarded value.
nlohmann::json body_of(http_result const& result)
{
    return nlohmann::json::parse(result.response.body, nullptr, false);
}

commit_result to_commit_result(http_result const& result)
{
    commit_result out;
    if (result.succeeded())
    {
        out.outcome = commit_outcome::committed;
        return out;
    }
    if (result.delivery != http_delivery::answered ||
        result.response.status != http_conflict)
    {
        return out;
    }
    nlohmann::json body = body_of(result);
    if (!body.is_discarded())
    {
        out.outcome = commit_outcome::conflict;
        out.conflict = body.get<table_row>();
    }
    return out;
}

} // namespace

http_platform::http_platform(
    http_client& client, std::string const& address, milliseconds timeout)
    : client(client)
    , base("http://" + address + "/v1/")
    , timeout(timeout)
{
}

void http_platform::commit(transaction const& work, commit_callback done)
{
    http_call call;
    call.method = "POST";
    call.url = this->base + "transactions";
    call.body = nlohmann::json{{"checks", work.checks}, {"writes", work.writes},
        {"deletes", work.deletes}}
                    .dump();
    call.timeout = this->timeout;
    this->client.send(std::move(call),
        [done](http_result const& result) { done(to_commit_result(result)); });
}

void http_platform::scan(std::string const& prefix, rows_callback done)
{
    this->scan_page(prefix, "", {}, std::move(done));
}

void http_platform::scan_page(std::string const& prefix,
    std::string const& after, std::vector<table_row> found, rows_callback done)
{
    http_call call;
    call.url = this->base + "rows?prefix=" + escape_query(prefix) +
               "&after=" + escape_query(after) +
               "&limit=" + std::to_string(page_rows);
    call.timeout = this->timeout;
    this->client.send(std::move(call),
        [this, prefix, found, done](http_result const& result) mutable
        {
            nlohmann::json body = body_of(result);
            if (!result.succeeded() || body.is_discarded())
            {
                done(std::nullopt);
                return;
            }
            for (nlohmann::json const& row : body["rows"])
            {
                found.push_back(row.get<table_row>());
            }
            if (body.value("more", false) && !found.empty())
            {
                std::string last = found.back().key;
                this->scan_page(prefix, last, std::move(found), done);
                return;
            }
            done(std::move(found));
        });
}

void http_platform::list(list_callback done)
{
    http_call call;
    call.url = this->base + "instances";
    call.timeout = this->timeout;
    if (this->last_list)
    {
        call.headers.push_back({"If-None-Match", this->list_tag});
    }
    this->client.send(std::move(call), [this, done](http_result const& result)
        { done(this->take_list(result)); });
}

/// Keeps what came with its tag. Without a tag it is asked for whole again.
instance_list http_platform::take_list(http_result const& result)
{
    bool unchanged = result.delivery == http_delivery::answered &&
                     result.response.status == http_not_modified;
    if (unchanged)
    {
        return this->last_list;
    }
    nlohmann::json body = body_of(result);
    if (!result.succeeded() || body.is_discarded())
    {
        return nullptr;
    }
    auto fresh = std::make_shared<std::vector<instance> const>(
        body["instances"].get<std::vector<instance>>());
    auto tag = find_field(result.response.headers, "ETag");
    this->last_list = tag ? fresh : nullptr;
    this->list_tag = tag.value_or("");
    return fresh;
}

} // namespace toucanlever
