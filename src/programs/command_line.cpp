#include "programs/command_line.hpp"

#include "toucanlever/core/settings_file.hpp"

#include <boost/program_options.hpp>
#include <iostream>

namespace toucanlever
{

namespace po = boost::program_options;

std::optional<daemon_options> parse_daemon_options(
    int argc, char** argv, std::string const& program, int& exit_code)
{
    daemon_options options;
    po::options_description description(program + " options");
    auto add = description.add_options();
    add("help", "print this help");
    add("version", "print the version");
    add("settings", po::value(&options.settings_file)->required(),
        "settings file (YAML)");
    add("check", po::bool_switch(&options.check_only),
        "validate the settings and exit");
    try
    {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        if (values.count("help") > 0)
        {
            std::cout << description;
            exit_code = 0;
            return std::nullopt;
        }
        if (values.count("version") > 0)
        {
            std::cout << program << " " << version << "\n";
            exit_code = 0;
            return std::nullopt;
        }
        po::notify(values);
        return options;
    }
    catch (po::error const& problem)
    {
        std::cerr << program << ": " << problem.what() << "\n" << description;
        exit_code = exit_usage;
        return std::nullopt;
    }
}

} // namespace toucanlever
