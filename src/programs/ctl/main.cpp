/// toucanctl: the operators' and customers' tool.
#include "programs/ctl/verbs.hpp"

#include "toucanlever/core/settings_file.hpp"
#include "toucanlever/core/version.hpp"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>

namespace
{

using namespace toucanlever;
namespace po = boost::program_options;

char const* const usage =
    "toucanctl [--gateway IP:PORT] [--token TOKEN] [-o table|json] VERB ...\n"
    "The gateway and the token are also read from TOUCAN_GATEWAY and "
    "TOUCAN_TOKEN.\n\n";

std::string from_environment(char const* name)
{
    char const* value = std::getenv(name);
    return value == nullptr ? "" : value;
}

bool is_json(std::string const& format)
{
    if (format != "json" && format != "table")
    {
        throw po::error("-o: expected table or json, not " + format);
    }
    return format == "json";
}

void print_help()
{
    std::cout << usage;
    for (verb const& each : all_verbs())
    {
        std::cout << "  " << each.help << "\n";
    }
}

/// Takes the common options off the front; what is left begins with the verb.
verb_input parse_common_options(std::vector<std::string>& words)
{
    verb_input input;
    input.target.gateway = from_environment("TOUCAN_GATEWAY");
    input.target.token = from_environment("TOUCAN_TOKEN");
    std::vector<std::string> rest;
    for (std::size_t i = 0; i < words.size(); ++i)
    {
        bool has_value = i + 1 < words.size();
        if (words[i] == "--gateway" && has_value)
        {
            input.target.gateway = words[++i];
        }
        else if (words[i] == "--token" && has_value)
        {
            input.target.token = words[++i];
        }
        else if (words[i] == "-o" && has_value)
        {
            input.json_output = is_json(words[++i]);
        }
        else
        {
            rest.push_back(words[i]);
        }
    }
    words = rest;
    return input;
}

ctl_exit run(std::vector<std::string> words)
{
    verb_input input = parse_common_options(words);
    if (words.empty() || words[0] == "--help" || words[0] == "help")
    {
        print_help();
        return words.empty() ? ctl_exit::usage : ctl_exit::done;
    }
    if (words[0] == "--version")
    {
        std::cout << "toucanctl " << version << "\n";
        return ctl_exit::done;
    }
    auto const& verbs = all_verbs();
    auto chosen = std::find_if(verbs.begin(), verbs.end(),
        [&words](verb const& each) { return each.name == words[0]; });
    if (chosen == verbs.end())
    {
        throw po::error("no such verb: " + words[0]);
    }
    input.words.assign(words.begin() + 1, words.end());
    bool wants_help = std::find(input.words.begin(), input.words.end(),
                          "--help") != input.words.end();
    if (wants_help)
    {
        std::cout << usage << "  " << chosen->help << "\n";
        return ctl_exit::done;
    }
    bool local = chosen->name == "config" && !input.words.empty() &&
                 input.words[0] == "check";
    if (!local && !is_address(input.target.gateway))
    {
        throw po::error("expected --gateway IP:PORT");
    }
    return chosen->run(input);
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return static_cast<int>(
            run(std::vector<std::string>(argv + 1, argv + argc)));
    }
    catch (settings_error const& problem)
    {
        std::cerr << problem.what() << "\n";
        return static_cast<int>(ctl_exit::usage);
    }
    catch (std::exception const& problem)
    {
        std::cerr << "toucanctl: " << problem.what() << "\n";
        return static_cast<int>(ctl_exit::usage);
    }
}
