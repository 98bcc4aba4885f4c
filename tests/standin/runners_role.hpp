/// Stand-in for the runners of services: many in one process, each under the
/// path /r/{id}, with a ledger of every request that ran.
#pragma once

#include "role.hpp"

#include <map>
#include <string>

namespace standin
{

/// State of one runner.
struct simulated_runner
{
    std::string id;
    std::uint32_t slots = 0;
    std::uint32_t busy = 0;
    std::uint32_t max_busy = 0;
    bool frozen = false;
    /// Runs requests but does not answer them.
    bool drops_answers = false;
};

/// Simulates all runners of one process.
class runners_role final : public toucanlever::http_handler
{
public:
    runners_role(toucanlever::event_loop& loop, std::string const& address,
        std::string const& instances_file);

    void on_request(toucanlever::http_request request,
        std::shared_ptr<toucanlever::http_exchange> exchange) override;

private:
    void execute(simulated_runner& runner,
        toucanlever::http_request const& request, exchange_ptr const& exchange);
    void admin(
        toucanlever::http_request const& request, exchange_ptr const& exchange);

    toucanlever::event_loop& loop;
    std::map<std::string, simulated_runner> runners;
    std::vector<exchange_ptr> held_exchanges;
    json ledger = json::array();
    toucanlever::http_server server;
};

} // namespace standin
