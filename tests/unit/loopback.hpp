/// Loopback addresses that only this test process uses, so that tests and
/// scenario runs can run in parallel on one machine.
#pragma once

#include "../scenario/address_block.hpp"

#include <arpa/inet.h>
#include <string>
#include <sys/socket.h>

/// The address 127.N.1.LAST, where N is this process's address block.
inline std::string own_ip(int last)
{
    static int const block = scenario::reserve_address_block();
    return "127." + std::to_string(block) + ".1." + std::to_string(last);
}

/// A socket that listens on this address; `flags` as for `socket`.
inline int listen_on(std::string const& ip, std::uint16_t port, int flags = 0)
{
    int listener = ::socket(AF_INET, SOCK_STREAM | flags, 0);
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &local.sin_addr);
    int reuse = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    ::bind(listener, reinterpret_cast<sockaddr*>(&local), sizeof local);
    ::listen(listener, 4);
    return listener;
}
