/// Keeps an instance's configuration up to date with the one that the operator
/// writes to the store, and logs when each version comes into force and how
/// long the copy has gone without confirmation.
#pragma once

#include "toucanlever/cell/queue_directory.hpp"
#include "toucanlever/cell/record_follower.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace toucanlever
{

/// Decodes the operator's document; nothing when it is malformed.
using configuration_decoder =
    std::function<std::optional<cell_configuration>(std::string const& text)>;

/// Where the operator's document is stored, and how it is decoded.
struct configuration_source
{
    std::string table;
    std::string key;
    configuration_decoder decode;
};

/// Follows the operator's document and adopts each higher version of it.
class configuration_follower
{
public:
    /// All references outlive this object.
    configuration_follower(event_loop& loop, record_store& store,
        configuration_source source, queue_directory& queues);
    ~configuration_follower();

private:
    void apply_rows(std::vector<record> const& rows, bool complete);
    void check_delay();
    milliseconds unconfirmed_for() const;

    event_loop& loop;
    configuration_source source;
    queue_directory& queues;
    record_follower follower;
    // When the call was sent that confirmed the version in force, as of the
    // last check. A version that is adopted now was written after it.
    time_point confirmed_at{};
    bool reported_unconfirmed = false;
    time_point last_check{};
    event_loop::timer_id timer = 0;
};

} // namespace toucanlever
