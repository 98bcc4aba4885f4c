/// Validating reader of YAML settings files. Every error names the file, line,
/// column and key, and what was expected there.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace toucanlever
{

/// An invalid settings file; `what()` is a complete message for the operator.
class settings_error : public std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// Process exit code for invalid settings or command lines.
constexpr int exit_usage = 2;

/// One mapping of a settings file. `reject_unread_keys` reports keys that
/// nothing has read.
class settings_map
{
public:
    /// Parses a file. Throws a `settings_error` when it cannot be read or is
    /// not a YAML mapping.
    static settings_map load(std::string const& file);

    /// Parses text; messages give `name` as the file.
    static settings_map parse(std::string const& text, std::string const& name);

    bool has(std::string const& key) const;
    std::string text(std::string const& key);
    std::string text(std::string const& key, std::string const& fallback);
    /// The text of a scalar; empty when the key is missing or has no value.
    std::string optional_text(std::string const& key);
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

    /// The keys of this mapping, in file order.
    std::vector<std::string> keys() const;

    /// Throws a `settings_error` for the first key that was not read.
    void reject_unread_keys() const;

    /// Throws a `settings_error` with the position of `key`.
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

/// True for "IP:PORT" with a numeric IPv4 address and a port from 1 to 65535.
bool is_address(std::string const& text);

} // namespace toucanlever
