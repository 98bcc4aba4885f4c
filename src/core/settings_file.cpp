#include "toucanlever/core/settings_file.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <fstream>
#include <sstream>

namespace toucanlever
{
namespace
{

std::string format_position(std::string const& file, YAML::Mark mark)
{
    return file + ":" + std::to_string(mark.line + 1) + ":" +
           std::to_string(mark.column + 1);
}

template <typename Integer>
bool parse_whole(std::string const& text, Integer& value)
{
    char const* end = text.data() + text.size();
    auto [stop, problem] = std::from_chars(text.data(), end, value);
    return problem == std::errc() && stop == end;
}

} // namespace

bool is_address(std::string const& text)
{
    auto colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return false;
    }
    // inet_pton reads only up to a NUL.
    std::string host = text.substr(0, colon);
    in_addr ip{};
    if (host.find('\0') != host.npos ||
        inet_pton(AF_INET, host.c_str(), &ip) != 1)
    {
        return false;
    }
    unsigned port = 0;
    return parse_whole(text.substr(colon + 1), port) && port > 0 &&
           port < 65536;
}

settings_map::settings_map(
    YAML::Node const& node, std::string file, std::string path)
    : node(node)
    , file(std::move(file))
    , path(std::move(path))
{
    if (!this->node.IsMap())
    {
        this->fail_at(this->node.Mark(), this->path, "expected a mapping");
    }
}

settings_map settings_map::load(std::string const& file)
{
    std::ifstream in(file);
    if (!in)
    {
        throw settings_error(file + ":1:1: cannot be read");
    }
    std::ostringstream text;
    text << in.rdbuf();
    return settings_map::parse(text.str(), file);
}

settings_map settings_map::parse(
    std::string const& text, std::string const& name)
{
    try
    {
        return settings_map(YAML::Load(text), name, "");
    }
    catch (YAML::Exception const& problem)
    {
        throw settings_error(
            format_position(name, problem.mark) + ": not YAML: " + problem.msg);
    }
}

bool settings_map::has(std::string const& key) const
{
    return static_cast<bool>(this->node[key]);
}

YAML::Node settings_map::find(
    std::string const& key, std::string const& expected)
{
    this->read_keys.push_back(key);
    YAML::Node found = this->node[key];
    if (!found)
    {
        this->fail_at(this->node.Mark(), key, "missing; expected " + expected);
    }
    return found;
}

std::string settings_map::text(std::string const& key)
{
    YAML::Node found = this->find(key, "text");
    if (!found.IsScalar() || found.Scalar().empty())
    {
        this->fail_at(found.Mark(), key, "expected text");
    }
    return found.Scalar();
}

std::string settings_map::text(
    std::string const& key, std::string const& fallback)
{
    return this->has(key) ? this->text(key) : fallback;
}

std::string settings_map::optional_text(std::string const& key)
{
    if (!this->has(key))
    {
        return {};
    }
    YAML::Node found = this->find(key, "text");
    if (found.IsNull())
    {
        return {};
    }
    if (!found.IsScalar())
    {
        this->fail_at(found.Mark(), key, "expected text");
    }
    return found.Scalar();
}

bool settings_map::flag(std::string const& key, bool fallback)
{
    if (!this->has(key))
    {
        return fallback;
    }
    YAML::Node found = this->find(key, "true or false");
    bool value = false;
    if (!found.IsScalar() || !YAML::convert<bool>::decode(found, value))
    {
        this->fail_at(found.Mark(), key, "expected true or false");
    }
    return value;
}

std::int64_t settings_map::to_integer(YAML::Node const& found,
    std::string const& key, std::int64_t min, std::int64_t max) const
{
    std::int64_t value = 0;
    if (!found.IsScalar() || !parse_whole(found.Scalar(), value) ||
        value < min || value > max)
    {
        this->fail_at(found.Mark(), key,
            "expected an integer from " + std::to_string(min) + " to " +
                std::to_string(max));
    }
    return value;
}

std::int64_t settings_map::integer(
    std::string const& key, std::int64_t min, std::int64_t max)
{
    return this->to_integer(this->find(key, "an integer"), key, min, max);
}

std::int64_t settings_map::integer(std::string const& key, std::int64_t min,
    std::int64_t max, std::int64_t fallback)
{
    return this->has(key) ? this->integer(key, min, max) : fallback;
}

std::string settings_map::address(std::string const& key)
{
    YAML::Node found = this->find(key, "IP:PORT");
    if (!found.IsScalar() || !is_address(found.Scalar()))
    {
        this->fail_at(
            found.Mark(), key, "expected IP:PORT with a numeric IPv4 address");
    }
    return found.Scalar();
}

std::vector<settings_map> settings_map::maps(std::string const& key)
{
    std::vector<settings_map> list;
    if (!this->has(key))
    {
        return list;
    }
    YAML::Node found = this->find(key, "a list");
    if (!found.IsSequence())
    {
        this->fail_at(found.Mark(), key, "expected a list");
    }
    for (std::size_t i = 0; i < found.size(); ++i)
    {
        std::string name = key + "[" + std::to_string(i) + "]";
        list.push_back(settings_map(found[i], this->file, name));
    }
    return list;
}

settings_map settings_map::map(std::string const& key)
{
    if (!this->has(key))
    {
        return settings_map(YAML::Node(YAML::NodeType::Map), this->file, key);
    }
    return settings_map(this->find(key, "a mapping"), this->file, key);
}

std::vector<std::string> settings_map::keys() const
{
    std::vector<std::string> list;
    for (auto const& entry : this->node)
    {
        list.push_back(entry.first.as<std::string>("?"));
    }
    return list;
}

void settings_map::reject_unread_keys() const
{
    for (auto const& entry : this->node)
    {
        std::string key = entry.first.as<std::string>("?");
        if (std::find(this->read_keys.begin(), this->read_keys.end(), key) ==
            this->read_keys.end())
        {
            this->fail_at(entry.first.Mark(), key, "unknown key");
        }
    }
}

void settings_map::fail(
    std::string const& key, std::string const& expected) const
{
    YAML::Node found = this->node[key];
    this->fail_at(found ? found.Mark() : this->node.Mark(), key, expected);
}

void settings_map::fail_at(
    YAML::Mark mark, std::string const& key, std::string const& expected) const
{
    std::string name = this->path.empty() ? key : this->path + "." + key;
    throw settings_error(
        format_position(this->file, mark) + ": " + name + ": " + expected);
}

} // namespace toucanlever
