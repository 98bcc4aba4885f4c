#include "address_block.hpp"

#include <arpa/inet.h>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace scenario
{
namespace
{

constexpr int first_block = 20;
constexpr int blocks = 200;

} // namespace

// A process reserves a block by listening on one fixed address of it until it
// ends; the socket is left open on purpose.
int reserve_address_block()
{
    constexpr std::uint16_t lock_port = 6999;
    for (int i = 0; i < blocks; ++i)
    {
        int block = first_block + (static_cast<int>(getpid()) + i) % blocks;
        std::string ip = "127." + std::to_string(block) + ".0.250";
        sockaddr_in local{};
        local.sin_family = AF_INET;
        local.sin_port = htons(lock_port);
        inet_pton(AF_INET, ip.c_str(), &local.sin_addr);
        int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto const* address = reinterpret_cast<sockaddr const*>(&local);
        if (::bind(socket, address, sizeof local) == 0 &&
            ::listen(socket, 1) == 0)
        {
            return block;
        }
        ::close(socket);
    }
    throw std::runtime_error("no free block of loopback addresses");
}

} // namespace scenario
