#include "toucanlever/control/scheduler_settings.hpp"

#include "toucanlever/core/settings_file.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

milliseconds read_ms(settings_map& from, std::string const& key,
    milliseconds min, milliseconds max, milliseconds fallback)
{
    return milliseconds(
        from.integer(key, min.count(), max.count(), fallback.count()));
}

lease_timing read_leases(settings_map& file)
{
    using std::chrono::minutes;
    lease_timing made;
    made.heartbeat = read_ms(file, "heartbeat_ms", milliseconds(20),
        milliseconds(60000), made.heartbeat);
    made.peer_timeout = read_ms(file, "peer_timeout_ms", milliseconds(50),
        minutes(10), made.peer_timeout);
    made.control_lease = read_ms(file, "control_lease_ms", milliseconds(100),
        minutes(10), made.control_lease);
    made.task_lease = read_ms(
        file, "task_lease_ms", milliseconds(200), minutes(60), made.task_lease);
    made.lease_margin = read_ms(file, "lease_margin_ms", milliseconds(10),
        minutes(1), made.lease_margin);
    if (made.peer_timeout < 2 * made.heartbeat)
    {
        file.fail("peer_timeout_ms", "expected at least two heartbeats");
    }
    if (made.task_lease < 2 * made.control_lease)
    {
        file.fail("task_lease_ms", "expected at least two control leases");
    }
    return made;
}

std::vector<std::string> read_peers(settings_map& file)
{
    std::vector<std::string> peers;
    for (settings_map& entry : file.maps("peers"))
    {
        peers.push_back(entry.address("address"));
        entry.reject_unread_keys();
    }
    return peers;
}

void check_name(settings_map& file, std::string const& key)
{
    std::string name = file.text(key);
    bool plain = std::all_of(name.begin(), name.end(),
        [](unsigned char c)
        { return std::islower(c) != 0 || std::isdigit(c) != 0 || c == '-'; });
    if (!plain)
    {
        file.fail(key, "expected only a-z, 0-9 and -");
    }
}

} // namespace

scheduler_settings load_scheduler_settings(std::string const& name)
{
    constexpr std::int64_t max_jobs = 10'000'000;
    constexpr std::int64_t max_keep_ended_s = 7 * 24 * 3600;
    settings_map file = settings_map::load(name);
    scheduler_settings made;
    check_name(file, "name");
    check_name(file, "failure_domain");
    made.name = file.text("name");
    made.domain = file.text("failure_domain");
    made.address = file.address("address");
    made.platform = file.address("platform_address");
    made.peers = read_peers(file);
    made.leases = read_leases(file);
    made.platform_timeout = read_ms(file, "platform_timeout_ms",
        milliseconds(50), milliseconds(60000), made.platform_timeout);
    made.worker_timeout = read_ms(file, "worker_timeout_ms", milliseconds(50),
        milliseconds(60000), made.worker_timeout);
    made.store_writes_per_s =
        file.integer("store_writes_per_s", 1, 100000, made.store_writes_per_s);
    made.max_attempts = static_cast<std::uint32_t>(
        file.integer("max_attempts", 1, 100, made.max_attempts));
    made.max_queued_jobs =
        file.integer("max_queued_jobs", 1, max_jobs, made.max_queued_jobs);
    made.keep_ended = std::chrono::seconds(file.integer(
        "keep_ended_s", 1, max_keep_ended_s, made.keep_ended.count()));
    made.log_decisions = file.flag("log_decisions", made.log_decisions);
    file.reject_unread_keys();
    return made;
}

} // namespace toucanlever
