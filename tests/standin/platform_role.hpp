/// Stand-in for the platform: table service, object store and the lagging
/// list of instances, with the brief's limits and faults on command.
#pragma once

#include "role.hpp"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace standin
{

/// Limits and first contents.
struct platform_options
{
    std::string address;
    double writes_per_s = 400.0;
    double reads_per_s = 2000.0;
    std::int64_t list_lag_ms = 0;
    std::string instances_file;
    std::string config_file;
    std::string preset;
    /// "DOMAIN=IP:PORT": further addresses, at which the list shows the
    /// instances as that failure domain reaches them.
    std::vector<std::string> views;
};

class platform_role;

/// The platform as one failure domain sees it.
class platform_view final : public toucanlever::http_handler
{
public:
    platform_view(toucanlever::event_loop& loop, platform_role& role,
        std::string domain, std::string const& address);

    void on_request(toucanlever::http_request request,
        std::shared_ptr<toucanlever::http_exchange> exchange) override;

private:
    platform_role& role;
    std::string domain;
    toucanlever::http_server server;
};

/// One process, all three services.
class platform_role final : public toucanlever::http_handler
{
public:
    platform_role(
        toucanlever::event_loop& loop, platform_options const& options);

    void on_request(toucanlever::http_request request,
        std::shared_ptr<toucanlever::http_exchange> exchange) override;

    /// `domain` is empty for the real addresses.
    void receive(std::string const& domain,
        toucanlever::http_request const& request, exchange_ptr const& exchange);

private:
    struct stored_row
    {
        std::string value;
        std::int64_t version = 0;
    };

    /// A token bucket of one second's worth.
    struct rate_limit
    {
        double per_s = 0.0;
        double tokens = 0.0;
        std::int64_t filled_at_ms = 0;

        bool try_take(std::int64_t now_ms);
    };

    struct list_version
    {
        std::int64_t at_ms = 0;
        json instances;
    };

    void load_initial_state(platform_options const& options);
    void serve(std::string const& domain,
        toucanlever::http_request const& request, exchange_ptr const& exchange);
    void commit_transaction(json const& body, exchange_ptr const& exchange);
    void scan_rows(
        toucanlever::http_request const& request, exchange_ptr const& exchange);
    void list_instances(std::string const& domain,
        toucanlever::http_request const& request,
        exchange_ptr const& exchange) const;
    void admin(
        toucanlever::http_request const& request, exchange_ptr const& exchange);
    void change_instances(json const& body);
    void set_fault(json const& body);

    toucanlever::event_loop& loop;
    std::map<std::string, stored_row> rows;
    std::map<std::string, std::string> objects;
    rate_limit writes;
    rate_limit reads;
    std::int64_t list_lag_ms = 0;
    // Oldest first; the list is answered as it was `list_lag_ms` ago.
    std::deque<list_version> list_versions;
    std::string fault_mode = "up";
    std::int64_t delay_ms = 0;
    std::int64_t answers_to_lose = 0;
    // Requests of a time when the service was down.
    std::vector<exchange_ptr> held_exchanges;
    std::map<std::string, std::int64_t> stats;
    // Requests in each second since the first, for finding storms.
    std::map<std::int64_t, std::int64_t> requests_per_second;
    toucanlever::http_server server;
    std::vector<std::unique_ptr<platform_view>> views;
};

} // namespace standin
