#include "toucanlever/http/message.hpp"

#include <strings.h>

namespace toucanlever
{

std::optional<std::string> find_field(
    http_fields const& fields, std::string_view name)
{
    for (http_field const& field : fields)
    {
        if (field.name.size() == name.size() &&
            strncasecmp(field.name.data(), name.data(), name.size()) == 0)
        {
            return field.value;
        }
    }
    return std::nullopt;
}

http_response json_response(int status, std::string body)
{
    http_response response;
    response.status = status;
    response.headers.push_back({"Content-Type", "application/json"});
    response.body = std::move(body);
    return response;
}

} // namespace toucanlever
