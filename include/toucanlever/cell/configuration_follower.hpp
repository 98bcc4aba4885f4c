/// Keeps an instance's configuration up to date with the one that the operator
/// writes to the store, and logs when each version comes into force, from
/// where, and how long the copy has gone without confirmation.
#pragma once

#include "toucanlever/cell/queue_directory.hpp"
#include "toucanlever/cell/record_follower.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucanlever
{

/// Decodes the operator's document; nothing when it is malformed. Throws an
/// `error` that names the field when a field is invalid; the message contains
/// no key of a customer.
using configuration_decoder =
    std::function<std::optional<cell_configuration>(std::string const& text)>;

/// Where the operator's document is stored, and how it is decoded.
struct configuration_source
{
    std::string table;
    std::string key;
    configuration_decoder decode;
};

/// Adopts each higher version of the operator's document, whether it comes from
/// the store or from another instance.
class configuration_follower
{
public:
    /// All references outlive this object.
    configuration_follower(event_loop& loop, record_store& store,
        configuration_source source, queue_directory& queues);
    ~configuration_follower();

    /// `handler` is called after each version that comes into force.
    void on_adopted(std::function<void()> handler);

    /// Puts the document into force if its version is higher; `origin` names in
    /// the log where it came from. A document that is malformed or invalid
    /// changes nothing; returns false for it.
    bool adopt(std::string const& document, std::string_view origin);

    queue_directory const& queues() const { return this->directory; }

    /// The document in force, as the store holds it; empty when there is none.
    std::string const& document() const { return this->current; }

    /// False while the store does not answer: a newer version may exist then.
    bool is_confirmed() const;

    /// All versions that the store acknowledged before this time are in force
    /// here or were replaced; nothing when that was never confirmed. It stays
    /// while the document in the store is a rejected one, which may remove
    /// keys.
    std::optional<time_point> confirmed_time() const;

    /// Another instance has confirmed that `version` was the newest one at
    /// `time`. Ignored while an older version is in force here.
    void attest(std::int64_t version, time_point time);

private:
    void apply_rows(std::vector<record> const& rows, bool complete);
    void check_delay();

    event_loop& loop;
    configuration_source source;
    queue_directory& directory;
    // The document of the version in `directory`.
    std::string current;
    std::function<void()> adopted_handler;
    // When the last call was sent that the store answered, as of the last
    // check. A version that is adopted now was written after it.
    time_point confirmed_at{};
    // The value of `confirmed_time` as of the last check, or a later
    // attestation.
    std::optional<time_point> last_confirmed;
    // The document that the store delivered last is malformed or invalid.
    bool store_document_rejected = false;
    bool reported_unconfirmed = false;
    time_point last_check{};
    // Declared after the members that its callback uses: a store may answer at
    // once.
    record_follower follower;
    event_loop::timer_id timer = 0;
};

} // namespace toucanlever
