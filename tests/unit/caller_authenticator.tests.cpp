/// Whose key a call carries, and whether it may be used.
#include "toucanlever/cell/caller_authenticator.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace toucanlever;

namespace
{

constexpr auto accepted = authentication_outcome::accepted;
constexpr auto unknown_key = authentication_outcome::unknown_key;
constexpr auto unverified = authentication_outcome::unverified;

constexpr milliseconds revocation_bound{5000};
constexpr time_point start{std::chrono::hours(1)};

customer make_customer(
    std::string const& name, std::vector<std::string> const& keys)
{
    return {{name, 1, {}}, keys};
}

/// An authenticator and the configuration that it uses.
struct checked_cell
{
    explicit checked_cell(milliseconds bound = revocation_bound)
        : authenticator(this->queues, bound)
    {
    }

    void configure(std::vector<customer> const& customers)
    {
        cell_configuration configuration;
        configuration.version = this->queues.version() + 1;
        configuration.requires_keys = true;
        configuration.customers = customers;
        this->queues.adopt(std::move(configuration));
    }

    authentication check(std::string_view key, milliseconds age = {})
    {
        return this->authenticator.authenticate(
            route_match{}, key, start + age, start);
    }

    queue_directory queues;
    caller_authenticator authenticator;
};

} // namespace

// Guards against keys that are accepted by a part of them.
Test(caller_authenticator, only_the_whole_key_is_accepted)
{
    checked_cell cell;
    cell.configure({make_customer("a", {"secret"})});
    for (char const* key : {"", "secre", "secret ", "secrets", "Secret"})
    {
        cr_assert(cell.check(key).outcome == unknown_key, "%s", key);
    }
    cr_assert(
        cell.check(std::string_view("secret\0", 7)).outcome == unknown_key);
}

// Guards against a removed key that is used after the bound, and against a new
// key that is called unknown by an old version.
Test(caller_authenticator, no_key_is_judged_by_a_version_confirmed_too_long_ago)
{
    checked_cell cell;
    cell.configure({make_customer("a", {"k1"})});
    for (char const* key : {"k1", "k2"})
    {
        cr_assert(cell.check(key, milliseconds(4899)).outcome != unverified);
        cr_assert(cell.check(key, milliseconds(4900)).outcome == unverified);
        cr_assert(cell.authenticator
                      .authenticate(route_match{}, key, start, std::nullopt)
                      .outcome == unverified);
    }
    checked_cell unbounded(milliseconds(0));
    unbounded.configure({make_customer("a", {"k1"})});
    std::chrono::hours const age(100);
    cr_assert(unbounded.check("k1", age).outcome == accepted);
    cr_assert(unbounded.check("k2", age).outcome == unknown_key);
}
