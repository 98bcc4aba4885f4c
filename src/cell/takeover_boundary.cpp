#include "toucanlever/cell/takeover_boundary.hpp"

#include "cell/cell_tables.hpp"

#include "toucanlever/core/log.hpp"

namespace toucanlever
{

takeover_boundary::takeover_boundary(
    event_loop& loop, record_store& store, milliseconds leader_lease_duration)
    : loop(loop)
{
    this->timer = loop.after(leader_lease_duration,
        [this, &store]
        {
            this->scan = std::make_unique<record_scan>(this->loop, store,
                tables::leader, tables::scheduler_part,
                [this](std::vector<record> const&, std::int64_t read_version)
                {
                    this->version = read_version;
                    this->read_at = this->loop.now();
                    log_line("predecessor-lease-expired")
                        .with("version", read_version);
                });
        });
}

takeover_boundary::~takeover_boundary()
{
    this->loop.cancel(this->timer);
}

} // namespace toucanlever
