/// The configuration and the preset in force.
///
/// One head row in the table service names the revision; each revision has a
/// body row that is inserted once. A revision is only ever followed by a
/// higher one: whoever knows it, through the platform or a peer, never goes
/// back.
#pragma once

#include "toucanlever/control/cell_config.hpp"
#include "toucanlever/core/error.hpp"
#include "toucanlever/core/event_loop.hpp"
#include "toucanlever/platform/table_service.hpp"
#include "toucanlever/wire/messages.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace toucanlever
{

/// Reads, spreads and changes the configuration.
class configuration_controller
{
public:
    /// Called with the new revision in force, or with why a change failed.
    using change_callback =
        std::function<void(std::optional<error>, config_snapshot const&)>;

    configuration_controller(event_loop& loop, table_service& table);
    ~configuration_controller();

    bool is_loaded() const { return this->current.revision > 0; }
    config_snapshot const& snapshot() const { return this->current; }
    cell_config const& config() const { return this->parsed; }
    preset_config const& preset() const;

    /// Takes over a snapshot when its revision is higher.
    void adopt_if_newer(config_snapshot const& snapshot);

    /// Compare-and-set on the revision in force.
    void change(config_change const& request, change_callback done);

    /// True once the platform was read, or a peer told what it knows.
    bool on_change(std::function<void()> handler);

private:
    void poll();
    void write_revision(
        config_snapshot const& next, int failures, change_callback done);
    void fetch_revision(std::int64_t revision, change_callback done);

    event_loop& loop;
    table_service& table;
    config_snapshot current;
    cell_config parsed;
    preset_config fallback_preset;
    std::function<void()> change_handler;
    bool polling = false;
    event_loop::timer_id timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
