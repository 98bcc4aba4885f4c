/// Decides whether a call may be served: whose key it carries, and whether the
/// configuration that says so is known to be recent enough.
///
/// Under load, every call of up to 10,000 customers is checked, and wrong keys
/// arrive at any rate. A check is therefore one hash and one table look-up. The
/// hash has a random secret, and all bytes of a key are compared, so that
/// response times reveal nothing about the keys.
#pragma once

#include "toucanlever/cell/queue_directory.hpp"
#include "toucanlever/core/clock.hpp"
#include "toucanlever/core/enum_names.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace toucanlever
{

/// Whether a call may be served.
enum class authentication_outcome
{
    no_key_needed,
    accepted,
    unknown_key,
    /// The key may have been added or removed by a version that this instance
    /// does not have.
    unverified
};

template <>
struct enum_table<authentication_outcome>
{
    static constexpr std::array rows{
        enum_name<authentication_outcome>{
            authentication_outcome::no_key_needed, "no-key-needed"},
        enum_name<authentication_outcome>{
            authentication_outcome::accepted, "accepted"},
        enum_name<authentication_outcome>{
            authentication_outcome::unknown_key, "unknown-key"},
        enum_name<authentication_outcome>{
            authentication_outcome::unverified, "keys-unverified"}};
};

/// The decision about one call.
struct authentication
{
    authentication_outcome outcome = authentication_outcome::unverified;
    /// Set when the key was accepted; valid until the next configuration is
    /// adopted.
    customer_terms const* customer = nullptr;
};

/// Finds customers by their keys in the configuration in force.
class caller_authenticator
{
public:
    /// Keys are not used when the confirmation of the configuration is older
    /// than `revocation_bound`; 0 for no bound. `queues` outlives this object.
    caller_authenticator(
        queue_directory const& queues, milliseconds revocation_bound);

    bool needs_key(route_match const& route) const
    {
        return this->queues.requires_keys() && !route.is_public;
    }

    /// `confirmed_at` is the time as of which the configuration in force is
    /// confirmed to be the newest one, or nothing when it never was. `now` is
    /// read after the call arrived.
    authentication authenticate(route_match const& route,
        std::optional<std::string_view> key, time_point now,
        std::optional<time_point> confirmed_at);

    /// False while keys are required and the confirmation is too old to use
    /// them. Logs each change.
    bool is_verified(time_point now, std::optional<time_point> confirmed_at);

private:
    struct key_hash
    {
        std::uint64_t low = 0;
        std::uint64_t high = 0;

        bool operator==(key_hash const&) const = default;
    };

    struct bucket_of
    {
        std::size_t operator()(key_hash const& hash) const { return hash.low; }
    };

    struct known_key
    {
        // Positions in `queue_directory::customers` and in its keys.
        std::size_t customer = 0;
        std::size_t key = 0;
    };

    key_hash hash_of(std::string_view key) const;
    void rebuild();
    customer_terms const* find(std::string_view key) const;

    // XXH3 takes secrets of 136 bytes or more.
    static constexpr std::size_t secret_words = 48;

    queue_directory const& queues;
    milliseconds revocation_bound;
    std::array<std::uint32_t, secret_words> secret{};
    // The keys of `built_version`; a multimap, because two keys could have the
    // same hash.
    std::unordered_multimap<key_hash, known_key, bucket_of> keys;
    std::int64_t built_version = 0;
    bool reported_unverified = false;
};

} // namespace toucanlever
