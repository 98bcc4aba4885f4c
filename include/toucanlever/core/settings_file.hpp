/// Checked reading of a YAML settings file. Every problem names the file,
/// the line, the column, the key, and what was expected there.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace toucanlever
{

/// A settings file that cannot be used; `what()` is ready to print.
class settings_error : public std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// Process exit code for unusable settings or command lines.
constexpr int exit_usage = 2;

/// One mapping of a settings file. Keys that were not asked for by the time
/// `finish` is called are errors.
class settings_map
{
public:
    /// Reads a whole file.
    static settings_map load(std::string const& file);

    /// Reads text; `name` stands for the file in messages.
    static settings_map parse(std::string const& text, std::string const& name);

    bool has(std::string const& key) const;
    std::string text(std::string const& key);
    std::string text(std::string const& key, std::string const& fallback);
    bool flag(std::string const& key, bool fallback);

    /// An integer within [min, max].
    std::int64_t integer(
        std::string const& key, std::int64_t min, std::int64_t max);
    std::int64_t integer(std::string const& key, std::int64_t min,
        std::int64_t max, std::int64_t fallback);

    /// "IP:PORT" with a numeric IPv4 address.
    std::string address(std::string const& key);

    /// A list of mappings; empty when the key is missing.
    std::vector<settings_map> maps(std::string const& key);

    /// A nested mapping; empty when the key is missing.
    settings_map map(std::string const& key);

    /// The keys of this mapping, in the order of the file.
    std::vector<std::string> keys() const;

    /// Throws for the first key that nobody asked for.
    void reject_unread_keys() const;

    /// Throws a `settings_error` that points at `key`.
    [[noreturn]] void fail(
        std::string const& key, std::string const& expected) const;

private:
    settings_map(YAML::Node const& node, std::string file, std::string path);

    YAML::Node find(std::string const& key, std::string const& expected);
    std::int64_t to_integer(YAML::Node const& node, std::string const& key,
        std::int64_t min, std::int64_t max) const;
    [[noreturn]] void fail_at(YAML::Mark mark, std::string const& key,
        std::string const& expected) const;

    YAML::Node node;
    std::string file;
    std::string path;
    std::vector<std::string> read_keys;
};

/// True for "a.b.c.d:port" with numbers in range.
bool is_address(std::string const& text);

} // namespace toucanlever
