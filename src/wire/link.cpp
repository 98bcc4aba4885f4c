#include "toucanlever/wire/link.hpp"

#include "toucanlever/core/error.hpp"
#include "toucanlever/core/metrics.hpp"

#include <ace/Event_Handler.h>
#include <ace/INET_Addr.h>
#include <ace/OS_NS_errno.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <cstring>
#include <netinet/tcp.h>

namespace toucanlever
{
namespace
{

constexpr std::size_t read_chunk_bytes = 65536;

enum class link_phase
{
    connecting,
    open,
    closed
};

std::string describe(ACE_INET_Addr const& address)
{
    return std::string(address.get_host_addr()) + ":" +
           std::to_string(address.get_port_number());
}

} // namespace

/// The socket's event handler. The listener may drop the link while the reactor
/// calls this handler, so `handle_input` and `handle_output` hold `owner` until
/// they return.
class link::impl final : public ACE_Event_Handler
{
public:
    impl(event_loop& loop, link_listener& listener, std::string peer)
        : ACE_Event_Handler(&loop.reactor())
        , loop(loop)
        , listener(listener)
        , peer(std::move(peer))
        , last_received(loop.now())
    {
    }

    ~impl() override { this->close_socket(); }

    ACE_HANDLE get_handle() const override { return this->stream.get_handle(); }

    void open(link_phase first)
    {
        this->phase = first;
        this->stream.enable(ACE_NONBLOCK);
        int no_delay = 1;
        this->stream.set_option(
            IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof no_delay);
        ACE_Reactor_Mask mask = ACE_Event_Handler::READ_MASK;
        if (first == link_phase::connecting)
        {
            mask |= ACE_Event_Handler::WRITE_MASK;
        }
        this->reactor()->register_handler(this, mask);
    }

    void send(frame const& message)
    {
        if (this->phase == link_phase::closed)
        {
            return;
        }
        this->pending += encode_frame(message);
        if (this->phase == link_phase::open)
        {
            this->schedule_flush();
        }
    }

    /// Sends as much buffered output as the socket accepts, then closes.
    void flush_and_close()
    {
        if (this->phase == link_phase::open)
        {
            this->flush();
        }
        this->close_socket();
    }

    int handle_output(ACE_HANDLE) override
    {
        auto keep = this->owner.lock();
        if (this->phase == link_phase::connecting && !this->finish_connect())
        {
            return 0;
        }
        this->flush();
        return 0;
    }

    int handle_input(ACE_HANDLE) override
    {
        auto keep = this->owner.lock();
        if (this->phase == link_phase::connecting && !this->finish_connect())
        {
            return 0;
        }
        char chunk[read_chunk_bytes];
        ssize_t received = this->stream.recv(chunk, sizeof chunk);
        if (received == 0)
        {
            this->fail("closed by peer");
            return 0;
        }
        if (received < 0)
        {
            if (errno != EWOULDBLOCK && errno != EINTR)
            {
                this->fail(std::strerror(errno));
            }
            return 0;
        }
        this->last_received = this->loop.now();
        metrics().count("link_bytes_received", received);
        this->decode(
            std::string_view(chunk, static_cast<std::size_t>(received)));
        return 0;
    }

