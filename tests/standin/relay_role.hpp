/// Stand-in for the network between failure domains: TCP relays that can be
/// cut, permanently stop forwarding on the connections that are open at that
/// moment, or slow down.
#pragma once

#include "role.hpp"

#include "toucanlever/wire/link.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace standin
{

class relay_connection;

/// One listening address and the target it forwards to.
struct relay_path
{
    std::string name;
    std::string target;
    /// While set, data on old and new connections is dropped.
    bool cut = false;
    std::unique_ptr<toucanlever::link_acceptor> acceptor;
    std::vector<std::shared_ptr<relay_connection>> connections;
};

/// All relays of one process.
class relay_role final : public toucanlever::http_handler
{
public:
    /// `file` is a JSON list of {"name","listen","target"}.
    relay_role(toucanlever::event_loop& loop, std::string const& address,
        std::string const& file);
    ~relay_role() override;

    void on_request(toucanlever::http_request request,
        std::shared_ptr<toucanlever::http_exchange> exchange) override;

    void on_accepted(relay_path& path, int socket);

private:
    void apply_fault(relay_path& path, std::string const& fault);

    toucanlever::event_loop& loop;
    std::vector<std::unique_ptr<relay_path>> paths;
    toucanlever::http_server server;
};

} // namespace standin
