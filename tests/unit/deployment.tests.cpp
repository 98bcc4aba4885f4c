/// The files under deploy/, read the way the platform and other readers do.
#include "platform_settings.hpp"

#include "toucanlever/core/settings_file.hpp"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#include <cstdlib>
#include <fstream>
#include <map>
#include <sstream>

using namespace toucanlever;
using namespace toucanlever::strekbod;

namespace
{

using fields = std::map<std::string, std::string>;

/// The fields that every site sets.
fields site_fields()
{
    return {{"NodeName", "frontend-a-1"}, {"Zone", "a"},
        {"ListenAddresses.Frontend", "127.0.0.1:1"},
        {"ListenAddresses.Ready", "127.0.0.1:2"}, {"IpAddress", "127.0.0.1"},
        {"InternalPortRange.0", "3"}, {"platform.Address", "127.0.0.1:4"},
        {"Advice", "127.0.0.1:5"}, {"Limits.CpuShare", "0.25"},
        {"Bounds.GracePeriodS", "6"}, {"Bounds.status_s", "120"}};
}

/// The tests run in the root of the repository.
std::string read_file(std::string const& path)
{
    std::ifstream in(path);
    cr_assert(in.good(), "%s", path.c_str());
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

/// Replaces `{{name}}` for the given fields, and nothing else.
std::string fill_in(std::string text, fields const& values)
{
    for (auto const& [name, value] : values)
    {
        std::string const placeholder = "{{" + name + "}}";
        for (auto at = text.find(placeholder); at != std::string::npos;
             at = text.find(placeholder, at + value.size()))
        {
            text.replace(at, placeholder.size(), value);
        }
    }
    return text;
}

/// The settings of an instance that starts from the deployed template.
cell_settings load_deployed_settings()
{
    char name[] = "/tmp/settings-XXXXXX";
    int const file = mkstemp(name);
    cr_assert(file >= 0);
    close(file);
    std::ofstream(name) << fill_in(
        read_file("deploy/settings.yaml"), site_fields());
    struct removal
    {
        char const* file;
        ~removal() { std::remove(this->file); }
    } const at_end{name};
    return load_settings(name);
}

/// Sets the environment of the deploy file's role, as on a site with these
/// bounds.
void set_deployed_environment(
    std::string const& strict, std::string const& bound_ms)
{
    std::string text = read_file("deploy/system.toml");
    auto const begin = text.find("env = {");
    cr_assert(begin != std::string::npos);
    text = fill_in(text.substr(begin), {{"Bounds.StrictRevocation", strict},
                                           {"Bounds.RevocationMs", bound_ms}});
    for (char const* name :
        {"TOUCAN_STRICT_REVOCATION", "TOUCAN_REVOCATION_BOUND_MS"})
    {
        std::string const key = std::string(name) + " = \"";
        auto const at = text.find(key);
        cr_assert(at != std::string::npos, "%s", name);
        auto const value = at + key.size();
        std::string const set =
            text.substr(value, text.find('"', value) - value);
        cr_assert(set.find("{{") == std::string::npos, "%s", set.c_str());
        setenv(name, set.c_str(), 1);
    }
}

} // namespace

// Guards against a template with sections: a reader that fills in placeholders
// alone got a file that is not YAML, and no process started from it.
Test(deployment, the_template_needs_only_plain_placeholders)
{
    std::string const text =
        fill_in(read_file("deploy/settings.yaml"), site_fields());
    cr_assert(text.find("{{") == std::string::npos, "%s", text.c_str());
    std::string problem;
    try
    {
        cr_assert(load_deployed_settings().name == "frontend-a-1");
    }
    catch (settings_error const& refused)
    {
        problem = refused.what();
    }
    cr_assert(problem.empty(), "%s", problem.c_str());
}

Test(deployment, strict_revocation_is_in_force_only_where_the_site_asks_for_it)
{
    set_deployed_environment("true", "5000");
    cr_assert(load_deployed_settings().revocation_bound == milliseconds(5000));
    set_deployed_environment("false", "5000");
    cr_assert(load_deployed_settings().revocation_bound == milliseconds(0));
    set_deployed_environment("", "");
    cr_assert(load_deployed_settings().revocation_bound == milliseconds(0));
}

// Guards against removed keys that are served without any bound.
Test(deployment, strict_revocation_with_an_unreadable_bound_is_refused)
{
    for (char const* bound_ms : {"", "0", "-1", "5000 ms", "600001"})
    {
        set_deployed_environment("true", bound_ms);
        cr_assert_throw(
            load_deployed_settings(), settings_error, "%s", bound_ms);
    }
}
