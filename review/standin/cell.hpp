/// Processes of toucan-cell, started as the deploy file says.
#pragma once

#include "record.hpp"

#include <string>
#include <sys/types.h>
#include <vector>

namespace review
{

struct node_ports
{
    int caller = 0;
    int readiness = 0;
    int peer = 0;
    int store = 0;
};

class cell_process
{
public:
    cell_process(std::string name, int store_port, std::string const& folder,
        int keep_ended_s, recorder& record);
    ~cell_process();
    cell_process(cell_process const&) = delete;
    cell_process& operator=(cell_process const&) = delete;

    void start();
    /// Sends SIGKILL and waits for the end.
    void kill();
    /// Starts the process again when it has ended by itself.
    bool has_ended();
    bool is_ready() const;
    int caller_port() const { return this->ports.caller; }
    std::string const& id() const { return this->name; }

private:
    std::string name;
    std::string folder;
    recorder& record;
    node_ports ports;
    pid_t pid = -1;
};

} // namespace review
