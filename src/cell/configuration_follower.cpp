#include "toucanlever/cell/configuration_follower.hpp"

#include "toucanlever/core/log.hpp"
#include "toucanlever/core/metrics.hpp"

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
    , queues(queues)
    , follower(loop, store,
          follow_options{
              this->source.table, {""}, change_wait, milliseconds(0)},
          [this](std::vector<record> const& rows, bool complete)
          { this->apply_rows(rows, complete); })
    , confirmed_at(loop.now())
    , last_check(loop.now())
{
    this->timer = loop.every(check_period, [this] { this->check_delay(); });
}

configuration_follower::~configuration_follower()
{
    this->loop.cancel(this->timer);
}

milliseconds configuration_follower::unconfirmed_for() const
{
    return std::chrono::duration_cast<milliseconds>(
        this->loop.now() -
        std::max(this->confirmed_at, this->follower.fresh_at()));
}

void configuration_follower::apply_rows(
    std::vector<record> const& rows, bool complete)
{
    for (record const& row : rows)
    {
        if (row.removed || row.at.key != this->source.key)
        {
            continue;
        }
        auto configuration = this->source.decode(row.value);
        if (!configuration)
        {
            log_line("config-unreadable").with("row_version", row.version);
            continue;
        }
        std::int64_t previous = this->queues.version();
        std::int64_t version = configuration->version;
        std::size_t routes = configuration->routes.size();
        if (!this->queues.adopt(std::move(*configuration)))
        {
            log_line("config-not-newer")
                .with("version", version)
                .with("in_force", previous)
                .with("row_version", row.version);
            continue;
        }
        metrics().set("config_version", version);
        log_line("config-in-force")
            .with("version", version)
            .with("previous", previous)
            .with("routes", routes)
            .with("row_version", row.version)
            .with("source", complete ? "store-snapshot" : "store-change")
            .with(
                "call_ms", to_ms(this->loop.now() - this->follower.fresh_at()))
            .with("max_age_ms", to_ms(this->loop.now() - this->confirmed_at));
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
    auto unconfirmed = this->unconfirmed_for();
    metrics().observe("config_unconfirmed_ms", unconfirmed.count());
    bool is_unconfirmed = unconfirmed > unconfirmed_limit;
    if (is_unconfirmed != this->reported_unconfirmed)
    {
        this->reported_unconfirmed = is_unconfirmed;
        log_line(is_unconfirmed ? "config-unconfirmed" : "config-confirmed")
            .with("version", this->queues.version())
            .with("unconfirmed_ms", unconfirmed.count());
    }
}

} // namespace toucanlever