    void close_socket()
    {
        if (this->phase == link_phase::closed)
        {
            return;
        }
        this->phase = link_phase::closed;
        this->reactor()->remove_handler(this,
            ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
        this->stream.close();
    }

    event_loop& loop;
    link_listener& listener;
    std::string peer;
    time_point last_received;
    ACE_SOCK_Stream stream;
    std::weak_ptr<link> owner;

private:
    bool finish_connect()
    {
        int problem = 0;
        int size = sizeof problem;
        this->stream.get_option(SOL_SOCKET, SO_ERROR, &problem, &size);
        if (problem != 0)
        {
            this->fail(std::strerror(problem));
            return false;
        }
        this->phase = link_phase::open;
        this->last_received = this->loop.now();
        if (auto self = this->owner.lock())
        {
            this->listener.on_open(*self);
        }
        return this->phase == link_phase::open;
    }

    /// Batches the frames of one loop iteration into one system call.
    void schedule_flush()
    {
        if (this->flush_scheduled)
        {
            return;
        }
        this->flush_scheduled = true;
        this->loop.after(microseconds(0),
            [owner = this->owner]
            {
                if (auto self = owner.lock())
                {
                    self->pimpl->flush_scheduled = false;
                    if (self->pimpl->phase == link_phase::open)
                    {
                        self->pimpl->flush();
                    }
                }
            });
    }

    void flush()
    {
        while (!this->pending.empty())
        {
            ssize_t sent =
                this->stream.send(this->pending.data(), this->pending.size());
            if (sent > 0)
            {
                metrics().count("link_bytes_sent", sent);
                this->pending.erase(0, static_cast<std::size_t>(sent));
                continue;
            }
            if (errno != EWOULDBLOCK && errno != EINTR)
            {
                this->fail(std::strerror(errno));
                return;
            }
            break;
        }
        if (this->pending.size() > max_pending_bytes)
        {
            this->fail("peer reads too slowly; output buffer is full");
            return;
        }
        if (this->pending.empty())
        {
            this->reactor()->cancel_wakeup(this, ACE_Event_Handler::WRITE_MASK);
        }
        else
        {
            this->reactor()->schedule_wakeup(
                this, ACE_Event_Handler::WRITE_MASK);
        }
    }

    void decode(std::string_view bytes)
    {
        try
        {
            this->decoder.feed(bytes);
            while (auto message = this->decoder.next())
            {
                auto self = this->owner.lock();
                if (!self || this->phase != link_phase::open)
                {
                    return;
                }
                this->listener.on_frame(*self, std::move(*message));
            }
        }
        catch (error const& problem)
        {
            this->fail(problem.what());
        }
    }

    void fail(std::string const& reason)
    {
        auto self = this->owner.lock();
        this->close_socket();
        if (self)
        {
            this->listener.on_close(*self, reason);
        }
    }

    link_phase phase = link_phase::closed;
    // Invariant: unsent frames in sending order; the first may be partly sent.
    std::string pending;
    frame_decoder decoder;
    bool flush_scheduled = false;
};

link::link(std::unique_ptr<impl> body)
    : pimpl(std::move(body))
{
}

link::~link()
{
    this->pimpl->close_socket();
}

std::shared_ptr<link> link::dial(
    event_loop& loop, std::string const& address, link_listener& listener)
{
    std::shared_ptr<link> created(
        new link(std::make_unique<impl>(loop, listener, address)));
    created->pimpl->owner = created;
    ACE_INET_Addr remote(address.c_str());
    ACE_SOCK_Connector connector;
    ACE_Time_Value no_wait(0, 0);
    int result = connector.connect(created->pimpl->stream, remote, &no_wait);
    if (result == 0 || errno == EWOULDBLOCK || errno == EINPROGRESS)
    {
        created->pimpl->open(link_phase::connecting);
        return created;
    }
    std::string reason = std::strerror(errno);
    created->pimpl->stream.close();
    // The listener may be destroyed by then. It owns the link, so the link
    // exists only while the listener does.
    loop.post(
        [weak = std::weak_ptr<link>(created), reason, &listener]
        {
            if (auto failed = weak.lock())
            {
                listener.on_close(*failed, reason);
            }
        });
    return created;
}

std::shared_ptr<link> link::adopt(event_loop& loop, int socket,
    std::string const& peer, link_listener& listener)
{
    std::shared_ptr<link> created(
        new link(std::make_unique<impl>(loop, listener, peer)));
    created->pimpl->owner = created;
    created->pimpl->stream.set_handle(socket);
    created->pimpl->open(link_phase::open);
    return created;
}

void link::send(frame const& message)
{
    this->pimpl->send(message);
}

void link::close()
{
    this->pimpl->flush_and_close();
}

std::string const& link::peer() const
{
    return this->pimpl->peer;
}

time_point link::last_received() const
{
    return this->pimpl->last_received;
}

/// Accepts connections until destroyed.
class link_acceptor::impl final : public ACE_Event_Handler
{
public:
    impl(event_loop& loop, std::string const& address,
        std::function<void(int, std::string)> on_accept)
        : ACE_Event_Handler(&loop.reactor())
        , on_accept(std::move(on_accept))
    {
        ACE_INET_Addr local(address.c_str());
        if (this->acceptor.open(local, 1) != 0)
        {
            throw error(error_code::unavailable,
                std::string("cannot listen: ") + std::strerror(errno), "listen",
                address);
        }
        this->acceptor.enable(ACE_NONBLOCK);
        this->reactor()->register_handler(this, ACE_Event_Handler::ACCEPT_MASK);
    }

    ~impl() override
    {
        this->reactor()->remove_handler(this,
            ACE_Event_Handler::ACCEPT_MASK | ACE_Event_Handler::DONT_CALL);
        this->acceptor.close();
    }

    ACE_HANDLE get_handle() const override
    {
        return this->acceptor.get_handle();
    }

    int handle_input(ACE_HANDLE) override
    {
        ACE_SOCK_Stream stream;
        ACE_INET_Addr remote;
        if (this->acceptor.accept(stream, &remote) == 0)
        {
            this->on_accept(stream.get_handle(), describe(remote));
        }
        return 0;
    }

private:
    ACE_SOCK_Acceptor acceptor;
    std::function<void(int, std::string)> on_accept;
};

link_acceptor::link_acceptor(event_loop& loop, std::string const& address,
    std::function<void(int, std::string)> on_accept)
    : pimpl(std::make_unique<impl>(loop, address, std::move(on_accept)))
{
}

link_acceptor::~link_acceptor() = default;

} // namespace toucanlever
