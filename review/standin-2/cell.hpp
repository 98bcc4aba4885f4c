/// The project's own processes, started by the command of the deploy file with
/// its settings template, and the requesters' calls to them.
#pragma once

#include "record.hpp"
#include "store.hpp"

#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace standin
{

/// One `frontend` machine.
class cell_process
{
public:
    /// Files go to `folder`. The working folder is the repository's root.
    cell_process(std::string name, std::string zone, std::string folder,
        int store_port, record_file& record);
    ~cell_process();

    std::string const& name() const { return this->node_name; }
    int caller_port() const { return this->port; }
    bool is_ready() const;
    /// True while the process has not ended.
    bool is_running();

    void start();
    void signal(int number);

private:
    std::string node_name;
    std::string zone;
    std::string folder;
    int store_port;
    record_file& record;
    int port;
    int ready_port;
    int peer_port;
    pid_t pid = 0;
};

/// The store, the runners' log and the processes of one installation.
class cell
{
public:
    cell(std::string folder, record_file& record, int machines);
    ~cell();

    /// Writes the desired state. `queues` are routes without name and host.
    void configure(json const& routes);
    /// Starts the first `count` processes, or all when 0, and waits until they
    /// are ready and one leads.
    bool start(int count = 0);

    store platform;
    std::vector<std::unique_ptr<cell_process>> nodes;

    /// The process that the leader row names; -1 when there is none.
    int leader();

    /// A requester's call on a channel of its own, recorded.
    response call(int node, std::string const& method, std::string const& path,
        std::string const& body = {}, int timeout_ms = 3000);

    record_file& record;

private:
    std::int64_t version = 0;
};

/// The host of all routes.
inline constexpr char route_host[] = "review.example";
/// The service of all routes and runners.
inline constexpr char service_name[] = "easel-desk";

/// A route of the desired state.
json make_route(std::string const& name, std::string const& prefix,
    int priority, int max_attempts, double slack_factor, int target_ms);

/// The state that a GET answered; the status if it was not 200.
std::string state_in(response const& answer);

/// True unless the variable TROUBLE is 0.
bool with_trouble();

} // namespace standin
