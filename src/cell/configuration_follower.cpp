#include "toucanlever/cell/configuration_follower.hpp"

#include "toucanlever/core/error.hpp"
#include "toucanlever/core/log.hpp"
#include "toucanlever/core/metrics.hpp"

#include <algorithm>

namespace toucanlever
{
namespace
{

/// How long the store waits for a change before it confirms that there is none.
constexpr milliseconds change_wait{1000};
constexpr milliseconds check_period{250};
/// Longer than an undisturbed copy ever goes without confirmation: the wait of
/// the last confirmed call and of the next one.
constexpr milliseconds unconfirmed_limit{2300};
/// A check that runs later than this shows that the event loop is behind.
constexpr milliseconds late_check{500};

std::int64_t to_ms(microseconds span)
{
    return std::chrono::duration_cast<milliseconds>(span).count();
}

} // namespace

configuration_follower::configuration_follower(event_loop& loop,
    record_store& store, configuration_source source, queue_directory& queues)
    : loop(loop)
    , source(std::move(source))
    , directory(queues)
    , confirmed_at(loop.now())
    , last_check(loop.now())
    , follower(loop, store,
          follow_options{
              this->source.table, {""}, change_wait, milliseconds(0)},
          [this](std::vector<record> const& rows, bool complete)
          { this->apply_rows(rows, complete); })
{
    this->timer = loop.every(check_period, [this] { this->check_delay(); });
}

configuration_follower::~configuration_follower()
{
    this->loop.cancel(this->timer);
}

void configuration_follower::on_adopted(std::function<void()> handler)
{
    this->adopted_handler = std::move(handler);
}

bool configuration_follower::is_confirmed() const
{
    return this->follower.is_following();
}

std::optional<time_point> configuration_follower::confirmed_time() const
{
    if (this->store_document_rejected || !this->follower.has_snapshot())
    {
        return this->last_confirmed;
    }
    // An empty optional is less than any time.
    return std::max(
        this->last_confirmed, std::optional(this->follower.fresh_at()));
}

void configuration_follower::attest(std::int64_t version, time_point time)
{
    if (version > 0 && this->directory.version() >= version &&
        this->confirmed_time() < time)
    {
        this->last_confirmed = time;
        metrics().count("config_attested");
    }
}

bool configuration_follower::adopt(
    std::string const& document, std::string_view origin)
{
    std::optional<cell_configuration> configuration;
    try
    {
        configuration = this->source.decode(document);
    }
    catch (error const& problem)
    {
        log_line("config-refused")
            .with("source", origin)
            .with("problem", problem.what());
        return false;
    }
    if (!configuration)
    {
        log_line("config-unreadable")
            .with("source", origin)
            .with("bytes", document.size());
        return false;
    }
    std::int64_t previous = this->directory.version();
    std::int64_t version = configuration->version;
    std::size_t routes = configuration->routes.size();
    if (!this->directory.adopt(std::move(*configuration)))
    {
        log_line("config-not-newer")
            .with("version", version)
            .with("in_force", previous)
            .with("source", origin);
        return true;
    }
    this->current = document;
    metrics().set("config_version", version);
    log_line("config-in-force")
        .with("version", version)
        .with("previous", previous)
        .with("routes", routes)
        .with("source", origin)
        .with("max_age_ms", to_ms(this->loop.now() - this->confirmed_at));
    if (this->adopted_handler)
    {
        this->adopted_handler();
    }
    return true;
}

void configuration_follower::apply_rows(
    std::vector<record> const& rows, bool complete)
{
    for (record const& row : rows)
    {
        if (!row.removed && row.at.key == this->source.key)
        {
            this->store_document_rejected = !this->adopt(
                row.value, complete ? "store-snapshot" : "store-change");
        }
    }
}

void configuration_follower::check_delay()
{
    time_point now = this->loop.now();
    auto delay = now - this->last_check - check_period;
    this->last_check = now;
    if (delay > late_check)
    {
        log_line("loop-late").with("delay_ms", to_ms(delay));
    }
    this->confirmed_at =
        std::max(this->confirmed_at, this->follower.fresh_at());
    this->last_confirmed = this->confirmed_time();
    auto unconfirmed =
        std::chrono::duration_cast<milliseconds>(now - this->confirmed_at);
    metrics().observe("config_unconfirmed_ms", unconfirmed.count());
    bool is_unconfirmed = unconfirmed > unconfirmed_limit;
    if (is_unconfirmed != this->reported_unconfirmed)
    {
        this->reported_unconfirmed = is_unconfirmed;
        log_line(is_unconfirmed ? "config-unconfirmed" : "config-confirmed")
            .with("version", this->directory.version())
            .with("unconfirmed_ms", unconfirmed.count());
    }
}

} // namespace toucanlever
