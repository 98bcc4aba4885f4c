#include "toucanlever/control/cell_config.hpp"

#include "toucanlever/core/error.hpp"
#include "toucanlever/core/settings_file.hpp"

namespace toucanlever
{
namespace
{

constexpr std::int64_t max_weight = 1'000'000;
constexpr std::int64_t max_open = 10'000'000;
constexpr std::int64_t default_open_jobs = 100'000;
constexpr std::int64_t default_open_requests = 1'000;
constexpr std::int64_t max_request_ms = 600'000;

customer_config read_customer(settings_map& from)
{
    customer_config made;
    made.name = from.text("name");
    made.token = from.text("token");
    made.is_operator = from.flag("operator", false);
    made.max_open_jobs =
        from.integer("max_open_jobs", 0, max_open, default_open_jobs);
    made.max_open_requests =
        from.integer("max_open_requests", 0, max_open, default_open_requests);
    from.reject_unread_keys();
    return made;
}

service_config read_service(settings_map& from)
{
    service_config made;
    made.name = from.text("name");
    made.idempotent = from.flag("idempotent", false);
    made.key_required = from.flag("key_required", false);
    made.timeout_ms = from.integer("timeout_ms", 1, max_request_ms, 5000);
    from.reject_unread_keys();
    return made;
}

preset_config read_preset(settings_map& from, cell_config const& config)
{
    preset_config made;
    made.name = from.text("name");
    made.place_batch = from.flag("place_batch", true);
    made.stop_for_shares = from.flag("stop_for_shares", true);
    settings_map shares = from.map("entitlements");
    for (std::string const& customer : shares.keys())
    {
        if (config.customers.count(customer) == 0)
        {
            shares.fail(customer, "no such customer");
        }
        made.entitlements[customer] = shares.integer(customer, 1, max_weight);
    }
    from.reject_unread_keys();
    return made;
}

/// Adds a named entry, refusing a name that is taken.
template <typename Entry>
void insert(
    std::map<std::string, Entry>& into, Entry entry, settings_map const& from)
{
    std::string name = entry.name;
    if (!into.emplace(name, std::move(entry)).second)
    {
        from.fail("name", "is used twice");
    }
}

} // namespace

customer_config const* cell_config::find_customer_by_token(
    std::string const& token) const
{
    auto found = this->customer_by_token.find(token);
    return found == this->customer_by_token.end()
               ? nullptr
               : &this->customers.at(found->second);
}

service_config const& cell_config::find_service(
    std::string const& name, std::string const& step) const
{
    auto found = this->services.find(name);
    if (found == this->services.end())
    {
        throw error(error_code::not_found, "no such service: " + name, step);
    }
    return found->second;
}

std::int64_t cell_config::weight(
    std::string const& preset, std::string const& customer) const
{
    auto found = this->presets.find(preset);
    if (found == this->presets.end())
    {
        return 1;
    }
    auto share = found->second.entitlements.find(customer);
    return share == found->second.entitlements.end() ? 1 : share->second;
}

cell_config parse_cell_config(std::string const& yaml, std::string const& name)
{
    settings_map file = settings_map::parse(yaml, name);
    cell_config config;
    for (settings_map& entry : file.maps("customers"))
    {
        customer_config customer = read_customer(entry);
        bool is_new =
            config.customer_by_token.emplace(customer.token, customer.name)
                .second;
        if (!is_new)
        {
            entry.fail("token", "is used twice");
        }
        insert(config.customers, std::move(customer), entry);
    }
    for (settings_map& entry : file.maps("services"))
    {
        insert(config.services, read_service(entry), entry);
    }
    for (settings_map& entry : file.maps("presets"))
    {
        insert(config.presets, read_preset(entry, config), entry);
    }
    if (config.customers.empty())
    {
        file.fail("customers", "expected at least one customer");
    }
    if (config.presets.empty())
    {
        file.fail("presets", "expected at least one preset");
    }
    file.reject_unread_keys();
    return config;
}

} // namespace toucanlever
