/// HTTP requests and responses, independent of the HTTP library.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucanlever
{

/// One header or query parameter.
struct http_field
{
    std::string name;
    std::string value;
};

using http_fields = std::vector<http_field>;

/// The value of the first field with that name, ignoring case.
std::optional<std::string> find_field(
    http_fields const& fields, std::string_view name);

/// A complete request; the body is within the server's limit.
struct http_request
{
    std::string method;
    std::string path;
    http_fields query;
    http_fields headers;
    std::string body;
    std::string peer;
};

/// A complete response.
struct http_response
{
    int status = 200;
    http_fields headers;
    std::string body;
};

/// A response with a JSON body.
http_response json_response(int status, std::string body);

} // namespace toucanlever
