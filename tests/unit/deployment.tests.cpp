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

/// The settings of an instance that starts from the deployed template, on a
/// site whose fields are changed in this way.
cell_settings load_deployed_settings(fields changed = {})
{
    changed.merge(site_fields());
    char name[] = "/tmp/settings-XXXXXX";
    int const file = mkstemp(name);
    cr_assert(file >= 0);
    close(file);
    std::ofstream(name) << fill_in(read_file("deploy/settings.yaml"), changed);
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

// Guards against removed keys that are served without any bound because of the
// form of its figure, and against a process that does not start for that.
Test(deployment, strict_revocation_is_in_force_whatever_form_its_bound_has)
{
    struct form
    {
        char const* strict;
        char const* bound_ms;
        int expected_ms;
    };
    for (form const& each :
        {form{"true", "5000.0", 5000}, form{"true", "5000.75", 5000},
            form{"true", "5e3", 5000}, form{"1", "5000", 5000},
            form{"true", "0.5", 1}, form{"true", "0", 1}, form{"true", "-1", 1},
            form{"true", "600001", 600000}, form{"true", "", 1000},
            form{"true", "true", 1000}, form{"true", "5000 ms", 1000},
            form{"unheard-of", "5000", 5000}, form{"0", "5000", 0}})
    {
        set_deployed_environment(each.strict, each.bound_ms);
        cr_assert(load_deployed_settings().revocation_bound ==
                      milliseconds(each.expected_ms),
            "%s %s", each.strict, each.bound_ms);
    }
}

// Guards against a process that does not start because a figure of the platform
// is a fraction, very small or large, or missing.
Test(deployment, figures_of_the_platform_are_read_in_every_form)
{
    set_deployed_environment("", "");
    struct form
    {
        char const* figure;
        int grace_ms;
        int keep_ms;
        double share;
    };
    for (form const& each : {form{"6.5", 6500, 6500, 6.5},
             form{"6.0", 6000, 6000, 6.0}, form{"1", 1000, 1000, 1},
             form{"0.25", 250, 1000, 0.25}, form{"5e-1", 500, 1000, 0.5},
             form{"0", 0, 1000, 0.001}, form{"-3", 0, 1000, 0.001},
             form{"1e9", 600000, 604800000, 1024}, form{"", 6000, 120000, 1},
             form{"true", 6000, 120000, 1}, form{"false", 6000, 120000, 1}})
    {
        cell_settings const settings =
            load_deployed_settings({{"Bounds.GracePeriodS", each.figure},
                {"Bounds.status_s", each.figure},
                {"Limits.CpuShare", each.figure}, {"Advice", ""}});
        cr_assert(settings.stop_grace == milliseconds(each.grace_ms), "%s",
            each.figure);
        cr_assert(settings.keep_ended == milliseconds(each.keep_ms), "%s",
            each.figure);
        cr_assert(settings.cpu_share == each.share, "%s", each.figure);
        cr_assert(settings.advice_address.empty());
    }
    for (char const* figure : {"six", "6 s", "nan", "inf", "6,5"})
    {
        cr_assert_throw(load_deployed_settings({{"Bounds.status_s", figure}}),
            settings_error, "%s", figure);
    }
}
