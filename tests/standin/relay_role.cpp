#include "relay_role.hpp"

#include <ace/Event_Handler.h>
#include <ace/INET_Addr.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <algorithm>

namespace standin
{
namespace
{

constexpr std::size_t chunk_bytes = 65536;

} // namespace

/// One end of a relayed connection; forwards what it reads to the other end.
class relay_end final : public ACE_Event_Handler
{
public:
    relay_end(ACE_Reactor* reactor, relay_connection& owner)
        : ACE_Event_Handler(reactor)
        , owner(owner)
    {
    }

    ACE_HANDLE get_handle() const override { return this->stream.get_handle(); }

    int handle_input(ACE_HANDLE) override;
    int handle_output(ACE_HANDLE) override;
    void write(char const* data, std::size_t size);
    void flush();

    ACE_SOCK_Stream stream;
    relay_end* other = nullptr;

private:
    relay_connection& owner;
    std::string pending;
};

/// Both ends of one connection.
class relay_connection
{
public:
    relay_connection(ACE_Reactor* reactor, int socket)
        : reactor(reactor)
        , near(reactor, *this)
        , far(reactor, *this)
    {
        this->near.stream.set_handle(socket);
        this->near.other = &this->far;
        this->far.other = &this->near;
    }

    ~relay_connection() { this->close(); }

    bool open(std::string const& target)
    {
        ACE_SOCK_Connector connector;
        ACE_INET_Addr remote(target.c_str());
        // Seconds and microseconds; the event loop blocks meanwhile.
        ACE_Time_Value connect_timeout(0, 200000);
        if (connector.connect(this->far.stream, remote, &connect_timeout) != 0)
        {
            return false;
        }
        for (relay_end* end : {&this->near, &this->far})
        {
            end->stream.enable(ACE_NONBLOCK);
            this->reactor->register_handler(end, ACE_Event_Handler::READ_MASK);
        }
        this->opened = true;
        return true;
    }

    void close()
    {
        if (this->closed)
        {
            return;
        }
        this->closed = true;
        for (relay_end* end : {&this->near, &this->far})
        {
            if (this->opened)
            {
                this->reactor->remove_handler(
                    end, ACE_Event_Handler::ALL_EVENTS_MASK |
                             ACE_Event_Handler::DONT_CALL);
            }
            end->stream.close();
        }
    }

    /// While set, received bytes are dropped; the sockets stay open.
    bool silent = false;
    bool closed = false;

private:
    ACE_Reactor* reactor;
    relay_end near;
    relay_end far;
    bool opened = false;
};

int relay_end::handle_input(ACE_HANDLE)
{
    char chunk[chunk_bytes];
    ssize_t received = this->stream.recv(chunk, sizeof chunk);
    if (received == 0 || (received < 0 && errno != EWOULDBLOCK))
    {
        this->owner.close();
        return 0;
    }
    if (received > 0 && !this->owner.silent)
    {
        this->other->write(chunk, static_cast<std::size_t>(received));
    }
    return 0;
}

int relay_end::handle_output(ACE_HANDLE)
{
    this->flush();
    return 0;
}

void relay_end::write(char const* data, std::size_t size)
{
    this->pending.append(data, size);
    this->flush();
}

void relay_end::flush()
{
    while (!this->pending.empty())
    {
        ssize_t sent =
            this->stream.send(this->pending.data(), this->pending.size());
        if (sent <= 0)
        {
            this->reactor()->schedule_wakeup(
                this, ACE_Event_Handler::WRITE_MASK);
            return;
        }
        this->pending.erase(0, static_cast<std::size_t>(sent));
    }
    this->reactor()->cancel_wakeup(this, ACE_Event_Handler::WRITE_MASK);
}

relay_role::relay_role(toucanlever::event_loop& loop,
    std::string const& address, std::string const& file)
    : loop(loop)
    , server(loop, address, *this, toucanlever::http_limits{})
{
    for (json const& each : read_file(file))
    {
        auto path = std::make_unique<relay_path>();
        path->name = each["name"];
        path->target = each["target"];
        path->acceptor = std::make_unique<toucanlever::link_acceptor>(loop,
            each["listen"].get<std::string>(),
            [this, path = path.get()](int socket, std::string const&)
            { this->on_accepted(*path, socket); });
        this->paths.push_back(std::move(path));
    }
}

relay_role::~relay_role() = default;

void relay_role::on_accepted(relay_path& path, int socket)
{
    std::erase_if(
        path.connections, [](auto const& each) { return each->closed; });
    auto connection =
        std::make_shared<relay_connection>(&this->loop.reactor(), socket);
    // A cut path still accepts connections and drops what is sent on them: a
    // cut network does not refuse connections, it loses packets.
    connection->silent = path.cut;
    if (path.cut || connection->open(path.target))
    {
        path.connections.push_back(std::move(connection));
    }
}

void relay_role::apply_fault(relay_path& path, std::string const& fault)
{
    if (fault == "cut")
    {
        path.cut = true;
    }
    if (fault == "cut" || fault == "silence")
    {
        for (auto const& each : path.connections)
        {
            each->silent = true;
        }
    }
    if (fault == "heal")
    {
        path.cut = false;
        path.connections.clear();
    }
}

void relay_role::on_request(toucanlever::http_request request,
    std::shared_ptr<toucanlever::http_exchange> exchange)
{
    json body = parse(request.body);
    std::string wanted = body.value("name", "");
    for (auto const& path : this->paths)
    {
        if (path->name.find(wanted) != std::string::npos)
        {
            this->apply_fault(*path, body.value("fault", ""));
        }
    }
    answer(exchange, 200, json::object());
}

} // namespace standin
