#include "toucanlever/gateway/gateway_settings.hpp"

#include "toucanlever/core/settings_file.hpp"

namespace toucanlever
{
namespace
{

constexpr std::int64_t max_body = std::int64_t(1) << 30;
constexpr std::int64_t max_ms = 600'000;

milliseconds read_ms(settings_map& file, std::string const& key,
    std::int64_t min, milliseconds fallback)
{
    return milliseconds(file.integer(key, min, max_ms, fallback.count()));
}

http_limits read_limits(settings_map& file)
{
    http_limits limits;
    auto body = static_cast<std::int64_t>(limits.max_body_bytes);
    auto header = static_cast<std::int64_t>(limits.max_header_bytes);
    limits.max_body_bytes = static_cast<std::size_t>(
        file.integer("max_body_bytes", 1024, max_body, body));
    limits.max_header_bytes = static_cast<std::size_t>(
        file.integer("max_header_bytes", 4096, 1 << 20, header));
    limits.max_connections = static_cast<unsigned>(
        file.integer("max_connections", 8, 100000, limits.max_connections));
    limits.request_time =
        read_ms(file, "request_time_ms", 100, limits.request_time);
    return limits;
}

} // namespace

gateway_settings load_gateway_settings(std::string const& name)
{
    settings_map file = settings_map::load(name);
    gateway_settings made;
    made.name = file.text("name");
    made.domain = file.text("failure_domain");
    made.http_address = file.address("http_address");
    for (settings_map& entry : file.maps("schedulers"))
    {
        made.schedulers.push_back(entry.address("address"));
        entry.reject_unread_keys();
    }
    if (made.schedulers.empty())
    {
        file.fail("schedulers", "expected at least one scheduler");
    }
    made.limits = read_limits(file);
    made.heartbeat = read_ms(file, "heartbeat_ms", 20, made.heartbeat);
    made.scheduler_timeout =
        read_ms(file, "scheduler_timeout_ms", 50, made.scheduler_timeout);
    made.submit_timeout =
        read_ms(file, "submit_timeout_ms", 50, made.submit_timeout);
    made.connect_timeout =
        read_ms(file, "connect_timeout_ms", 10, made.connect_timeout);
    made.retry_percent =
        file.integer("retry_percent", 0, 100, made.retry_percent);
    made.log_decisions = file.flag("log_decisions", made.log_decisions);
    file.reject_unread_keys();
    return made;
}

} // namespace toucanlever
