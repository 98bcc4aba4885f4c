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
    return route_match{&best->terms, path.substr(best->prefix.size())};
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

} // namespace toucanlever
