#include "toucanlever/cell/member_links.hpp"

#include "toucanlever/core/log.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

/// Three hello periods of 500 ms, and 100 ms of tolerance.
constexpr milliseconds unresponsive_after{1600};
constexpr milliseconds sweep_period{500};
/// How long a process has to be up before its instance is settled; twice as
/// long for each restart.
constexpr std::chrono::seconds settle_time{10};
/// Limits it to 320 s.
constexpr std::uint32_t max_settle_doublings = 5;
/// A process that seems to have begun this much later is another one. A hello
/// that is delayed by less makes its sender look younger by as much.
constexpr std::chrono::seconds min_lifetime{1};

} // namespace

member_links::member_links(event_loop& loop, std::string self)
    : loop(loop)
    , own_name(std::move(self))
{
    this->sweep_timer =
        this->loop.every(sweep_period, [this] { this->remove_unresponsive(); });
}

member_links::~member_links()
{
    this->loop.cancel(this->sweep_timer);
}

void member_links::add_listener(member_listener& listener)
{
    this->listeners.push_back(&listener);
}

void member_links::handle_hello(member_hello const& hello)
{
    if (hello.name == this->own_name)
    {
        return;
    }
    this->note_process(hello);
    auto [position, inserted] = this->members.try_emplace(hello.name);
    member& entry = position->second;
    entry.last_hello_at = this->loop.now();
    if (entry.link && entry.link->address() == hello.address)
    {
        return;
    }
    if (!inserted)
    {
        this->notify_removed(hello.name);
    }
    entry.link =
        std::make_unique<rpc_client>(this->loop, hello.address, rpc_timing{});
    log_line("member-joined")
        .with("member", hello.name)
        .with("address", hello.address);
    for (member_listener* listener : this->listeners)
    {
        listener->on_member_joined(hello.name);
    }
}

void member_links::note_process(member_hello const& hello)
{
    if (hello.up_ms <= 0)
    {
        this->histories.erase(hello.name);
        return;
    }
    time_point const up_since = this->loop.now() - milliseconds(hello.up_ms);
    auto [entry, is_new] = this->histories.try_emplace(hello.name);
    process_history& history = entry->second;
    if (is_new)
    {
        history.up_since = up_since;
    }
    else if (up_since > history.up_since + min_lifetime)
    {
        history.up_since = up_since;
        ++history.restarts;
    }
}

bool member_links::is_settled(std::string const& name) const
{
    auto found = this->histories.find(name);
    if (found == this->histories.end())
    {
        return true;
    }
    process_history const& history = found->second;
    std::chrono::seconds const needed =
        settle_time * (1U << std::min(history.restarts, max_settle_doublings));
    return this->loop.now() - history.up_since >= needed;
}

rpc_client* member_links::find(std::string const& name) const
{
    auto found = this->members.find(name);
    bool usable =
        found != this->members.end() && found->second.link->connected();
    return usable ? found->second.link.get() : nullptr;
}

std::vector<member_hello> member_links::list() const
{
    std::vector<member_hello> all;
    for (auto const& [name, entry] : this->members)
    {
        all.push_back({name, entry.link->address()});
    }
    return all;
}

void member_links::remove_unresponsive()
{
    time_point now = this->loop.now();
    for (auto entry = this->members.begin(); entry != this->members.end();)
    {
        if (now - entry->second.last_hello_at < unresponsive_after)
        {
            ++entry;
            continue;
        }
        log_line("member-unheard").with("member", entry->first);
        this->notify_removed(entry->first);
        entry = this->members.erase(entry);
    }
}

void member_links::notify_removed(std::string const& name)
{
    for (member_listener* listener : this->listeners)
    {
        listener->on_member_removed(name);
    }
}

} // namespace toucanlever
