#include "toucanlever/platform/http_platform.hpp"

#include "platform/answer_reader.hpp"

namespace toucanlever
{

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(table_row, key, value, version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(row_check, key, version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(row_write, key, value)

namespace
{

constexpr int http_conflict = 409;
constexpr int http_not_modified = 304;
constexpr int http_server_error = 500;
// Consecutive failed calls after which the service counts as unresponsive. One
// failure may be a single lost call; about four calls are made per second.
constexpr std::uint64_t unresponsive_after = 2;
constexpr int rows_per_page = 500;

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

/// The JSON body; a discarded value when it is malformed.
nlohmann::json body_of(http_response const& response)
{
    return nlohmann::json::parse(response.body, nullptr, false);
}

commit_result to_commit_result(command_result const& result)
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
    return read_answer("commit-transaction", out,
        [&result]
        {
            nlohmann::json row = body_of(result.response);
            commit_result conflict;
            // Throws if the key is missing; get() would substitute a default.
            row.at("key");
            conflict.conflict = row.get<table_row>();
            conflict.outcome = commit_outcome::conflict;
            return conflict;
        });
}

/// The rows of one page, and whether more follow.
struct row_page
{
    std::vector<table_row> rows;
    bool more = false;
};

std::optional<row_page> to_page(query_result const& result)
{
    if (!result.succeeded())
    {
        return std::nullopt;
    }
    return read_answer("scan-rows", std::optional<row_page>(),
        [&result]
        {
            nlohmann::json body = body_of(result.response);
            return std::optional(
                row_page{body.at("rows").get<std::vector<table_row>>(),
                    body.value("more", false)});
        });
}

} // namespace

http_platform::http_platform(
    http_client& client, std::string const& address, milliseconds timeout)
    : client(client)
    , watch("platform", address)
    , base("http://" + address + "/v1/")
    , timeout(timeout)
{
}

void http_platform::update_watch(
    bool answered, http_response const& response, std::string const& problem)
{
    if (!answered)
    {
        this->watch.record_failure(problem);
    }
    else if (response.status >= http_server_error)
    {
        this->watch.record_failure("status " + std::to_string(response.status));
    }
    else
    {
        this->watch.record_success();
    }
}

void http_platform::fetch(http_query call, http_client::query_callback done)
{
    call.timeout = this->timeout;
    this->client.send(std::move(call),
        [this, done](query_result const& result)
        {
            this->update_watch(
                result.answered, result.response, result.problem);
            done(result);
        });
}

void http_platform::commit(transaction const& work, commit_callback done)
{
    http_repeatable_command call;
    call.timeout = this->timeout;
    call.url = this->base + "transactions";
    call.body = nlohmann::json{{"checks", work.checks}, {"writes", work.writes},
        {"deletes", work.deletes}}
                    .dump();
    this->client.send(std::move(call),
        [this, done](command_result const& result)
        {
            this->update_watch(result.delivery == http_delivery::answered,
                result.response, result.problem);
            done(to_commit_result(result));
        });
}

bool http_platform::is_silent() const
{
    return this->watch.failed_calls() >= unresponsive_after;
}

void http_platform::scan(std::string const& prefix, rows_callback done)
{
    this->scan_page(prefix, "", {}, std::move(done));
}

void http_platform::scan_page(std::string const& prefix,
    std::string const& after, std::vector<table_row> found, rows_callback done)
{
    http_query call;
    call.url = this->base + "rows?prefix=" + escape_query(prefix) +
               "&after=" + escape_query(after) +
               "&limit=" + std::to_string(rows_per_page);
    // A page has no bound in bytes, and a call that is repeated starts at its
    // first byte again.
    call.stall_timeout = this->timeout;
    this->fetch(std::move(call),
        [this, prefix, found, done](query_result const& result) mutable
        {
            auto page = to_page(result);
            if (!page)
            {
                done(std::nullopt);
                return;
            }
            found.insert(found.end(), page->rows.begin(), page->rows.end());
            if (page->more && !page->rows.empty())
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
    http_query call;
    call.url = this->base + "instances";
    if (this->last_list)
    {
        call.headers.push_back({"If-None-Match", this->list_tag});
    }
    this->fetch(std::move(call), [this, done](query_result const& result)
        { done(this->handle_list(result)); });
}

/// Keeps a list that came with an ETag. Without one, the complete list is
/// requested each time.
instance_list http_platform::handle_list(query_result const& result)
{
    bool unchanged =
        result.answered && result.response.status == http_not_modified;
    if (unchanged)
    {
        return this->last_list;
    }
    if (!result.succeeded())
    {
        return nullptr;
    }
    auto fresh = read_answer("list-instances", instance_list(),
        [&result]
        {
            return std::make_shared<std::vector<instance> const>(
                body_of(result.response)
                    .at("instances")
                    .get<std::vector<instance>>());
        });
    if (!fresh)
    {
        return nullptr;
    }
    auto tag = find_field(result.response.headers, "ETag");
    this->last_list = tag ? fresh : nullptr;
    this->list_tag = tag.value_or("");
    return fresh;
}

} // namespace toucanlever
