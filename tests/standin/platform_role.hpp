/// Stand-in for the platform: table service, object store and a delayed list of
/// instances, with the platform's limits and with faults that tests inject
/// through admin calls.
#pragma once

#include "role.hpp"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace standin
{

/// Limits and initial contents.
struct platform_options
{
    std::string address;
    double writes_per_s = 400.0;
    double reads_per_s = 2000.0;
    std::int64_t list_lag_ms = 0;
    std::string instances_file;
    std::string config_file;
    std::string preset;
    /// "DOMAIN=IP:PORT": additional addresses. The list served there contains
    /// the addresses at which that failure domain reaches the instances.
    std::vector<std::string> views;
};

class platform_role;

/// Endpoint of the platform for one failure domain.
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

/// Serves all three services from one process.
class platform_role final : public toucanlever::http_handler
{
public:
    platform_role(
        toucanlever::event_loop& loop, platform_options const& options);

    void on_request(toucanlever::http_request request,
        std::shared_ptr<toucanlever::http_exchange> exchange) override;

    /// Handles a request from `domain`. The list of instances contains the
    /// addresses at which `domain` reaches them, or their own addresses when
    /// `domain` is empty.
    void receive(std::string const& domain,
        toucanlever::http_request const& request, exchange_ptr const& exchange);

private:
    struct stored_row
    {
        std::string value;
        std::int64_t version = 0;
    };

    /// Token bucket; its capacity is the number of tokens gained in one second.
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
    // Oldest first; requests get the list as it was `list_lag_ms` ago.
    std::deque<list_version> list_versions;
    std::string fault_mode = "up";
    std::int64_t delay_ms = 0;
    std::int64_t answers_to_lose = 0;
    // Requests left unanswered by a fault. They get status 503 when the service
    // is up again.
    std::vector<exchange_ptr> held_exchanges;
    std::map<std::string, std::int64_t> stats;
    // Number of requests by second of the steady clock; the peak rate shows
    // request storms.
    std::map<std::int64_t, std::int64_t> requests_per_second;
    toucanlever::http_server server;
    std::vector<std::unique_ptr<platform_view>> views;
};

} // namespace standin
