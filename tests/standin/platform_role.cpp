#include "platform_role.hpp"

#include <algorithm>
#include <sstream>

namespace standin
{
namespace
{

constexpr std::size_t max_transaction_rows = 256;

toucanlever::http_limits server_limits()
{
    toucanlever::http_limits limits;
    limits.max_body_bytes = 64U * 1024U * 1024U;
    limits.max_connections = 8192;
    return limits;
}

std::string query(
    toucanlever::http_request const& request, std::string const& name)
{
    return toucanlever::find_field(request.query, name).value_or("");
}

std::string read_text(std::string const& name)
{
    std::ifstream in(name);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace

bool platform_role::rate_limit::try_take(std::int64_t now)
{
    double gained =
        static_cast<double>(now - this->filled_at_ms) * this->per_s / 1000.0;
    this->tokens = std::min(this->per_s, this->tokens + gained);
    this->filled_at_ms = now;
    if (this->tokens < 1.0)
    {
        return false;
    }
    this->tokens -= 1.0;
    return true;
}

platform_role::platform_role(
    toucanlever::event_loop& loop, platform_options const& options)
    : loop(loop)
    , list_lag_ms(options.list_lag_ms)
    , server(loop, options.address, *this, server_limits())
{
    this->writes.per_s = options.writes_per_s;
    this->reads.per_s = options.reads_per_s;
    this->load_initial_state(options);
    for (std::string const& view : options.views)
    {
        auto equals = view.find('=');
        this->views.push_back(std::make_unique<platform_view>(
            loop, *this, view.substr(0, equals), view.substr(equals + 1)));
    }
}

platform_view::platform_view(toucanlever::event_loop& loop, platform_role& role,
    std::string domain, std::string const& address)
    : role(role)
    , domain(std::move(domain))
    , server(loop, address, *this, server_limits())
{
}

void platform_view::on_request(toucanlever::http_request request,
    std::shared_ptr<toucanlever::http_exchange> exchange)
{
    this->role.receive(this->domain, request, exchange);
}

void platform_role::load_initial_state(platform_options const& options)
{
    json instances = json::array();
    if (!options.instances_file.empty())
    {
        instances = read_file(options.instances_file);
    }
    this->list_versions.push_back(
        {now_ms(this->loop) - this->list_lag_ms, instances});
    if (options.config_file.empty())
    {
        return;
    }
    json snapshot{{"revision", 1}, {"change_id", "seed"},
        {"author", "platform"}, {"preset", options.preset},
        {"yaml", read_text(options.config_file)}};
    this->rows["config/revision/000000000001"] = {snapshot.dump(), 1};
    this->rows["config/head/revision"] = {"1", 1};
}

void platform_role::on_request(toucanlever::http_request request,
    std::shared_ptr<toucanlever::http_exchange> exchange)
{
    this->receive("", request, exchange);
}

void platform_role::receive(std::string const& domain,
    toucanlever::http_request const& request, exchange_ptr const& exchange)
{
    if (request.path.rfind("/admin/", 0) == 0)
    {
        this->admin(request, exchange);
        return;
    }
    ++this->requests_per_second[now_ms(this->loop) / 1000];
    if (this->fault_mode == "down")
    {
        this->held_exchanges.push_back(exchange);
        ++this->stats["dropped"];
        return;
    }
    if (this->fault_mode == "slow")
    {
        this->loop.after(toucanlever::milliseconds(this->delay_ms),
            [this, domain, request, exchange]
            { this->serve(domain, request, exchange); });
        return;
    }
    this->serve(domain, request, exchange);
}

void platform_role::serve(std::string const& domain,
    toucanlever::http_request const& request, exchange_ptr const& exchange)
{
    bool is_write = request.method != "GET";
    rate_limit& limit = is_write ? this->writes : this->reads;
    ++this->stats[is_write ? "writes" : "reads"];
    if (!limit.try_take(now_ms(this->loop)))
    {
        ++this->stats["limited"];
        answer(exchange, 503, {{"reason", "rate limit exceeded"}});
        return;
    }
    if (request.path == "/v1/transactions")
    {
        this->commit_transaction(parse(request.body), exchange);
        return;
    }
    if (request.path == "/v1/rows")
    {
        this->scan_rows(request, exchange);
        return;
    }
    if (request.path == "/v1/instances")
    {
        this->list_instances(domain, request, exchange);
        return;
    }
    answer(exchange, 404, json::object());
}

void platform_role::commit_transaction(
    json const& body, exchange_ptr const& exchange)
{
    json const checks = body.value("checks", json::array());
    json const requested_writes = body.value("writes", json::array());
    json const deletes = body.value("deletes", json::array());
    if (requested_writes.size() + deletes.size() > max_transaction_rows)
    {
        answer(exchange, 400, {{"reason", "too many rows in one transaction"}});
        return;
    }
    for (json const& check :
        this->fault_mode == "ignore-checks" ? json::array() : checks)
    {
        std::string key = check.value("key", "");
        auto found = this->rows.find(key);
        std::int64_t version =
            found == this->rows.end() ? 0 : found->second.version;
        if (version != check.value("version", std::int64_t(0)))
        {
            ++this->stats["conflicts"];
            answer(exchange, 409,
                {{"key", key}, {"version", version},
                    {"value",
                        found == this->rows.end() ? "" : found->second.value}});
            return;
        }
    }
    for (json const& write : requested_writes)
    {
        stored_row& row = this->rows[write.value("key", "")];
        row.value = write.value("value", "");
        ++row.version;
    }
    for (json const& key : deletes)
    {
        this->rows.erase(key.get<std::string>());
    }
    this->stats["rows_deleted"] += static_cast<std::int64_t>(deletes.size());
    this->stats["rows_written"] +=
        static_cast<std::int64_t>(requested_writes.size());
    if (this->fault_mode == "lose-answers" && this->answers_to_lose != 0)
    {
        --this->answers_to_lose;
        ++this->stats["answers_lost"];
        this->held_exchanges.push_back(exchange);
        return;
    }
    answer(exchange, 200, json::object());
}

void platform_role::scan_rows(
    toucanlever::http_request const& request, exchange_ptr const& exchange)
{
    std::string prefix = query(request, "prefix");
    std::string after = query(request, "after");
    std::string limit_text = query(request, "limit");
    std::size_t limit = limit_text.empty() ? 500 : std::stoul(limit_text);
    json found = json::array();
    bool more = false;
    auto at = after.empty() ? this->rows.lower_bound(prefix)
                            : this->rows.upper_bound(after);
    for (; at != this->rows.end(); ++at)
    {
        if (at->first.compare(0, prefix.size(), prefix) != 0)
        {
            break;
        }
        if (found.size() == limit)
        {
            more = true;
            break;
        }
        found.push_back({{"key", at->first}, {"value", at->second.value},
            {"version", at->second.version}});
    }
    answer(exchange, 200, {{"rows", found}, {"more", more}});
}

void platform_role::list_instances(std::string const& domain,
    toucanlever::http_request const& request,
    exchange_ptr const& exchange) const
{
    std::int64_t as_of = now_ms(this->loop) - this->list_lag_ms;
    std::size_t visible = 0;
    for (std::size_t i = 0; i < this->list_versions.size(); ++i)
    {
        visible = this->list_versions[i].at_ms <= as_of ? i : visible;
    }
    toucanlever::http_response response;
    std::string tag = "\"" + domain + "-" + std::to_string(visible) + "\"";
    response.headers.push_back({"ETag", tag});
    if (toucanlever::find_field(request.headers, "If-None-Match") == tag)
    {
        response.status = 304;
        exchange->answer(std::move(response));
        return;
    }
    json shown = this->list_versions[visible].instances;
    for (json& each : shown)
    {
        if (each.contains("via"))
        {
            each["address"] =
                each["via"].value(domain, each["address"].get<std::string>());
            each.erase("via");
        }
    }
    response.headers.push_back({"Content-Type", "application/json"});
    response.body = json{{"instances", shown}}.dump();
    exchange->answer(std::move(response));
}

void platform_role::admin(
    toucanlever::http_request const& request, exchange_ptr const& exchange)
{
    if (request.path == "/admin/fault")
    {
        this->set_fault(parse(request.body));
    }
    else if (request.path == "/admin/instances")
    {
        this->change_instances(parse(request.body));
    }
    else if (request.path == "/admin/stats")
    {
        std::int64_t peak = 0;
        for (auto const& entry : this->requests_per_second)
        {
            peak = std::max(peak, entry.second);
        }
        json body(this->stats);
        body["rows"] = this->rows.size();
        body["peak_requests_per_s"] = peak;
        answer(exchange, 200, body);
        return;
    }
    answer(exchange, 200, json::object());
}

void platform_role::set_fault(json const& body)
{
    this->fault_mode = body.value("mode", "up");
    this->delay_ms = body.value("delay_ms", std::int64_t(0));
    this->answers_to_lose = body.value("count", std::int64_t(-1));
    if (this->fault_mode == "up")
    {
        for (exchange_ptr const& held : this->held_exchanges)
        {
            answer(held, 503, json::object());
        }
        this->held_exchanges.clear();
    }
}

void platform_role::change_instances(json const& body)
{
    json next = this->list_versions.back().instances;
    std::string leaving = body.value("leave", "");
    std::string removed = body.value("remove", "");
    json kept = json::array();
    for (json each : next)
    {
        if (each["id"] == leaving)
        {
            each["leaving"] = true;
        }
        if (each["id"] == body.value("stay", ""))
        {
            each["leaving"] = false;
        }
        if (each["id"] != removed)
        {
            kept.push_back(each);
        }
    }
    if (body.contains("add"))
    {
        kept.push_back(body["add"]);
    }
    this->list_versions.push_back({now_ms(this->loop), kept});
}

} // namespace standin
