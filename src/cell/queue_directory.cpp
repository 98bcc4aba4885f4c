#include "toucanlever/cell/queue_directory.hpp"

namespace toucanlever
{

bool queue_directory::adopt(cell_configuration configuration)
{
    if (configuration.version <= this->current.version)
    {
        return false;
    }
    this->current = std::move(configuration);
    this->customer_positions.clear();
    for (std::size_t i = 0; i < this->current.customers.size(); ++i)
    {
        this->customer_positions[this->current.customers[i].terms.name] = i;
    }
    return true;
}

std::optional<route_match> queue_directory::find(
    std::string_view host, std::string_view path) const
{
    queue_route const* best = nullptr;
    for (queue_route const& route : this->current.routes)
    {
        bool matches = route.host == host && path.starts_with(route.prefix);
        if (matches &&
            (best == nullptr || route.prefix.size() > best->prefix.size()))
        {
            best = &route;
        }
    }
    if (best == nullptr)
    {
        return std::nullopt;
    }
    return route_match{
        &best->terms, path.substr(best->prefix.size()), best->is_public};
}

queue_terms const* queue_directory::terms(std::string const& queue) const
{
    for (queue_route const& route : this->current.routes)
    {
        if (route.terms.name == queue)
        {
            return &route.terms;
        }
    }
    return nullptr;
}

customer_terms const* queue_directory::customer_of(
    std::string const& name) const
{
    auto found = this->customer_positions.find(name);
    return found == this->customer_positions.end()
               ? nullptr
               : &this->current.customers[found->second].terms;
}

} // namespace toucanlever
