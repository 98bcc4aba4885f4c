/// Helpers shared by the roles of the stand-in: JSON, files, time and paths.
#pragma once

#include "toucanlever/core/event_loop.hpp"
#include "toucanlever/http/server.hpp"

#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace standin
{

using nlohmann::json;
using exchange_ptr = std::shared_ptr<toucanlever::http_exchange>;

inline void answer(exchange_ptr const& exchange, int status, json const& body)
{
    exchange->answer(toucanlever::json_response(status, body.dump()));
}

/// Parses a JSON object; anything else gives an empty object.
inline json parse(std::string const& text)
{
    json parsed = json::parse(text, nullptr, false);
    return parsed.is_object() ? parsed : json::object();
}

inline json read_file(std::string const& name)
{
    std::ifstream in(name);
    return json::parse(in);
}

/// Current time of this process's steady clock in milliseconds.
inline std::int64_t now_ms(toucanlever::event_loop const& loop)
{
    return loop.now().time_since_epoch().count() / 1000;
}

/// Result of split_after().
struct split_path
{
    std::string head;
    std::string tail;
};

/// Splits a path after its first `parts` segments: "/a/b/c" after 2 gives
/// {"/a/b", "/c"}.
inline split_path split_after(std::string const& path, int parts)
{
    std::size_t at = 0;
    for (int i = 0; i < parts && at != std::string::npos; ++i)
    {
        at = path.find('/', at + 1);
    }
    if (at == std::string::npos)
    {
        return {path, ""};
    }
    return {path.substr(0, at), path.substr(at)};
}

} // namespace standin
