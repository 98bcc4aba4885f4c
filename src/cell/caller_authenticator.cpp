#include "toucanlever/cell/caller_authenticator.hpp"

#include "toucanlever/core/log.hpp"

#include <random>
#include <xxhash.h>

namespace toucanlever
{
namespace
{

/// Subtracted from the bound, for rounding and for clocks that differ in rate.
constexpr milliseconds bound_margin{100};

/// Compares all bytes, so that the time does not depend on where the texts
/// differ.
bool equals_in_constant_time(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
    {
        return false;
    }
    unsigned char difference = 0;
    for (std::size_t i = 0; i < left.size(); ++i)
    {
        difference |= static_cast<unsigned char>(left[i]) ^
                      static_cast<unsigned char>(right[i]);
    }
    return difference == 0;
}

} // namespace

caller_authenticator::caller_authenticator(
    queue_directory const& queues, milliseconds revocation_bound)
    : queues(queues)
    , revocation_bound(revocation_bound)
{
    std::random_device device;
    for (std::uint32_t& word : this->secret)
    {
        word = device();
    }
}

authentication caller_authenticator::authenticate(route_match const& route,
    std::optional<std::string_view> key, time_point now,
    std::optional<time_point> confirmed_at)
{
    if (!this->needs_key(route))
    {
        return {authentication_outcome::no_key_needed, nullptr};
    }
    if (!key || key->empty())
    {
        // No version can make a missing key valid.
        return {authentication_outcome::unknown_key, nullptr};
    }
    if (!this->is_verified(now, confirmed_at))
    {
        return {authentication_outcome::unverified, nullptr};
    }
    this->rebuild();
    customer_terms const* customer = this->find(*key);
    return {customer == nullptr ? authentication_outcome::unknown_key
                                : authentication_outcome::accepted,
        customer};
}

bool caller_authenticator::is_verified(
    time_point now, std::optional<time_point> confirmed_at)
{
    if (!this->queues.requires_keys() ||
        this->revocation_bound == milliseconds(0))
    {
        return true;
    }
    bool verified = confirmed_at &&
                    now - *confirmed_at < this->revocation_bound - bound_margin;
    if (verified == this->reported_unverified)
    {
        this->reported_unverified = !verified;
        std::int64_t age_ms =
            confirmed_at
                ? std::chrono::duration_cast<milliseconds>(now - *confirmed_at)
                      .count()
                : -1;
        log_line(verified ? "keys-verified" : "keys-unverified")
            .with("version", this->queues.version())
            .with("age_ms", age_ms);
    }
    return verified;
}

caller_authenticator::key_hash caller_authenticator::hash_of(
    std::string_view key) const
{
    XXH128_hash_t hash = XXH3_128bits_withSecret(
        key.data(), key.size(), this->secret.data(), sizeof this->secret);
    return {hash.low64, hash.high64};
}

void caller_authenticator::rebuild()
{
    if (this->built_version == this->queues.version())
    {
        return;
    }
    this->built_version = this->queues.version();
    this->keys.clear();
    std::vector<customer> const& customers = this->queues.customers();
    for (std::size_t i = 0; i < customers.size(); ++i)
    {
        for (std::size_t k = 0; k < customers[i].keys.size(); ++k)
        {
            this->keys.emplace(
                this->hash_of(customers[i].keys[k]), known_key{i, k});
        }
    }
}

customer_terms const* caller_authenticator::find(std::string_view key) const
{
    std::vector<customer> const& customers = this->queues.customers();
    auto [begin, end] = this->keys.equal_range(this->hash_of(key));
    for (auto entry = begin; entry != end; ++entry)
    {
        customer const& owner = customers[entry->second.customer];
        if (equals_in_constant_time(owner.keys[entry->second.key], key))
        {
            return &owner.terms;
        }
    }
    return nullptr;
}

} // namespace toucanlever
