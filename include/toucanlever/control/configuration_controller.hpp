/// The configuration and the preset in force.
///
/// One head row in the table service holds the current revision number; each
/// revision has a body row that is inserted once and never changed. Revisions
/// only increase: a process that has learned a revision, from the platform or
/// from a peer, never applies a lower one.
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

/// Polls, distributes and changes the configuration.
class configuration_controller
{
public:
    /// Receives the snapshot in force, and the error if the change failed.
    using change_callback =
        std::function<void(std::optional<error>, config_snapshot const&)>;

    configuration_controller(event_loop& loop, table_service& table);
    ~configuration_controller();

    bool is_loaded() const { return this->current.revision > 0; }
    config_snapshot const& snapshot() const { return this->current; }

    /// The same as it is sent to other processes.
    std::string const& packed_snapshot() const { return this->packed; }
    cell_config const& config() const { return this->parsed; }
    preset_config const& preset() const;

    /// Applies a snapshot if its revision is higher than the current one. An
    /// invalid snapshot is logged and ignored.
    void adopt_if_newer(config_snapshot const& snapshot);

    /// Writes the next revision if `request.base_revision` is in force. Fails
    /// with conflict if another revision is in force (unavailable if it cannot
    /// be read), with bad_request if the new configuration is invalid, and with
    /// unavailable and run_state::unknown if the table service does not answer.
    void change(config_change const& request, change_callback done);

    /// Sets the handler that runs after each new revision. Returns true if a
    /// configuration has already been received from the platform or a peer;
    /// the handler is not called for that one.
    bool on_change(std::function<void()> handler);

private:
    void poll();
    void write_revision(
        config_snapshot const& next, int failures, change_callback done);
    void fetch_revision(std::int64_t revision, change_callback done);

    event_loop& loop;
    table_service& table;
    config_snapshot current;
    std::string packed;
    cell_config parsed;
    // Used if the configuration does not contain the preset in force.
    preset_config fallback_preset;
    std::function<void()> change_handler;
    bool polling = false;
    event_loop::timer_id timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace toucanlever
